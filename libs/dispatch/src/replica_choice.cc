#include "dispatch/replica_choice.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// Penalty for a suspect replica; larger than any round trip.
constexpr absl::Duration kSuspectPenalty = absl::Seconds(2);
/// Penalty for a cold replica, which is slow and has little capacity.
constexpr absl::Duration kColdPenalty = absl::Milliseconds(400);
/// Penalty for a replica that may be gone or that asked another host for a
/// backoff.
constexpr absl::Duration kMissingPenalty = absl::Seconds(1);

}  // namespace

absl::Duration ReplicaCost(const ReplicaState& replica, absl::Time now) {
  const TargetHealth& health = *replica.health;
  absl::Duration cost = health.ExpectedLatency(
      std::max(1, replica.slots), std::max(1, replica.connections), now);
  cost += health.FailureRate(now) * replica.failure_cost;
  if (!replica.connected) cost += replica.round_trip;
  if (health.IsSuspect(now)) cost += kSuspectPenalty;
  if (replica.cold) cost += kColdPenalty;
  if (replica.missing || replica.reported_backoff) cost += kMissingPenalty;
  return cost;
}

std::optional<ReplicaChoice> ChooseReplica(
    const std::vector<ReplicaState>& replicas, absl::Time now) {
  std::optional<ReplicaChoice> best;
  absl::Duration best_ranking_cost = absl::InfiniteDuration();
  for (size_t index = 0; index < replicas.size(); ++index) {
    const ReplicaState& replica = replicas[index];
    if (replica.health->IsUnresponsive(now)) continue;
    const absl::Duration cost = ReplicaCost(replica, now);
    const absl::Duration ranking_cost =
        replica.prefer_near ? cost : cost - replica.round_trip;
    if (!best) {
      best = ReplicaChoice{index, cost};
    } else if (ranking_cost < best_ranking_cost) {
      best = ReplicaChoice{index, cost, std::min(best->next_cost, best->cost)};
    } else {
      best->next_cost = std::min(best->next_cost, cost);
    }
    best_ranking_cost = std::min(best_ranking_cost, ranking_cost);
  }
  return best;
}

}  // namespace cherrydyke
