#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/concurrency_limit.h"
#include "dispatch/retry_after_scheduler.h"

namespace cherrydyke {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kUseful = absl::Milliseconds(100);
constexpr absl::Duration kInTime = absl::Milliseconds(10);
constexpr absl::Duration kLate = absl::Milliseconds(300);
constexpr int kConnections = 4;

// Requests that the limit still allows.
int RoomOf(const ConcurrencyLimit& limit) {
  int outstanding = 0;
  while (limit.HasRoom(outstanding)) ++outstanding;
  return outstanding;
}

}  // namespace

class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(LimitBeginsWithOneWaitingForEachConnection);
  CPPUNIT_TEST(LateAnswersLowerTheLimitOnceForEachQueue);
  CPPUNIT_TEST(OneRequestIsAlwaysAllowed);
  CPPUNIT_TEST(AnswersInGoodTimeRaiseTheLimitAgain);
  CPPUNIT_TEST(AnswersThatAreNearlyLateLeaveItAsItIs);
  CPPUNIT_TEST(QuickEndsWithoutAnAnswerSayNothing);
  CPPUNIT_TEST(LimitFollowsTheConnections);
  CPPUNIT_TEST(FirstRefusedCallerWaitsTheUsualTime);
  CPPUNIT_TEST(ReturnsAreSpreadOverTheBacklog);
  CPPUNIT_TEST(PlacesAreNeverBeyondTheLongestWait);
  CPPUNIT_TEST(UnusedPlacesDoNotAddUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LimitBeginsWithOneWaitingForEachConnection() {
    CPPUNIT_ASSERT_EQUAL(2 * kConnections,
                         RoomOf(ConcurrencyLimit(kConnections)));
    // A single connection must not make bursts of two be refused.
    CPPUNIT_ASSERT_EQUAL(3, RoomOf(ConcurrencyLimit(1)));
  }

  void LateAnswersLowerTheLimitOnceForEachQueue() {
    ConcurrencyLimit limit(kConnections);
    limit.OnAnswered(kLate, kUseful, kNow);
    const int lowered = RoomOf(limit);
    CPPUNIT_ASSERT(lowered < 2 * kConnections);
    limit.OnCancelled(kLate, kUseful, kNow + kUseful / 2);
    CPPUNIT_ASSERT_EQUAL(lowered, RoomOf(limit));
    limit.OnCancelled(kLate, kUseful, kNow + kUseful);
    CPPUNIT_ASSERT(RoomOf(limit) < lowered);
  }

  void OneRequestIsAlwaysAllowed() {
    ConcurrencyLimit limit(kConnections);
    for (int late = 0; late < 100; ++late) {
      limit.OnAnswered(kLate, kUseful, kNow + late * kUseful);
    }
    CPPUNIT_ASSERT_EQUAL(1, RoomOf(limit));
  }

  void AnswersInGoodTimeRaiseTheLimitAgain() {
    ConcurrencyLimit limit(kConnections);
    for (int late = 0; late < 100; ++late) {
      limit.OnAnswered(kLate, kUseful, kNow + late * kUseful);
    }
    for (int answer = 0; answer < 100; ++answer) {
      limit.OnAnswered(kInTime, kUseful, kNow);
    }
    CPPUNIT_ASSERT_EQUAL(2 * kConnections, RoomOf(limit));
  }

  void AnswersThatAreNearlyLateLeaveItAsItIs() {
    ConcurrencyLimit limit(kConnections);
    limit.OnAnswered(kLate, kUseful, kNow);
    const int lowered = RoomOf(limit);
    for (int answer = 0; answer < 100; ++answer) {
      limit.OnAnswered(kUseful * 0.9, kUseful, kNow + kUseful);
    }
    CPPUNIT_ASSERT_EQUAL(lowered, RoomOf(limit));
  }

  void QuickEndsWithoutAnAnswerSayNothing() {
    ConcurrencyLimit limit(kConnections);
    limit.OnAnswered(kLate, kUseful, kNow);
    const int lowered = RoomOf(limit);
    for (int end = 0; end < 100; ++end) {
      limit.OnCancelled(kInTime, kUseful, kNow + kUseful);
    }
    CPPUNIT_ASSERT_EQUAL(lowered, RoomOf(limit));
  }

  void LimitFollowsTheConnections() {
    ConcurrencyLimit limit(kConnections);
    limit.SetConnections(2 * kConnections);
    CPPUNIT_ASSERT_EQUAL(4 * kConnections, RoomOf(limit));
    limit.SetConnections(kConnections);
    CPPUNIT_ASSERT_EQUAL(2 * kConnections, RoomOf(limit));
    // What was lowered by late answers is not raised by more connections.
    for (int late = 0; late < 100; ++late) {
      limit.OnAnswered(kLate, kUseful, kNow + late * kUseful);
    }
    limit.SetConnections(3 * kConnections);
    CPPUNIT_ASSERT_EQUAL(1, RoomOf(limit));
  }

  void FirstRefusedCallerWaitsTheUsualTime() {
    RetryAfterScheduler returns(absl::Milliseconds(200), 0.5);
    CPPUNIT_ASSERT(returns.NextDelay(0, kNow) == absl::Milliseconds(100));
    CPPUNIT_ASSERT(returns.NextDelay(0.5, kNow) == absl::Milliseconds(200));
    CPPUNIT_ASSERT(returns.BaseDelay(0.5) == absl::Milliseconds(200));
  }

  void ReturnsAreSpreadOverTheBacklog() {
    RetryAfterScheduler returns(absl::Milliseconds(200), 0);
    // 40 answers a second: returns may take 20, one each 50 ms.
    for (int answer = 0; answer < 40; ++answer) returns.OnAnswered(kNow);
    absl::Duration last;
    for (int refused = 0; refused < 10; ++refused) {
      const absl::Duration wait = returns.NextDelay(0.5, kNow);
      if (refused > 0) {
        CPPUNIT_ASSERT(wait - last == absl::Milliseconds(50));
      }
      last = wait;
    }
  }

  void PlacesAreNeverBeyondTheLongestWait() {
    RetryAfterScheduler returns(absl::Milliseconds(200), 0);
    returns.OnAnswered(kNow);
    for (int refused = 0; refused < 1000; ++refused) {
      CPPUNIT_ASSERT(returns.NextDelay(0.5, kNow) <= absl::Milliseconds(2200));
    }
  }

  void UnusedPlacesDoNotAddUp() {
    RetryAfterScheduler returns(absl::Milliseconds(200), 0);
    returns.OnAnswered(kNow);
    returns.NextDelay(0.5, kNow);
    // The places of the hour since then are gone; the next one is new.
    const absl::Time later = kNow + absl::Hours(1);
    CPPUNIT_ASSERT(returns.NextDelay(0.5, later) >= absl::Milliseconds(200));
    for (int answer = 0; answer < 20; ++answer) returns.OnAnswered(later);
    const absl::Duration first = returns.NextDelay(0.5, later);
    CPPUNIT_ASSERT(returns.NextDelay(0.5, later) - first ==
                   absl::Milliseconds(100));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}  // namespace cherrydyke
