#pragma once

#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/policy.h"
#include "dispatch/target_health.h"

namespace cherrydyke {

/// State of one replica at the time of a send.
struct ReplicaState {
  const TargetHealth* health = nullptr;
  /// Requests that it runs concurrently.
  int slots = 1;
  /// Requests that this host may run on it concurrently.
  int connections = 1;
  /// Estimated from the locations of this host and the replica.
  absl::Duration round_trip;
  /// Whether this host has an open connection to it.
  bool connected = true;
  bool cold = false;
  /// Whether its entry in the configuration service is missing, perhaps only
  /// for a time.
  bool missing = false;
  /// Whether another host reported that it is leaving or asked for a backoff.
  bool reported_backoff = false;
  /// Cost of a failure, as added latency.
  absl::Duration failure_cost = Policy().failure_cost;
  /// Whether its round trip counts in comparisons.
  bool prefer_near = Policy().prefer_near;
};

/// @return the expected cost of a send to the replica, as a latency. It adds up
/// the expected latency with queueing, the risk of a failure that needs a
/// retry, and penalties for a replica that is suspect, cold or perhaps gone. As
/// the queue is part of the cost, load moves away from a slow, failing or
/// overloaded replica only until another one is as good.
absl::Duration ReplicaCost(const ReplicaState& replica, absl::Time now);

/// Result of `ChooseReplica`.
struct ReplicaChoice {
  size_t index = 0;
  absl::Duration cost;
  /// Cost of the second best replica; infinite if there is none.
  absl::Duration next_cost = absl::InfiniteDuration();
};

/// @return the replica with the lowest cost, or nothing. An unresponsive
/// replica gets only occasional half-open probes: a request that waited for it
/// would be late, so it is better to leave its shard out, or to refuse the
/// request, immediately.
std::optional<ReplicaChoice> ChooseReplica(
    const std::vector<ReplicaState>& replicas, absl::Time now);

}  // namespace cherrydyke
