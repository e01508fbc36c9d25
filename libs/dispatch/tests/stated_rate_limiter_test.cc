#include "dispatch/stated_rate_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dispatch/target_notices.h"
#include "membership/fleet_shares.h"

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr StatedRateLimiter::Spread kAlone = {1, 0};

/// In any period, a target may get so many times what its rate allows, and so
/// many requests more; required by the platform.
constexpr absl::Duration kPeriod = absl::Seconds(4);
constexpr double kOverage = 1.5;
constexpr double kSlack = 5;
/// The rule applies from this time after the target first stated its rate, to
/// hosts that learned of it some time ago.
constexpr absl::Duration kReactionTime = absl::Seconds(5);
constexpr absl::Duration kLearningTime = absl::Milliseconds(500);

/// A fleet of hosts that send to one target as much as they may.
struct Play {
  int hosts = 8;
  /// Requests per second that callers send to the host of this rank.
  std::function<double(int rank)> demand;
  /// The rate that the target states after this time.
  std::function<double(absl::Duration elapsed)> rate;
  absl::Duration duration = absl::Seconds(60);
};

struct Outcome {
  /// Largest number of requests in a period, as a fraction of those allowed.
  double worst = 0;
  double served_per_s = 0;
};

Outcome Run(const Play& play) {
  std::mt19937 random(7);
  const auto draw = [&] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  std::vector<StatedRateLimiter> limiters(static_cast<size_t>(play.hosts));
  std::vector<absl::Time> learned_at(limiters.size(), absl::InfiniteFuture());
  std::deque<absl::Time> arrivals;
  Outcome outcome;
  constexpr absl::Duration kStep = absl::Milliseconds(10);
  int served = 0;
  for (absl::Time now = kStart; now < kStart + play.duration; now += kStep) {
    const double rate = play.rate(now - kStart);
    for (int host = 0; host < play.hosts; ++host) {
      if (draw() >= play.demand(host) * absl::ToDoubleSeconds(kStep)) continue;
      StatedRateLimiter& limiter = limiters[static_cast<size_t>(host)];
      const int share =
          DivideShare(limiter.Quota(), play.hosts, static_cast<size_t>(host));
      if (!limiter.MaySend(share, now)) continue;
      limiter.OnSent(now);
      ++served;
      absl::Time& learned = learned_at[static_cast<size_t>(host)];
      if (now - learned >= kLearningTime) arrivals.push_back(now);
      learned = std::min(learned, now);
      limiter.OnResponse(rate, now, {play.hosts, draw()}, now);
    }
    while (!arrivals.empty() && now - arrivals.front() >= kPeriod) {
      arrivals.pop_front();
    }
    if (now < kStart + kReactionTime + kPeriod) continue;
    const double allowed =
        kOverage * absl::ToDoubleSeconds(kPeriod) * rate + kSlack;
    outcome.worst =
        std::max(outcome.worst, static_cast<double>(arrivals.size()) / allowed);
  }
  outcome.served_per_s = served / absl::ToDoubleSeconds(play.duration);
  return outcome;
}

}  // namespace

class StatedRateLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatedRateLimiterTest);
  CPPUNIT_TEST(FleetsOfAnySizeKeepTheRate);
  CPPUNIT_TEST(SmallFleetUsesMostOfTheRate);
  CPPUNIT_TEST(UnevenDemandKeepsTheRate);
  CPPUNIT_TEST(OddRatesAreKept);
  CPPUNIT_TEST(RateThatChangesEverySecondIsKept);
  CPPUNIT_TEST(NothingIsLimitedWithoutARate);
  CPPUNIT_TEST(RateHoldsUntilALaterResponseStatesNone);
  CPPUNIT_TEST(HostWithoutAShareAsksNowAndThen);
  CPPUNIT_TEST(RateSurvivesTheTargetsEntry);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FleetsOfAnySizeKeepTheRate() {
    for (const int hosts : {1, 7, 88, 295, 2900}) {
      Play play;
      play.hosts = hosts;
      play.demand = [&](int) { return std::max(0.5, 200.0 / hosts); };
      play.rate = [](absl::Duration) { return 25; };
      const Outcome outcome = Run(play);
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(hosts, " hosts: ", outcome.worst),
                             outcome.worst <= 1);
      CPPUNIT_ASSERT_MESSAGE(
          absl::StrCat(hosts, " hosts: ", outcome.served_per_s),
          outcome.served_per_s >= 0.8 * 25);
    }
  }

  void SmallFleetUsesMostOfTheRate() {
    Play play;
    play.demand = [](int) { return 5.0; };
    play.rate = [](absl::Duration) { return 33.0; };
    const Outcome outcome = Run(play);
    CPPUNIT_ASSERT(outcome.worst <= 1);
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(outcome.served_per_s),
                           outcome.served_per_s >= 0.9 * 33);
  }

  void UnevenDemandKeepsTheRate() {
    Play play;
    play.demand = [](int rank) { return rank < 2 ? 100.0 : 1.0; };
    play.rate = [](absl::Duration) { return 33.0; };
    CPPUNIT_ASSERT(Run(play).worst <= 1);
  }

  void OddRatesAreKept() {
    for (const double rate : {0.0, 0.3, 1.0, 1e9}) {
      Play play;
      play.demand = [](int) { return 20.0; };
      play.rate = [&](absl::Duration) { return rate; };
      const Outcome outcome = Run(play);
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(rate, ": ", outcome.worst),
                             outcome.worst <= 1);
    }
  }

  void RateThatChangesEverySecondIsKept() {
    Play play;
    play.demand = [](int) { return 20.0; };
    // The lowest rate counts, as windows begin at any time.
    play.rate = [](absl::Duration elapsed) {
      return absl::ToInt64Seconds(elapsed) % 2 == 0 ? 30.0 : 36.0;
    };
    CPPUNIT_ASSERT(Run(play).worst <= 1);
  }

  void NothingIsLimitedWithoutARate() {
    StatedRateLimiter limiter;
    CPPUNIT_ASSERT(!limiter.OnResponse(std::nullopt, kStart, kAlone, kStart));
    for (int i = 0; i < 1000; ++i) {
      CPPUNIT_ASSERT(limiter.MaySend(0, kStart));
      limiter.OnSent(kStart);
    }
  }

  void RateHoldsUntilALaterResponseStatesNone() {
    StatedRateLimiter limiter;
    const absl::Time sent_at = kStart + absl::Seconds(1);
    CPPUNIT_ASSERT(limiter.OnResponse(10, sent_at, kAlone, sent_at));
    CPPUNIT_ASSERT(!limiter.OnResponse(10, sent_at, kAlone, sent_at));
    CPPUNIT_ASSERT(!limiter.OnResponse(std::nullopt, kStart, kAlone, sent_at));
    CPPUNIT_ASSERT(!limiter.MaySend(0, sent_at));
    CPPUNIT_ASSERT(limiter.OnResponse(std::nullopt, sent_at + absl::Seconds(1),
                                      kAlone, sent_at + absl::Seconds(1)));
    CPPUNIT_ASSERT(limiter.MaySend(0, sent_at + absl::Seconds(1)));
  }

  void HostWithoutAShareAsksNowAndThen() {
    StatedRateLimiter limiter;
    limiter.OnResponse(10, kStart, kAlone, kStart);
    CPPUNIT_ASSERT(!limiter.MaySend(0, kStart + absl::Seconds(5)));
    const absl::Time late = kStart + absl::Minutes(1);
    CPPUNIT_ASSERT(limiter.MaySend(0, late));
    limiter.OnSent(late);
    CPPUNIT_ASSERT(!limiter.MaySend(0, late));
  }

  void RateSurvivesTheTargetsEntry() {
    const TargetInstance target = {"t1", "10.0.0.1:80", 7};
    TargetNotices notices;
    const StatedRate rate = {12.5, kStart};
    notices.OnRate(target, rate, kStart);
    CPPUNIT_ASSERT(notices.RateOf(target) == rate);
    CPPUNIT_ASSERT(!notices.RateOf({"t1", "10.0.0.1:80", 8}));
    notices.OnRate(target, std::nullopt, kStart);
    CPPUNIT_ASSERT(!notices.RateOf(target));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatedRateLimiterTest);

}  // namespace cherrydyke
