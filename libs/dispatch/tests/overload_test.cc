#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/concurrency_limit.h"
#include "dispatch/retry_after_scheduler.h"

namespace cherrydyke {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kMaxLatency = absl::Milliseconds(100);
constexpr absl::Duration kInTime = absl::Milliseconds(10);
constexpr absl::Duration kLate = absl::Milliseconds(300);
constexpr int kConnections = 4;

// Requests that the limit allows at once.
int AllowedRequests(const ConcurrencyLimit& limit) {
  int outstanding = 0;
  while (limit.HasRoom(outstanding)) ++outstanding;
  return outstanding;
}

}  // namespace

class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(LimitStartsWithOneQueuedRequestPerConnection);
  CPPUNIT_TEST(LateAnswersLowerTheLimitOncePerMaxLatency);
  CPPUNIT_TEST(OneRequestIsAlwaysAllowed);
  CPPUNIT_TEST(FastAnswersRaiseTheLimitAgain);
  CPPUNIT_TEST(AnswersThatAreNearlyLateDoNotChangeTheLimit);
  CPPUNIT_TEST(QuickCancellationsDoNotChangeTheLimit);
  CPPUNIT_TEST(LimitFollowsTheNumberOfConnections);
  CPPUNIT_TEST(FirstRefusedCallerGetsTheBaseDelay);
  CPPUNIT_TEST(RetriesAreSpreadOverTheBacklog);
  CPPUNIT_TEST(DelaysAreBounded);
  CPPUNIT_TEST(UnusedSlotsExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LimitStartsWithOneQueuedRequestPerConnection() {
    CPPUNIT_ASSERT_EQUAL(2 * kConnections,
                         AllowedRequests(ConcurrencyLimit(kConnections)));
    // With one connection, bursts of two requests must not be refused.
    CPPUNIT_ASSERT_EQUAL(3, AllowedRequests(ConcurrencyLimit(1)));
  }

  void LateAnswersLowerTheLimitOncePerMaxLatency() {
    ConcurrencyLimit limit(kConnections);
    limit.OnAnswered(kLate, kMaxLatency, kNow);
    const int lowered = AllowedRequests(limit);
    CPPUNIT_ASSERT(lowered < 2 * kConnections);
    limit.OnCancelled(kLate, kMaxLatency, kNow + kMaxLatency / 2);
    CPPUNIT_ASSERT_EQUAL(lowered, AllowedRequests(limit));
    limit.OnCancelled(kLate, kMaxLatency, kNow + kMaxLatency);
    CPPUNIT_ASSERT(AllowedRequests(limit) < lowered);
  }

  void OneRequestIsAlwaysAllowed() {
    ConcurrencyLimit limit(kConnections);
    for (int late = 0; late < 100; ++late) {
      limit.OnAnswered(kLate, kMaxLatency, kNow + late * kMaxLatency);
    }
    CPPUNIT_ASSERT_EQUAL(1, AllowedRequests(limit));
  }

  void FastAnswersRaiseTheLimitAgain() {
    ConcurrencyLimit limit(kConnections);
    for (int late = 0; late < 100; ++late) {
      limit.OnAnswered(kLate, kMaxLatency, kNow + late * kMaxLatency);
    }
    for (int answer = 0; answer < 100; ++answer) {
      limit.OnAnswered(kInTime, kMaxLatency, kNow);
    }
    CPPUNIT_ASSERT_EQUAL(2 * kConnections, AllowedRequests(limit));
  }

  void AnswersThatAreNearlyLateDoNotChangeTheLimit() {
    ConcurrencyLimit limit(kConnections);
    limit.OnAnswered(kLate, kMaxLatency, kNow);
    const int lowered = AllowedRequests(limit);
    for (int answer = 0; answer < 100; ++answer) {
      limit.OnAnswered(kMaxLatency * 0.9, kMaxLatency, kNow + kMaxLatency);
    }
    CPPUNIT_ASSERT_EQUAL(lowered, AllowedRequests(limit));
  }

  void QuickCancellationsDoNotChangeTheLimit() {
    ConcurrencyLimit limit(kConnections);
    limit.OnAnswered(kLate, kMaxLatency, kNow);
    const int lowered = AllowedRequests(limit);
    for (int end = 0; end < 100; ++end) {
      limit.OnCancelled(kInTime, kMaxLatency, kNow + kMaxLatency);
    }
    CPPUNIT_ASSERT_EQUAL(lowered, AllowedRequests(limit));
  }

  void LimitFollowsTheNumberOfConnections() {
    ConcurrencyLimit limit(kConnections);
    limit.SetConnections(2 * kConnections);
    CPPUNIT_ASSERT_EQUAL(4 * kConnections, AllowedRequests(limit));
    limit.SetConnections(kConnections);
    CPPUNIT_ASSERT_EQUAL(2 * kConnections, AllowedRequests(limit));
    // More connections do not raise a limit that late answers have lowered.
    for (int late = 0; late < 100; ++late) {
      limit.OnAnswered(kLate, kMaxLatency, kNow + late * kMaxLatency);
    }
    limit.SetConnections(3 * kConnections);
    CPPUNIT_ASSERT_EQUAL(1, AllowedRequests(limit));
  }

  void FirstRefusedCallerGetsTheBaseDelay() {
    RetryAfterScheduler scheduler(absl::Milliseconds(200), 0.5);
    CPPUNIT_ASSERT(scheduler.NextDelay(0, kNow) == absl::Milliseconds(100));
    CPPUNIT_ASSERT(scheduler.NextDelay(0.5, kNow) == absl::Milliseconds(200));
    CPPUNIT_ASSERT(scheduler.BaseDelay(0.5) == absl::Milliseconds(200));
  }

  void RetriesAreSpreadOverTheBacklog() {
    RetryAfterScheduler scheduler(absl::Milliseconds(200), 0);
    // 40 answers per second: 20 retries per second, one every 50 ms.
    for (int answer = 0; answer < 40; ++answer) scheduler.OnAnswered(kNow);
    absl::Duration last;
    for (int refused = 0; refused < 10; ++refused) {
      const absl::Duration wait = scheduler.NextDelay(0.5, kNow);
      if (refused > 0) {
        CPPUNIT_ASSERT(wait - last == absl::Milliseconds(50));
      }
      last = wait;
    }
  }

  void DelaysAreBounded() {
    RetryAfterScheduler scheduler(absl::Milliseconds(200), 0);
    scheduler.OnAnswered(kNow);
    for (int refused = 0; refused < 1000; ++refused) {
      CPPUNIT_ASSERT(scheduler.NextDelay(0.5, kNow) <=
                     absl::Milliseconds(2200));
    }
  }

  void UnusedSlotsExpire() {
    RetryAfterScheduler scheduler(absl::Milliseconds(200), 0);
    scheduler.OnAnswered(kNow);
    scheduler.NextDelay(0.5, kNow);
    // The slots of the past hour have expired; the next slot starts now.
    const absl::Time later = kNow + absl::Hours(1);
    CPPUNIT_ASSERT(scheduler.NextDelay(0.5, later) >= absl::Milliseconds(200));
    for (int answer = 0; answer < 20; ++answer) scheduler.OnAnswered(later);
    const absl::Duration first = scheduler.NextDelay(0.5, later);
    CPPUNIT_ASSERT(scheduler.NextDelay(0.5, later) - first ==
                   absl::Milliseconds(100));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}  // namespace cherrydyke
