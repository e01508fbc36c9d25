#include "tier/publishing_times.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tier/poll_schedule.h"
#include "tier/round_trip_estimate.h"

namespace cherrydyke {
namespace {

/// Part of the bound that no path may use.
constexpr double kReserveRatio = 0.125;
/// Parts of the bound that a path may use: any, and one on which a single thing
/// fails, of a host that watches the configuration service all the time.
constexpr double kTargetRatio = 1 - kReserveRatio;
constexpr double kWatchingTargetRatio = 0.5;
/// Time for which a host is in touch before changes have to be in force there.
constexpr absl::Duration kContactTime = absl::Seconds(5);
/// A round trip between regions.
constexpr absl::Duration kRoundTrip = absl::Milliseconds(42);
/// Time without processor, of a host that has a part of each 100 ms.
constexpr absl::Duration kWithoutProcessor = absl::Milliseconds(100);
/// What proofs are older than they say: three datagrams, one of them late.
constexpr absl::Duration kLateDatagram = absl::Milliseconds(200);
/// The longest pause while changes continue.
constexpr absl::Duration kBatchPause = PollSchedule::kMaxBatchPause;
/// Time for which a reader leaves a change that a peer has to its own watch,
/// and time until the peer's next message (`FleetGossip`).
constexpr absl::Duration kLagTolerance = absl::Milliseconds(700);
constexpr absl::Duration kGossipPeriod = absl::Milliseconds(500);
/// Failures after which the pause of a schedule no longer grows.
constexpr int kManyFailures = 10;
/// Pages of a listing of all keys, about 500 each.
constexpr int kPages = 10;
/// Time after the start of its machines at which a fleet has to serve.
constexpr absl::Duration kStartTime = absl::Seconds(10);
/// Calls after which an estimate has settled.
constexpr int kManyCalls = 50;
constexpr absl::Duration kSmallestBound = absl::Seconds(4);
constexpr int kMaxBoundMs = 60'000;

struct Path {
  std::string name;
  absl::Duration sum;
  absl::Duration bound;
  double target_ratio = kTargetRatio;
};

/// The paths of docs/design/published-freshness.md. All check their role one
/// period late and lack processor time once.
std::vector<Path> Paths(const PublishingTimes& times) {
  const absl::Duration slow = times.check_period + kWithoutProcessor;
  const absl::Duration lost_call = times.min_watch + times.response;
  // Of a host whose peers prove nothing, until its first call.
  const absl::Duration unproven =
      times.max_peer_age + kLateDatagram + times.check_period + slow;
  return {
      {"the reader's watch answers", kBatchPause + kRoundTrip + slow,
       times.bound},
      {"the reader's watch is silent",
       times.watch + times.response + times.failure_pause + times.connect +
           kRoundTrip + slow,
       times.bound},
      {"peers prove nothing", unproven + times.connect + kRoundTrip,
       times.bound},
      {"peers prove nothing, the history is gone",
       unproven + times.connect + (1 + kPages) * kRoundTrip, times.bound},
      {"peers prove nothing, the first call is lost",
       unproven + kRoundTrip + lost_call + times.failure_pause + 2 * kRoundTrip,
       times.bound},
      {"the own path comes back",
       lost_call + times.max_retry_pause + times.check_period + times.connect +
           kRoundTrip + slow,
       kContactTime},
  };
}

absl::Duration LongestPauseOfSchedule() {
  PollSchedule schedule;
  absl::Duration longest;
  for (int i = 0; i < kManyFailures; ++i) {
    longest =
        std::max(longest, schedule.PauseAfterFailure(absl::UnixEpoch(), 1));
  }
  return longest;
}

/// The paths to a host that watches the configuration service all the time. It
/// does not wait for a check of its role.
std::vector<Path> PathsToWatchingHosts(const PublishingTimes& times) {
  const absl::Duration answer = kRoundTrip + kWithoutProcessor;
  const absl::Duration new_call = times.failure_pause + kRoundTrip + answer;
  // Until the first byte, of a change that is published during the pause.
  const absl::Duration late_call = kBatchPause + kRoundTrip;
  const absl::Duration through_peer = kBatchPause + kRoundTrip + kLagTolerance +
                                      kGossipPeriod + kLateDatagram +
                                      kRoundTrip + answer;
  const absl::Duration lost_call = times.min_watch + times.response;
  return {
      {"its watch answers", kBatchPause + answer, times.bound,
       kWatchingTargetRatio},
      {"its watch is silent, or its response trickles", through_peer,
       times.bound, kWatchingTargetRatio},
      {"its connection is closed", late_call + new_call, times.bound,
       kWatchingTargetRatio},
      {"the history is gone", kBatchPause + kPages * kRoundTrip + answer,
       times.bound, kWatchingTargetRatio},
      {"its path comes back",
       lost_call + LongestPauseOfSchedule() + kRoundTrip + answer, kContactTime,
       kWatchingTargetRatio},
      {"its watch is silent and peers tell nothing",
       times.watch + times.response + times.failure_pause + times.connect +
           answer,
       times.bound},
      {"its response trickles and peers tell nothing",
       late_call + times.receive + new_call, times.bound},
      {"its path comes back, and the first packet is lost",
       lost_call + LongestPauseOfSchedule() + times.connect + answer,
       kContactTime},
  };
}

/// @return the time after which a call is late on a path that has been slow for
/// long.
absl::Duration LateAfter(const PublishingTimes& times, absl::Duration one_way) {
  RoundTripEstimate estimate;
  for (int i = 0; i < kManyCalls; ++i) {
    estimate = estimate.AfterSample(2 * one_way);
  }
  return estimate.LateAfter(times.response, times.max_response);
}

/// @return whether a call beside one that is lost, on a connection of its own,
/// is answered before it is late and replaced after a pause.
/// @param failures calls that were late before it.
bool IsAnsweredInTime(const PublishingTimes& times, absl::Duration one_way,
                      int failures) {
  PollSchedule schedule;
  absl::Duration pause;
  for (int i = 0; i <= failures; ++i) {
    pause = schedule.PauseAfterFailure(absl::UnixEpoch(), 0);
  }
  return 4 * one_way <= LateAfter(times, one_way) + pause;
}

/// The paths to hosts whose way to the configuration service is slow, each with
/// the slowest way for which it has to hold. Nothing is lost unless the name
/// says so. A new connection takes a round trip.
std::vector<Path> PathsOverSlowWays(const PublishingTimes& times) {
  const auto ms = [](int time) { return absl::Milliseconds(time); };
  const absl::Duration check = times.check_period;
  // Just after a response was sent: it arrives, and a call after the pause.
  const auto answers = [](absl::Duration one_way) {
    return 3 * one_way + kBatchPause + kWithoutProcessor;
  };
  const auto connected_call = [](absl::Duration one_way) {
    return 4 * one_way + kWithoutProcessor;
  };
  const auto starts = [&](absl::Duration one_way, int pages) {
    return connected_call(one_way) + 2 * (pages - 1) * one_way;
  };
  const absl::Duration through_peer =
      kLateDatagram + kRoundTrip + kWithoutProcessor;
  return {
      {"1 s: its watch answers", answers(ms(1000)), times.bound},
      {"1 s: a fleet starts, 3 pages", starts(ms(1000), 3), kStartTime},
      {"0.95 s: the reader's watch answers", answers(ms(950)) + check,
       times.bound},
      {"0.85 s: the reader's watch answers, through it",
       answers(ms(850)) + check + through_peer, times.bound},
      {"0.75 s: its connection was closed meanwhile",
       kBatchPause + times.failure_pause + connected_call(ms(750)),
       times.bound},
      {"0.75 s: the history is gone, 1 page",
       kBatchPause + connected_call(ms(750)), times.bound},
      {"0.5 s: its watch is silent, a peer's is not",
       answers(ms(500)) + kLagTolerance + kGossipPeriod + through_peer,
       times.bound},
      {"0.35 s: a fleet starts, 10 pages", starts(ms(350), kPages), kStartTime},
      {"0.25 s: its path comes back",
       times.min_watch + LateAfter(times, ms(250)) + LongestPauseOfSchedule() +
           connected_call(ms(250)),
       kContactTime},
      {"0.15 s: its watch is silent and peers tell nothing",
       times.watch + LateAfter(times, ms(150)) + times.failure_pause +
           connected_call(ms(150)),
       times.bound},
      {"0.2 s: peers prove nothing",
       times.max_peer_age + kLateDatagram + 2 * check + kWithoutProcessor +
           connected_call(ms(200)),
       times.bound},
  };
}

/// @return the paths that exceed their target, with their sums.
std::string TooLong(const std::vector<Path>& paths) {
  std::string too_long;
  for (const Path& path : paths) {
    if (path.sum <= path.target_ratio * path.bound) continue;
    absl::StrAppend(&too_long, path.name, ": ", absl::FormatDuration(path.sum),
                    " of ", absl::FormatDuration(path.bound), "; ");
  }
  return too_long;
}

absl::Duration AnyBound() {
  return absl::Milliseconds(*rc::gen::inRange(
      static_cast<int>(absl::ToInt64Milliseconds(kSmallestBound)),
      kMaxBoundMs));
}

}  // namespace

class PublishingTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishingTimesTest);
  CPPUNIT_TEST(SumsLeaveAReserveWithSlowProcessorAndLinks);
  CPPUNIT_TEST(SumsLeaveAReserveUnderAnyBound);
  CPPUNIT_TEST(WatchingHostsUseHalfOfTheBoundWhenOneThingFails);
  CPPUNIT_TEST(SumsLeaveAReserveOverSlowWays);
  CPPUNIT_TEST(ReadersProveInTimeUnderAnyBound);
  CPPUNIT_TEST(FirstPauseAfterAFailureIsThatOfTheSchedule);
  CPPUNIT_TEST(HostsDrawFromTheRanges);
  CPPUNIT_TEST(ChangeIsInForceInTimeOnTheSlowestPath);
  CPPUNIT_TEST(CallIsNotGivenUpOnTheSlowestPath);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Sums of 3.75 of 4 s and 4.65 of 5 s left no time for a busy processor, a
  // slow link or a datagram on its way.
  void SumsLeaveAReserveWithSlowProcessorAndLinks() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         TooLong(Paths(PublishingTimes::For(kSmallestBound))));
  }
  void SumsLeaveAReserveUnderAnyBound() {
    CPPUNIT_ASSERT(rc::check("sums under any bound", [] {
      RC_ASSERT(TooLong(Paths(PublishingTimes::For(AnyBound()))) == "");
    }));
  }
  void WatchingHostsUseHalfOfTheBoundWhenOneThingFails() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        TooLong(PathsToWatchingHosts(PublishingTimes::For(kSmallestBound))));
    CPPUNIT_ASSERT(rc::check("sums of watching hosts under any bound", [] {
      RC_ASSERT(TooLong(PathsToWatchingHosts(
                    PublishingTimes::For(AnyBound()))) == "");
    }));
  }
  // No call may be given up for what it takes on a slow way.
  void SumsLeaveAReserveOverSlowWays() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        TooLong(PathsOverSlowWays(PublishingTimes::For(kSmallestBound))));
    CPPUNIT_ASSERT(rc::check("sums over slow ways under any bound", [] {
      const PublishingTimes times = PublishingTimes::For(AnyBound());
      RC_ASSERT(TooLong(PathsOverSlowWays(times)) == "");
      RC_ASSERT(IsAnsweredInTime(times, absl::Milliseconds(150), 1));
      RC_ASSERT(
          IsAnsweredInTime(times, absl::Milliseconds(250), kManyFailures));
      RC_ASSERT(times.patience >= 4 * absl::Seconds(1));
    }));
  }
  void ReadersProveInTimeUnderAnyBound() {
    CPPUNIT_ASSERT(rc::check("ranges under any bound", [] {
      const PublishingTimes times = PublishingTimes::For(
          absl::Milliseconds(*rc::gen::inRange(1, kMaxBoundMs)));
      RC_ASSERT(times.watch <= times.min_peer_age);
      RC_ASSERT(times.min_peer_age < times.max_peer_age);
      RC_ASSERT(times.max_peer_age < times.outdated_log);
      RC_ASSERT(times.min_retry_pause > absl::ZeroDuration());
      RC_ASSERT(times.min_retry_pause < times.max_retry_pause);
    }));
  }
  void FirstPauseAfterAFailureIsThatOfTheSchedule() {
    CPPUNIT_ASSERT(PollSchedule().PauseAfterFailure(absl::UnixEpoch(), 1) ==
                   PublishingTimes::For(kSmallestBound).failure_pause);
  }
  void HostsDrawFromTheRanges() {
    const PublishingTimes times = PublishingTimes::For(kSmallestBound);
    CPPUNIT_ASSERT(times.PeerAge(0) == times.min_peer_age);
    CPPUNIT_ASSERT(times.PeerAge(1) == times.max_peer_age);
    CPPUNIT_ASSERT(times.RetryPause(0) == times.min_retry_pause);
    CPPUNIT_ASSERT(times.RetryPause(1) == times.max_retry_pause);
  }
  void ChangeIsInForceInTimeOnTheSlowestPath() {
    CPPUNIT_ASSERT(rc::check("slowest path under any bound", [] {
      const PublishingTimes times = PublishingTimes::For(AnyBound());
      const absl::Duration one_way = times.max_response / 2;
      const absl::Duration sum = one_way * 3 + kBatchPause + kWithoutProcessor;
      RC_ASSERT(sum <= times.bound * kTargetRatio);
      RC_ASSERT(times.max_response >= absl::Seconds(2));
    }));
  }
  void CallIsNotGivenUpOnTheSlowestPath() {
    CPPUNIT_ASSERT(rc::check("patience under any bound", [] {
      const PublishingTimes times = PublishingTimes::For(
          absl::Milliseconds(*rc::gen::inRange(1, kMaxBoundMs)));
      RC_ASSERT(times.response <= times.max_response);
      RC_ASSERT(times.max_response <= times.outage_response);
      RC_ASSERT(times.patience >= times.max_response * 2);
      RC_ASSERT(times.patience <= times.max_patience);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublishingTimesTest);

}  // namespace cherrydyke
