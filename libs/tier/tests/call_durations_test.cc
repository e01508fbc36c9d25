#include "tier/call_durations.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace cherrydyke {
namespace {

constexpr absl::Duration kNoWait = absl::ZeroDuration();
constexpr absl::Duration kMillisecond = absl::Milliseconds(1);

CallDuration Page(absl::Duration elapsed) {
  return CallDuration::Answered(elapsed, kNoWait);
}

CallDurations SlowCalls() {
  CallDurations durations;
  for (int i = 0; i < CallDurations::kCallsUntilSlow; ++i) {
    durations.Add(Page(CallDurations::kSlow));
  }
  return durations;
}

}  // namespace

class CallDurationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallDurationsTest);
  CPPUNIT_TEST(WaitDoesNotCount);
  CPPUNIT_TEST(AnswerBeforeTheEndOfTheWaitBoundsTheDuration);
  CPPUNIT_TEST(SeveralSlowCallsInARowMakeCallsSlow);
  CPPUNIT_TEST(SingleSlowCallsChangeNothing);
  CPPUNIT_TEST(SeveralFastCallsInARowMakeCallsFastAgain);
  CPPUNIT_TEST(SingleFastCallsChangeNothing);
  CPPUNIT_TEST(UnansweredCallsChangeNothing);
  CPPUNIT_TEST(AnswersOfUnknownDurationDoNotMakeCallsSlow);
  CPPUNIT_TEST(KeepsTheLastDurations);
  CPPUNIT_TEST(ChangesNeedAsManyCalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WaitDoesNotCount() {
    const CallDuration watch =
        CallDuration::Answered(absl::Milliseconds(1242), absl::Seconds(1.2));
    CPPUNIT_ASSERT(watch == Page(absl::Milliseconds(42)));
    CPPUNIT_ASSERT(watch.is_exact());
  }

  void AnswerBeforeTheEndOfTheWaitBoundsTheDuration() {
    const CallDuration change =
        CallDuration::Answered(absl::Milliseconds(300), absl::Seconds(1.2));
    CPPUNIT_ASSERT(!change.is_exact());
    CPPUNIT_ASSERT(change.least == absl::ZeroDuration());
    CPPUNIT_ASSERT(change.most == absl::Milliseconds(300));
  }

  void SeveralSlowCallsInARowMakeCallsSlow() {
    CallDurations durations;
    for (int i = 1; i < CallDurations::kCallsUntilSlow; ++i) {
      CPPUNIT_ASSERT(!durations.Add(Page(CallDurations::kSlow)));
    }
    CPPUNIT_ASSERT(durations.Add(Page(CallDurations::kSlow)));
    CPPUNIT_ASSERT(durations.are_slow());
    CPPUNIT_ASSERT(!durations.Add(Page(CallDurations::kSlow)));
  }

  void SingleSlowCallsChangeNothing() {
    CallDurations durations;
    for (int i = 0; i < 20; ++i) {
      const bool is_slow = i % CallDurations::kCallsUntilSlow == 0;
      CPPUNIT_ASSERT(!durations.Add(
          Page(is_slow ? 2 * CallDurations::kSlow : kMillisecond)));
    }
  }

  void SeveralFastCallsInARowMakeCallsFastAgain() {
    CallDurations durations = SlowCalls();
    for (int i = 1; i < CallDurations::kCallsUntilFast; ++i) {
      CPPUNIT_ASSERT(!durations.Add(Page(kMillisecond)));
    }
    CPPUNIT_ASSERT(durations.Add(Page(kMillisecond)));
    CPPUNIT_ASSERT(!durations.are_slow());
  }

  void SingleFastCallsChangeNothing() {
    CallDurations durations = SlowCalls();
    for (int i = 1; i < 20; ++i) {
      const bool is_slow = i % CallDurations::kCallsUntilFast == 0;
      CPPUNIT_ASSERT(
          !durations.Add(Page(is_slow ? CallDurations::kFast : kMillisecond)));
    }
  }

  void UnansweredCallsChangeNothing() {
    CallDurations fast;
    CallDurations slow = SlowCalls();
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(
          !fast.Add(CallDuration::Unanswered(absl::Seconds(1), kNoWait)));
      CPPUNIT_ASSERT(
          !slow.Add(CallDuration::Unanswered(kMillisecond, kNoWait)));
    }
  }

  void AnswersOfUnknownDurationDoNotMakeCallsSlow() {
    CallDurations durations;
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(!durations.Add(
          CallDuration::Answered(absl::Seconds(1), absl::Seconds(1.2))));
    }
  }

  void KeepsTheLastDurations() {
    CallDurations durations;
    for (size_t i = 0; i < CallDurations::kMaxKept; ++i) {
      durations.Add(Page(absl::Milliseconds(7)));
    }
    durations.Add(
        CallDuration::Answered(absl::Milliseconds(300), absl::Seconds(1)));
    durations.Add(CallDuration::Unanswered(absl::Milliseconds(600), kNoWait));
    CPPUNIT_ASSERT_EQUAL(CallDurations::kMaxKept, durations.last().size());
    CPPUNIT_ASSERT_EQUAL(std::string("7 7 7 7 7 7 <300 600+"),
                         durations.ToString());
  }

  void ChangesNeedAsManyCalls() {
    rc::check("lines are bounded by the calls",
              [](const std::vector<unsigned char>& elapsed) {
                CallDurations durations;
                int changes = 0;
                for (const unsigned char tens : elapsed) {
                  if (durations.Add(Page(10 * tens * kMillisecond))) ++changes;
                }
                const int calls_between = CallDurations::kCallsUntilSlow +
                                          CallDurations::kCallsUntilFast;
                const int calls = static_cast<int>(elapsed.size());
                RC_ASSERT(changes <= 2 * (calls / calls_between) + 1);
              });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallDurationsTest);

}  // namespace cherrydyke
