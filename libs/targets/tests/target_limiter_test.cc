#include "targets/target_limiter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace cherrydyke {
namespace {

constexpr TargetLimits kLimits{4, 1, 5};

}  // namespace

class TargetLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLimiterTest);
  CPPUNIT_TEST(InFlightStaysWithinLimitsInRandomRuns);
  CPPUNIT_TEST(LimitIncreasesAfterColdSuccesses);
  CPPUNIT_TEST(TimedOutRequestKeepsSlotUntilDeadline);
  CPPUNIT_TEST(RestartSignsMarkTargetCold);
  CPPUNIT_TEST(ColdLimitAppliesToRequestsStartedWarm);
  CPPUNIT_TEST(LatencyDecaysWhileUnused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InFlightStaysWithinLimitsInRandomRuns() {
    CPPUNIT_ASSERT(rc::check("requests in flight stay within the limit", [] {
      absl::Time now = absl::UnixEpoch() + absl::Hours(1);
      TargetLimiter limiter(kLimits, now);
      int running = 0;
      int successes = 0;
      const auto steps =
          *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 30));
      for (const int step : steps) {
        now += absl::Milliseconds(step);
        if (step % 3 != 0 || running == 0) {
          if (limiter.TryStart(now)) ++running;
          RC_ASSERT(running <= kLimits.slots);
          if (successes < kLimits.cold_successes) {
            RC_ASSERT(running <= kLimits.cold_concurrency);
          }
          continue;
        }
        const auto outcome = static_cast<AttemptOutcome>(step % 14);
        --running;
        limiter.Finish(outcome, absl::Milliseconds(5),
                       now + absl::Milliseconds(50), now);
        const bool cold_again = outcome == AttemptOutcome::kCold ||
                                outcome == AttemptOutcome::kConnectionLost ||
                                outcome == AttemptOutcome::kUnreachable;
        if (outcome == AttemptOutcome::kDone) ++successes;
        if (cold_again) successes = 0;
      }
    }));
  }

  void LimitIncreasesAfterColdSuccesses() {
    TargetLimiter limiter(kLimits, now_);
    for (int i = 0; i < kLimits.cold_successes; ++i) {
      CPPUNIT_ASSERT_EQUAL(1, limiter.Limit());
      Succeed(limiter);
    }
    CPPUNIT_ASSERT_EQUAL(2, limiter.Limit());
    CPPUNIT_ASSERT(limiter.phase() == TargetPhase::kWarming);
    for (int i = 0; i < 5; ++i) Succeed(limiter);
    CPPUNIT_ASSERT(limiter.phase() == TargetPhase::kWarm);
    CPPUNIT_ASSERT_EQUAL(4, limiter.Limit());
  }

  void TimedOutRequestKeepsSlotUntilDeadline() {
    TargetLimiter limiter(kLimits, now_);
    CPPUNIT_ASSERT(limiter.TryStart(now_));
    limiter.Finish(AttemptOutcome::kUnresponsive, absl::Milliseconds(10),
                   now_ + absl::Milliseconds(100), now_);
    CPPUNIT_ASSERT(!limiter.TryStart(now_));
    now_ += absl::Milliseconds(100);
    CPPUNIT_ASSERT(limiter.TryStart(now_));
  }

  void RestartSignsMarkTargetCold() {
    for (const AttemptOutcome outcome :
         {AttemptOutcome::kCold, AttemptOutcome::kConnectionLost,
          AttemptOutcome::kUnreachable}) {
      TargetLimiter limiter = WarmLimiter();
      limiter.TryStart(now_);
      limiter.Finish(outcome, absl::Milliseconds(1), now_, now_);
      CPPUNIT_ASSERT(limiter.phase() == TargetPhase::kCold);
      CPPUNIT_ASSERT_EQUAL(1, limiter.Limit());
    }
    TargetLimiter limiter = WarmLimiter();
    limiter.OnIncarnation("one");
    CPPUNIT_ASSERT(limiter.phase() == TargetPhase::kWarm);
    limiter.OnIncarnation("two");
    CPPUNIT_ASSERT(limiter.phase() == TargetPhase::kCold);
  }

  void ColdLimitAppliesToRequestsStartedWarm() {
    TargetLimiter limiter = WarmLimiter();
    // Four requests are running when the target becomes cold. With a cold
    // concurrency of one, no new one may start before all of them have ended.
    for (int i = 0; i < 4; ++i) CPPUNIT_ASSERT(limiter.TryStart(now_));
    limiter.Finish(AttemptOutcome::kCold, absl::Milliseconds(1), now_, now_);
    for (int left = 3; left > 0; --left) {
      CPPUNIT_ASSERT(!limiter.TryStart(now_));
      limiter.Finish(AttemptOutcome::kShed, absl::Milliseconds(1), now_, now_);
    }
    CPPUNIT_ASSERT(limiter.TryStart(now_));
    CPPUNIT_ASSERT(!limiter.TryStart(now_));
  }

  void LatencyDecaysWhileUnused() {
    TargetLimiter limiter = WarmLimiter();
    limiter.TryStart(now_);
    limiter.Finish(AttemptOutcome::kCancelled, absl::Seconds(1), now_, now_);
    const absl::Duration initial_latency = limiter.latency(now_);
    CPPUNIT_ASSERT(initial_latency > absl::Milliseconds(50));
    CPPUNIT_ASSERT(limiter.latency(now_ + absl::Seconds(60)) <
                   absl::Milliseconds(5));
  }

 private:
  void Succeed(TargetLimiter& limiter) {
    CPPUNIT_ASSERT(limiter.TryStart(now_));
    limiter.Finish(AttemptOutcome::kDone, absl::Milliseconds(1), now_, now_);
  }

  TargetLimiter WarmLimiter() {
    TargetLimiter limiter(kLimits, now_);
    for (int i = 0; i < 20; ++i) Succeed(limiter);
    CPPUNIT_ASSERT(limiter.phase() == TargetPhase::kWarm);
    return limiter;
  }

  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLimiterTest);

}  // namespace cherrydyke
