#include "targets/target_limiter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace cherrydyke {
namespace {

constexpr TargetLimits kLimits{4, 1, 5};

}  // namespace

class TargetLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLimiterTest);
  CPPUNIT_TEST(RandomRunKeepsTheLimits);
  CPPUNIT_TEST(WarmsOnDeclaredSuccesses);
  CPPUNIT_TEST(TimedOutRequestKeepsItsSlot);
  CPPUNIT_TEST(SignsOfANewStartMakeCold);
  CPPUNIT_TEST(LossStaysColdUntilSuccesses);
  CPPUNIT_TEST(StragglerIsTriedAgainAfterATime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RandomRunKeepsTheLimits() {
    CPPUNIT_ASSERT(rc::check("running and ghosts stay within the limit", [] {
      absl::Time now = absl::UnixEpoch() + absl::Hours(1);
      TargetLimiter state(kLimits, now);
      int running = 0;
      int successes = 0;
      const auto steps =
          *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 30));
      for (const int step : steps) {
        now += absl::Milliseconds(step);
        if (step % 3 != 0 || running == 0) {
          if (state.TryStart(now)) ++running;
          RC_ASSERT(running <= kLimits.slots);
          if (successes < kLimits.cold_successes) {
            RC_ASSERT(running <= kLimits.cold_concurrency);
          }
          continue;
        }
        const auto outcome = static_cast<AttemptOutcome>(step % 14);
        --running;
        state.Finish(outcome, absl::Milliseconds(5),
                     now + absl::Milliseconds(50), now);
        const bool cold_again = outcome == AttemptOutcome::kCold ||
                                outcome == AttemptOutcome::kConnectionLost ||
                                outcome == AttemptOutcome::kUnreachable;
        if (outcome == AttemptOutcome::kDone) ++successes;
        if (cold_again) successes = 0;
      }
    }));
  }

  void WarmsOnDeclaredSuccesses() {
    TargetLimiter state(kLimits, now_);
    for (int i = 0; i < kLimits.cold_successes; ++i) {
      CPPUNIT_ASSERT_EQUAL(1, state.Limit());
      Succeed(state);
    }
    CPPUNIT_ASSERT_EQUAL(2, state.Limit());
    CPPUNIT_ASSERT(state.phase() == TargetPhase::kWarming);
    for (int i = 0; i < 5; ++i) Succeed(state);
    CPPUNIT_ASSERT(state.phase() == TargetPhase::kWarm);
    CPPUNIT_ASSERT_EQUAL(4, state.Limit());
  }

  void TimedOutRequestKeepsItsSlot() {
    TargetLimiter state(kLimits, now_);
    CPPUNIT_ASSERT(state.TryStart(now_));
    state.Finish(AttemptOutcome::kSilent, absl::Milliseconds(10),
                 now_ + absl::Milliseconds(100), now_);
    CPPUNIT_ASSERT(!state.TryStart(now_));
    now_ += absl::Milliseconds(100);
    CPPUNIT_ASSERT(state.TryStart(now_));
  }

  void SignsOfANewStartMakeCold() {
    for (const AttemptOutcome sign :
         {AttemptOutcome::kCold, AttemptOutcome::kConnectionLost,
          AttemptOutcome::kUnreachable}) {
      TargetLimiter state = Warm();
      state.TryStart(now_);
      state.Finish(sign, absl::Milliseconds(1), now_, now_);
      CPPUNIT_ASSERT(state.phase() == TargetPhase::kCold);
      CPPUNIT_ASSERT_EQUAL(1, state.Limit());
    }
    TargetLimiter state = Warm();
    state.OnIncarnation("one");
    CPPUNIT_ASSERT(state.phase() == TargetPhase::kWarm);
    state.OnIncarnation("two");
    CPPUNIT_ASSERT(state.phase() == TargetPhase::kCold);
  }

  void LossStaysColdUntilSuccesses() {
    TargetLimiter state = Warm();
    // Four run while the target turns cold; their ends free no more than one.
    for (int i = 0; i < 4; ++i) CPPUNIT_ASSERT(state.TryStart(now_));
    state.Finish(AttemptOutcome::kCold, absl::Milliseconds(1), now_, now_);
    for (int left = 3; left > 0; --left) {
      CPPUNIT_ASSERT(!state.TryStart(now_));
      state.Finish(AttemptOutcome::kShed, absl::Milliseconds(1), now_, now_);
    }
    CPPUNIT_ASSERT(state.TryStart(now_));
    CPPUNIT_ASSERT(!state.TryStart(now_));
  }

  void StragglerIsTriedAgainAfterATime() {
    TargetLimiter state = Warm();
    state.TryStart(now_);
    state.Finish(AttemptOutcome::kCancelled, absl::Seconds(1), now_, now_);
    const absl::Duration slow = state.latency(now_);
    CPPUNIT_ASSERT(slow > absl::Milliseconds(50));
    CPPUNIT_ASSERT(state.latency(now_ + absl::Seconds(60)) <
                   absl::Milliseconds(5));
  }

 private:
  void Succeed(TargetLimiter& state) {
    CPPUNIT_ASSERT(state.TryStart(now_));
    state.Finish(AttemptOutcome::kDone, absl::Milliseconds(1), now_, now_);
  }

  TargetLimiter Warm() {
    TargetLimiter state(kLimits, now_);
    for (int i = 0; i < 20; ++i) Succeed(state);
    CPPUNIT_ASSERT(state.phase() == TargetPhase::kWarm);
    return state;
  }

  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLimiterTest);

}  // namespace cherrydyke
