#include "dispatch/replica_choice.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// Added for a replica that seems not to answer: more than any distance.
constexpr absl::Duration kSuspectCost = absl::Seconds(2);
/// Added for a cold replica, which is slow and bears little.
constexpr absl::Duration kColdCost = absl::Milliseconds(400);
/// Added for a replica that may be gone, or is closed for another host.
constexpr absl::Duration kMissingCost = absl::Seconds(1);

}  // namespace

absl::Duration ReplicaCost(const ReplicaState& replica, absl::Time now) {
  const TargetHealth& health = *replica.health;
  absl::Duration cost = health.ExpectedLatency(
      std::max(1, replica.slots), std::max(1, replica.connections), now);
  cost += health.FailureRate(now) * replica.failure_cost;
  if (!replica.connected) cost += replica.round_trip;
  if (health.IsSuspect(now)) cost += kSuspectCost;
  if (replica.cold) cost += kColdCost;
  if (replica.missing || replica.reported_backoff) cost += kMissingCost;
  return cost;
}

std::optional<ReplicaChoice> ChooseReplica(
    const std::vector<ReplicaState>& replicas, absl::Time now) {
  std::optional<ReplicaChoice> best;
  absl::Duration best_compared = absl::InfiniteDuration();
  for (size_t index = 0; index < replicas.size(); ++index) {
    const ReplicaState& replica = replicas[index];
    if (replica.health->IsUnresponsive(now)) continue;
    const absl::Duration cost = ReplicaCost(replica, now);
    const absl::Duration compared =
        replica.prefer_near ? cost : cost - replica.round_trip;
    if (!best) {
      best = ReplicaChoice{index, cost};
    } else if (compared < best_compared) {
      best = ReplicaChoice{index, cost, std::min(best->next_cost, best->cost)};
    } else {
      best->next_cost = std::min(best->next_cost, cost);
    }
    best_compared = std::min(best_compared, compared);
  }
  return best;
}

}  // namespace cherrydyke
