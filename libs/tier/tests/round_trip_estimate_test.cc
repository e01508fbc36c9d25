#include "tier/round_trip_estimate.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace cherrydyke {
namespace {

constexpr absl::Duration kFloor = absl::Milliseconds(600);
constexpr absl::Duration kCeiling = absl::Milliseconds(2100);
constexpr int kMaxSampleMs = 10'000;

RoundTripEstimate AfterSamples(absl::Duration sample, int count) {
  RoundTripEstimate estimate;
  for (int i = 0; i < count; ++i) estimate = estimate.AfterSample(sample);
  return estimate;
}

absl::Duration LateAfter(const RoundTripEstimate& estimate) {
  return estimate.LateAfter(kFloor, kCeiling);
}

}  // namespace

class RoundTripEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoundTripEstimateTest);
  CPPUNIT_TEST(IsTheFloorBeforeTheFirstSample);
  CPPUNIT_TEST(IsTheFloorOnAFastPath);
  CPPUNIT_TEST(CallsOfASteadySlowPathAreNotLate);
  CPPUNIT_TEST(FollowsAPathThatTurnsSlowWithItsFirstLateCall);
  CPPUNIT_TEST(ReturnsToTheFloorAfterASlowPath);
  CPPUNIT_TEST(StaysBetweenTheLimits);
  CPPUNIT_TEST(LowerBoundsNeverLowerIt);
  CPPUNIT_TEST(UpperBoundsReturnItToTheFloor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IsTheFloorBeforeTheFirstSample() {
    CPPUNIT_ASSERT(LateAfter(RoundTripEstimate()) == kFloor);
    CPPUNIT_ASSERT(LateAfter(RoundTripEstimate().AfterBounds(
                       absl::ZeroDuration(), kCeiling)) == kFloor);
  }

  void IsTheFloorOnAFastPath() {
    CPPUNIT_ASSERT(LateAfter(AfterSamples(absl::Milliseconds(42), 1)) ==
                   kFloor);
  }

  // Guards against a path on which each call is given up too early (CONFIG).
  void CallsOfASteadySlowPathAreNotLate() {
    CPPUNIT_ASSERT(rc::check("steady path", [] {
      const absl::Duration round_trip = absl::Milliseconds(*rc::gen::inRange(
          1, static_cast<int>(absl::ToInt64Milliseconds(kCeiling))));
      const int count = *rc::gen::inRange(1, 100);
      RC_ASSERT(LateAfter(AfterSamples(round_trip, count)) >= round_trip);
    }));
  }

  void FollowsAPathThatTurnsSlowWithItsFirstLateCall() {
    constexpr absl::Duration kSlow = absl::Seconds(1);
    const RoundTripEstimate estimate =
        AfterSamples(absl::Milliseconds(42), 100).AfterSample(kSlow);
    CPPUNIT_ASSERT(LateAfter(estimate) >= kSlow);
  }

  void ReturnsToTheFloorAfterASlowPath() {
    constexpr int kCalls = 30;
    RoundTripEstimate estimate = AfterSamples(absl::Seconds(2), 100);
    CPPUNIT_ASSERT(LateAfter(estimate) > kFloor);
    for (int i = 0; i < kCalls; ++i) {
      estimate = estimate.AfterSample(absl::Milliseconds(42));
    }
    CPPUNIT_ASSERT(LateAfter(estimate) == kFloor);
  }

  void StaysBetweenTheLimits() {
    CPPUNIT_ASSERT(rc::check("limits", [] {
      RoundTripEstimate estimate;
      for (const int sample : *rc::gen::container<std::vector<int>>(
               rc::gen::inRange(-1, kMaxSampleMs))) {
        estimate = estimate.AfterSample(absl::Milliseconds(sample));
        RC_ASSERT(LateAfter(estimate) >= kFloor);
        RC_ASSERT(LateAfter(estimate) <= kCeiling);
        RC_ASSERT(estimate.LateAfter(kCeiling, kFloor) == kCeiling);
      }
    }));
  }

  void LowerBoundsNeverLowerIt() {
    CPPUNIT_ASSERT(rc::check("lower bounds", [] {
      const RoundTripEstimate estimate =
          AfterSamples(absl::Milliseconds(*rc::gen::inRange(0, kMaxSampleMs)),
                       *rc::gen::inRange(1, 5));
      const RoundTripEstimate after = estimate.AfterBounds(
          absl::Milliseconds(*rc::gen::inRange(0, kMaxSampleMs)),
          absl::InfiniteDuration());
      RC_ASSERT(after.LateAfter(absl::ZeroDuration(), absl::Hours(1)) >=
                estimate.LateAfter(absl::ZeroDuration(), absl::Hours(1)));
    }));
  }

  // Guards against a late watch that is noticed late while changes go on,
  // because of one slow call before.
  void UpperBoundsReturnItToTheFloor() {
    constexpr absl::Duration kMost = absl::Milliseconds(300);
    constexpr int kCalls = 30;
    RoundTripEstimate estimate =
        AfterSamples(absl::Milliseconds(42), 100).AfterSample(absl::Seconds(3));
    CPPUNIT_ASSERT(LateAfter(estimate) > kFloor);
    for (int i = 0; i < kCalls; ++i) {
      estimate = estimate.AfterBounds(absl::ZeroDuration(), kMost);
    }
    CPPUNIT_ASSERT(LateAfter(estimate) == kFloor);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoundTripEstimateTest);

}  // namespace cherrydyke
