#include "tier/transit_time.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kSecond = absl::Seconds(1);
constexpr absl::Duration kTrip = absl::Milliseconds(10);

/// One of two hosts whose clocks have different origins.
struct TestHost {
  HostId name;
  absl::Duration clock_offset;
  TransitTimes transits;

  absl::Time Clock(absl::Time now) const { return now + clock_offset; }
};

TransitTime Send(TestHost& from, TestHost& to, absl::Time sent_at,
                 absl::Duration trip) {
  const TransitStamp stamp =
      from.transits.StampFor(to.name, from.Clock(sent_at));
  return to.transits.OnMessage(from.name, stamp, to.Clock(sent_at + trip));
}

TransitTime Bounded(absl::Duration time) { return {time, true}; }
TransitTime Excess(absl::Duration time) { return {time, false}; }
const TransitTime kUnknown = {std::nullopt, false};

}  // namespace

class TransitTimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransitTimeTest);
  CPPUNIT_TEST(NothingIsKnownOfTheFirstMessages);
  CPPUNIT_TEST(MessageOfEarlierVersionCountsFromItsArrival);
  CPPUNIT_TEST(LatenessShowsInOneDirection);
  CPPUNIT_TEST(LatenessOfAllMessagesShowsInBothDirections);
  CPPUNIT_TEST(RestartOfTheSenderIsNoLateness);
  CPPUNIT_TEST(LateMessageFromBeforeARestartIsLate);
  CPPUNIT_TEST(EchoOfAnEarlierProcessIsIgnored);
  CPPUNIT_TEST(DriftOfClocksIsForgotten);
  CPPUNIT_TEST(ClockThatWasSetIsForgotten);
  CPPUNIT_TEST(KeepsNoPeerThatIsGone);
  CPPUNIT_TEST(KeepsABoundedNumberOfPeers);
  CPPUNIT_TEST(BoundIsNeverShorterThanTheWay);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingIsKnownOfTheFirstMessages() {
    CPPUNIT_ASSERT(Send(a_, b_, kStart, kTrip) == kUnknown);
    CPPUNIT_ASSERT(Send(a_, b_, kStart + kSecond, 5 * kSecond) ==
                   Excess(5 * kSecond - kTrip));
  }

  void MessageOfEarlierVersionCountsFromItsArrival() {
    CPPUNIT_ASSERT(b_.transits.OnMessage("a", {}, kStart) ==
                   Excess(absl::ZeroDuration()));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, b_.transits.size());
  }

  void LatenessShowsInOneDirection() {
    Send(a_, b_, kStart, kTrip);
    const absl::Time later = kStart + TransitTimes::kEchoTime;
    CPPUNIT_ASSERT(Send(a_, b_, later, kTrip) == Excess(absl::ZeroDuration()));
    CPPUNIT_ASSERT(Send(a_, b_, later, kTrip + kSecond) == Excess(kSecond));
  }

  void LatenessOfAllMessagesShowsInBothDirections() {
    Send(a_, b_, kStart, kSecond);
    CPPUNIT_ASSERT(Send(b_, a_, kStart + kSecond, kTrip) ==
                   Bounded(kSecond + kTrip));
    CPPUNIT_ASSERT(Send(a_, b_, kStart + 2 * kSecond, kSecond) ==
                   Bounded(kSecond + kTrip));
  }

  void RestartOfTheSenderIsNoLateness() {
    Meet();
    TestHost restarted = {"a", -absl::Hours(50), TransitTimes(3)};
    CPPUNIT_ASSERT(Send(restarted, b_, kStart + kSecond, kTrip) == kUnknown);
    CPPUNIT_ASSERT(Send(b_, restarted, kStart + kSecond, kTrip) ==
                   Bounded(2 * kTrip));
    CPPUNIT_ASSERT(Send(restarted, b_, kStart + 2 * kSecond, kSecond) ==
                   Bounded(kSecond + kTrip));
  }

  void LateMessageFromBeforeARestartIsLate() {
    Meet();
    TestHost restarted = {"a", -absl::Hours(50), TransitTimes(3)};
    Send(restarted, b_, kStart + 2 * kSecond, kTrip);
    CPPUNIT_ASSERT(Send(a_, b_, kStart + kSecond, 4 * kSecond) ==
                   Bounded(4 * kSecond + kTrip));
  }

  void EchoOfAnEarlierProcessIsIgnored() {
    Meet();
    TestHost restarted = {"b", absl::Hours(7), TransitTimes(3)};
    CPPUNIT_ASSERT(Send(a_, restarted, kStart + kSecond, kTrip) == kUnknown);
  }

  void DriftOfClocksIsForgotten() {
    constexpr double kDrift = 1e-4;
    constexpr int kHours = 5;
    absl::Duration longest;
    for (int s = 0; s < kHours * 3600; ++s) {
      const absl::Time now = kStart + s * kSecond;
      a_.clock_offset -= kDrift * kSecond;
      Send(b_, a_, now, kTrip);
      longest = std::max(longest, *Send(a_, b_, now, kTrip).time);
    }
    CPPUNIT_ASSERT(longest <= 2 * kTrip + kDrift * 3 * TransitTimes::kWindow);
  }

  // A virtual machine that was paused, for example.
  void ClockThatWasSetIsForgotten() {
    Meet();
    a_.clock_offset -= 10 * kSecond;
    const absl::Time later = kStart + absl::Minutes(1);
    CPPUNIT_ASSERT(Send(a_, b_, later, kTrip) ==
                   Bounded(10 * kSecond + 2 * kTrip));
    // The message back shows by how much, to the host whose clock was set.
    CPPUNIT_ASSERT(Send(b_, a_, later, kTrip) == Excess(absl::ZeroDuration()));
    CPPUNIT_ASSERT(Send(b_, a_, later, kTrip + kSecond) == Excess(kSecond));
    CPPUNIT_ASSERT(Send(a_, b_, later, kTrip) == Bounded(2 * kTrip));
    for (absl::Duration t; t < 4 * TransitTimes::kWindow; t += kSecond) {
      Send(a_, b_, later + t, kTrip);
      Send(b_, a_, later + t, kTrip);
    }
    const absl::Time end = later + 4 * TransitTimes::kWindow;
    CPPUNIT_ASSERT(Send(a_, b_, end, kTrip) == Bounded(2 * kTrip));
    CPPUNIT_ASSERT(Send(b_, a_, end, kTrip) == Bounded(2 * kTrip));
  }

  void KeepsNoPeerThatIsGone() {
    Meet();
    TestHost other = {"c", kSecond, TransitTimes(3)};
    const absl::Time later = kStart + 2 * TransitTimes::kWindow;
    Send(other, b_, later, kTrip);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b_.transits.size());
    CPPUNIT_ASSERT_EQUAL(
        0U, b_.transits.StampFor("a", b_.Clock(later)).echoed_incarnation);
  }

  void KeepsABoundedNumberOfPeers() {
    const TransitStamp stamp = {7, kStart, 0, absl::ZeroDuration()};
    for (size_t i = 0; i < TransitTimes::kMaxPeers + 100; ++i) {
      b_.transits.OnMessage(absl::StrCat("p", i), stamp,
                            kStart + absl::Milliseconds(i));
    }
    CPPUNIT_ASSERT_EQUAL(TransitTimes::kMaxPeers, b_.transits.size());
    CPPUNIT_ASSERT_EQUAL(0U,
                         b_.transits.StampFor("p0", kStart).echoed_incarnation);
  }

  void BoundIsNeverShorterThanTheWay() {
    CPPUNIT_ASSERT(rc::check("messages both ways, late and lost", [] {
      TestHost a = {"a", absl::Seconds(*rc::gen::inRange(-100'000, 100'000)),
                    TransitTimes(1)};
      TestHost b = {"b", absl::ZeroDuration(), TransitTimes(2)};
      absl::Time now = kStart;
      const int messages = *rc::gen::inRange(1, 100);
      for (int i = 0; i < messages; ++i) {
        now += absl::Milliseconds(*rc::gen::inRange(0, 60'000));
        const absl::Duration trip =
            absl::Milliseconds(*rc::gen::inRange(1, 5000));
        const bool is_forth = *rc::gen::arbitrary<bool>();
        TestHost& from = is_forth ? a : b;
        TestHost& to = is_forth ? b : a;
        const TransitTime transit = Send(from, to, now, trip);
        if (transit.is_bounded) RC_ASSERT(*transit.time >= trip);
        if (transit.time) RC_ASSERT(*transit.time >= absl::ZeroDuration());
      }
    }));
  }

 private:
  // The hosts exchange messages.
  void Meet() {
    Send(a_, b_, kStart, kTrip);
    Send(b_, a_, kStart, kTrip);
    Send(a_, b_, kStart, kTrip);
  }

  TestHost a_{"a", absl::Hours(100), TransitTimes(1)};
  TestHost b_{"b", absl::ZeroDuration(), TransitTimes(2)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransitTimeTest);

}  // namespace cherrydyke
