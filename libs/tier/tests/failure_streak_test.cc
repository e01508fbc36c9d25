#include "tier/failure_streak.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kSecond = absl::Seconds(1);
constexpr absl::Duration kExpiry = absl::Seconds(5);

FailureStreak TwoFailures() {
  return FailureStreak(kExpiry).AfterFailure(kStart).AfterFailure(kStart +
                                                                  kSecond);
}

}  // namespace

class FailureStreakTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailureStreakTest);
  CPPUNIT_TEST(CountsFailuresInARow);
  CPPUNIT_TEST(SuccessEndsIt);
  CPPUNIT_TEST(FailureLongAfterTheLastOneIsTheFirstOfAnother);
  CPPUNIT_TEST(LaterSuccessOfAnotherEndsIt);
  CPPUNIT_TEST(EarlierSuccessOfAnotherDoesNotEndIt);
  CPPUNIT_TEST(SuccessesOfOthersEndItOnce);
  CPPUNIT_TEST(SuccessOfAnotherCountsAgainAfterAnOwnSuccess);
  CPPUNIT_TEST(SuccessOfAnotherCountsAgainAfterTheExpiry);
  CPPUNIT_TEST(SuccessOfAnotherWithoutFailuresChangesNothing);
  CPPUNIT_TEST(OthersEndAtMostOneStreakOfAHostThatIsTurnedAway);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountsFailuresInARow() {
    CPPUNIT_ASSERT_EQUAL(0, FailureStreak(kExpiry).count());
    CPPUNIT_ASSERT(!FailureStreak(kExpiry).last_call_failed());
    CPPUNIT_ASSERT_EQUAL(2, TwoFailures().count());
    CPPUNIT_ASSERT(TwoFailures().last_call_failed());
    CPPUNIT_ASSERT(TwoFailures().last_failure_at() == kStart + kSecond);
  }

  void SuccessEndsIt() {
    CPPUNIT_ASSERT(TwoFailures().AfterSuccess() == FailureStreak(kExpiry));
  }

  void FailureLongAfterTheLastOneIsTheFirstOfAnother() {
    const FailureStreak streak = TwoFailures();
    const absl::Time expired = streak.last_failure_at() + kExpiry;
    CPPUNIT_ASSERT_EQUAL(3, streak.AfterFailure(expired).count());
    CPPUNIT_ASSERT(streak.AfterFailure(expired + kSecond) ==
                   FailureStreak(kExpiry).AfterFailure(expired + kSecond));
  }

  void LaterSuccessOfAnotherEndsIt() {
    const FailureStreak streak =
        TwoFailures().AfterSuccessOfAnother(kStart + 2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(0, streak.count());
    CPPUNIT_ASSERT(streak.last_call_failed());
    CPPUNIT_ASSERT_EQUAL(1, streak.AfterFailure(kStart + 3 * kSecond).count());
  }

  void EarlierSuccessOfAnotherDoesNotEndIt() {
    const FailureStreak streak = TwoFailures();
    CPPUNIT_ASSERT(streak.AfterSuccessOfAnother(kStart) == streak);
    CPPUNIT_ASSERT(streak.AfterSuccessOfAnother(streak.last_failure_at()) ==
                   streak);
  }

  void SuccessesOfOthersEndItOnce() {
    const FailureStreak streak =
        TwoFailures()
            .AfterSuccessOfAnother(kStart + 2 * kSecond)
            .AfterFailure(kStart + 3 * kSecond)
            .AfterFailure(kStart + 4 * kSecond);
    CPPUNIT_ASSERT(streak.AfterSuccessOfAnother(kStart + 5 * kSecond) ==
                   streak);
  }

  void SuccessOfAnotherCountsAgainAfterAnOwnSuccess() {
    const FailureStreak streak =
        TwoFailures()
            .AfterSuccessOfAnother(kStart + 2 * kSecond)
            .AfterSuccess()
            .AfterFailure(kStart + 3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(
        0, streak.AfterSuccessOfAnother(kStart + 4 * kSecond).count());
  }

  void SuccessOfAnotherCountsAgainAfterTheExpiry() {
    const absl::Time later = kStart + 2 * kSecond + kExpiry;
    const FailureStreak streak =
        TwoFailures()
            .AfterSuccessOfAnother(kStart + 2 * kSecond)
            .AfterFailure(later);
    CPPUNIT_ASSERT_EQUAL(1, streak.count());
    CPPUNIT_ASSERT_EQUAL(0,
                         streak.AfterSuccessOfAnother(later + kSecond).count());
  }

  void SuccessOfAnotherWithoutFailuresChangesNothing() {
    const FailureStreak none(kExpiry);
    CPPUNIT_ASSERT(none.AfterSuccessOfAnother(kStart) == none);
  }

  void OthersEndAtMostOneStreakOfAHostThatIsTurnedAway() {
    CPPUNIT_ASSERT(rc::check("failures that never pause for the expiry", [] {
      const auto steps = *rc::gen::container<std::vector<int>>(
          100, rc::gen::inRange(
                   1, static_cast<int>(absl::ToInt64Milliseconds(kExpiry))));
      FailureStreak streak(kExpiry);
      absl::Time now = kStart;
      int ended = 0;
      for (const int step : steps) {
        now += absl::Milliseconds(step);
        streak = streak.AfterFailure(now);
        const FailureStreak after =
            streak.AfterSuccessOfAnother(now + absl::Milliseconds(1));
        if (after.count() == 0) ++ended;
        streak = after;
      }
      RC_ASSERT(ended == 1);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureStreakTest);

}  // namespace cherrydyke
