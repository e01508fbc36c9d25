#include "tier/hedged_calls.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kPatience = absl::Seconds(4);
constexpr absl::Duration kMaxPatience = absl::Seconds(30);
constexpr int kMaxCalls = 2;

absl::Time At(int seconds) { return kStart + absl::Seconds(seconds); }

}  // namespace

class HedgedCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HedgedCallsTest);
  CPPUNIT_TEST(SecondCallLeavesTheFirstOne);
  CPPUNIT_TEST(ThirdCallReplacesTheSecond);
  CPPUNIT_TEST(AnswerMakesOtherCallsUseless);
  CPPUNIT_TEST(CallsBeforeTheAnsweredOneAreLost);
  CPPUNIT_TEST(CallsAfterTheAnsweredOneAreNotLost);
  CPPUNIT_TEST(FailedCallIsNotLostAsWell);
  CPPUNIT_TEST(SecondCallIsKeptOnceTheFirstHasFailed);
  CPPUNIT_TEST(PatienceDoublesUntilAnAnswer);
  CPPUNIT_TEST(RemembersTheLengthOfALongOutage);
  CPPUNIT_TEST(AtMostTwoCallsAndTheOldestIsKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SecondCallLeavesTheFirstOne() {
    StartLate(0);
    CPPUNIT_ASSERT(!calls_.MakeRoom());
    calls_.OnStarted(At(1));
    CPPUNIT_ASSERT_EQUAL(2, calls_.size());
  }

  void ThirdCallReplacesTheSecond() {
    StartLate(0);
    const auto second = StartLate(1);
    CPPUNIT_ASSERT(calls_.MakeRoom() == second);
    CPPUNIT_ASSERT_EQUAL(1, calls_.size());
  }

  void AnswerMakesOtherCallsUseless() {
    const auto first = StartLate(0);
    const auto second = calls_.OnStarted(At(1));
    CPPUNIT_ASSERT(calls_.OnAnswered(first).useless == std::vector{second});
    CPPUNIT_ASSERT(calls_.empty());
  }

  // Guards against an outage that isn't noticed (LOST).
  void CallsBeforeTheAnsweredOneAreLost() {
    const auto first = StartLate(0);
    StartLate(1);
    calls_.MakeRoom();
    const auto third = calls_.OnStarted(At(2));
    const HedgedCalls::Answer answer = calls_.OnAnswered(third);
    CPPUNIT_ASSERT((answer.lost == std::vector{At(0), At(1)}));
    CPPUNIT_ASSERT(answer.useless == std::vector{first});
  }

  // Guards against a slow path that is taken for an outage, in which targets
  // that have left are kept (DRAIN).
  void CallsAfterTheAnsweredOneAreNotLost() {
    const auto first = StartLate(0);
    StartLate(1);
    calls_.MakeRoom();
    StartLate(2);
    const HedgedCalls::Answer answer = calls_.OnAnswered(first);
    CPPUNIT_ASSERT(answer.started_at == At(0));
    CPPUNIT_ASSERT(answer.lost.empty());
    CPPUNIT_ASSERT((answer.overtaken == std::vector{At(1), At(2)}));
    // Nor later.
    CPPUNIT_ASSERT(calls_.OnAnswered(calls_.OnStarted(At(3))).lost.empty());
  }

  void FailedCallIsNotLostAsWell() {
    const auto first = StartLate(0);
    const auto second = calls_.OnStarted(At(1));
    const HedgedCalls::Failure failure = calls_.OnFailed(first);
    CPPUNIT_ASSERT(failure.started_at == At(0));
    CPPUNIT_ASSERT(failure.was_late);
    CPPUNIT_ASSERT(calls_.OnAnswered(second).lost.empty());
  }

  void SecondCallIsKeptOnceTheFirstHasFailed() {
    const auto first = StartLate(0);
    StartLate(1);
    calls_.OnFailed(first);
    CPPUNIT_ASSERT(!calls_.MakeRoom());
    const auto third = StartLate(2);
    CPPUNIT_ASSERT(calls_.MakeRoom() == third);
  }

  void PatienceDoublesUntilAnAnswer() {
    CPPUNIT_ASSERT(calls_.patience() == kPatience);
    calls_.OnGivenUp(StartLate(0));
    CPPUNIT_ASSERT(calls_.patience() == 2 * kPatience);
    calls_.OnFailed(StartLate(1));
    CPPUNIT_ASSERT(calls_.patience() == 2 * kPatience);
    for (int i = 2; i < 10; ++i) calls_.OnGivenUp(StartLate(i));
    CPPUNIT_ASSERT(calls_.patience() == kMaxPatience);
    calls_.OnAnswered(StartLate(20));
    CPPUNIT_ASSERT(calls_.patience() == kPatience);
  }

  void RemembersTheLengthOfALongOutage() {
    constexpr int kSeconds = 1000;
    constexpr size_t kMaxRemembered = 20;
    for (int second = 0; second < kSeconds; ++second) {
      calls_.MakeRoom();
      StartLate(second);
    }
    calls_.MakeRoom();
    const auto last = calls_.OnStarted(At(kSeconds));
    const std::vector<absl::Time> lost = calls_.OnAnswered(last).lost;
    CPPUNIT_ASSERT(lost.front() == At(0));
    CPPUNIT_ASSERT(lost.back() == At(kSeconds - 1));
    CPPUNIT_ASSERT(lost.size() <= kMaxRemembered);
  }

  void AtMostTwoCallsAndTheOldestIsKept() {
    CPPUNIT_ASSERT(rc::check("random events", [] {
      HedgedCalls calls({kPatience, kMaxPatience});
      std::vector<HedgedCalls::CallNumber> numbers;
      int second = 0;
      for (const int event :
           *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5))) {
        const size_t size = numbers.size();
        switch (event) {
          case 0:
          case 1:
            if (const auto cancelled = calls.MakeRoom()) {
              RC_ASSERT(*cancelled == numbers.back());
              numbers.pop_back();
            }
            numbers.push_back(calls.OnStarted(At(++second)));
            break;
          case 2:
            if (size > 0) calls.OnLate(numbers.back());
            break;
          case 3:
            if (size == 0) break;
            calls.OnFailed(numbers.front());
            numbers.erase(numbers.begin());
            break;
          default: {
            if (size == 0) break;
            const HedgedCalls::Answer answer = calls.OnAnswered(numbers.back());
            RC_ASSERT(std::is_sorted(answer.lost.begin(), answer.lost.end()));
            numbers.pop_back();
            RC_ASSERT(answer.useless == numbers);
            numbers.clear();
          }
        }
        RC_ASSERT(calls.size() == static_cast<int>(numbers.size()));
        RC_ASSERT(calls.size() <= kMaxCalls);
      }
    }));
  }

 private:
  HedgedCalls::CallNumber StartLate(int second) {
    const HedgedCalls::CallNumber call = calls_.OnStarted(At(second));
    calls_.OnLate(call);
    return call;
  }

  HedgedCalls calls_{{kPatience, kMaxPatience}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgedCallsTest);

}  // namespace cherrydyke
