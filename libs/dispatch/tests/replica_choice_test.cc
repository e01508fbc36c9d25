#include "dispatch/replica_choice.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {
namespace {

constexpr absl::Duration kWork = absl::Milliseconds(10);
constexpr absl::Duration kNear = absl::Milliseconds(1);
constexpr absl::Duration kFar = absl::Milliseconds(40);
const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

ReplicaState StateOf(const TargetHealth& health, absl::Duration round_trip) {
  ReplicaState state;
  state.health = &health;
  state.slots = 1;
  state.connections = 10;
  state.round_trip = round_trip;
  return state;
}

}  // namespace

class ReplicaChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaChoiceTest);
  CPPUNIT_TEST(NearReplicaIsChosenUntilItsQueueOutweighsTheRoundTrip);
  CPPUNIT_TEST(RoundTripCanBeIgnored);
  CPPUNIT_TEST(NextCostIsThatOfTheSecondBestReplica);
  CPPUNIT_TEST(OverdueTimeGrowsWithTheDeviations);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NearReplicaIsChosenUntilItsQueueOutweighsTheRoundTrip() {
    TargetHealth near(kNear, kWork);
    const TargetHealth far(kFar, kWork);
    const std::vector<ReplicaState> replicas = {StateOf(far, kFar),
                                                StateOf(near, kNear)};
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ChooseReplica(replicas, kNow)->index);
    // Five outstanding requests on one slot delay the next one by 55 ms, more
    // than the round trip to the far replica.
    for (int sent = 0; sent < 5; ++sent) near.OnSent();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, ChooseReplica(replicas, kNow)->index);
  }

  void RoundTripCanBeIgnored() {
    TargetHealth near(kNear, kWork);
    const TargetHealth far(kFar, kWork);
    std::vector<ReplicaState> replicas = {StateOf(near, kNear),
                                          StateOf(far, kFar)};
    near.OnSent();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, ChooseReplica(replicas, kNow)->index);
    for (ReplicaState& replica : replicas) replica.prefer_near = false;
    const auto choice = ChooseReplica(replicas, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, choice->index);
    // The reported costs still include the round trip.
    CPPUNIT_ASSERT(choice->cost >= kFar);
    CPPUNIT_ASSERT(choice->next_cost < kFar);
  }

  void NextCostIsThatOfTheSecondBestReplica() {
    const TargetHealth near(kNear, kWork);
    const TargetHealth middle(kFar / 2, kWork);
    const TargetHealth far(kFar, kWork);
    const std::vector<ReplicaState> replicas = {
        StateOf(middle, kFar / 2), StateOf(far, kFar), StateOf(near, kNear)};
    const auto choice = ChooseReplica(replicas, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, choice->index);
    CPPUNIT_ASSERT(choice->next_cost == ReplicaCost(replicas[0], kNow));
  }

  void OverdueTimeGrowsWithTheDeviations() {
    constexpr absl::Duration kLongWork = absl::Milliseconds(100);
    const TargetHealth health(kNear, kLongWork);
    const absl::Duration overdue_after = health.OverdueAfter(kNow, 4);
    // The prior deviation is half of the work.
    CPPUNIT_ASSERT(overdue_after == kNear + kLongWork + 4 * kLongWork / 2);
    CPPUNIT_ASSERT(health.OverdueAfter(kNow, 8) - overdue_after ==
                   4 * kLongWork / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaChoiceTest);

}  // namespace cherrydyke
