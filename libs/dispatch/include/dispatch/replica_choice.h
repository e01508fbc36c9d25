#pragma once

#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/policy.h"
#include "dispatch/target_health.h"

namespace cherrydyke {

/// What is known of one replica when a send is placed.
struct ReplicaState {
  const TargetHealth* health = nullptr;
  /// Requests that it runs at once.
  int slots = 1;
  /// Requests that this host may have there at once.
  int connections = 1;
  /// Time to the replica and back, as far as its place tells.
  absl::Duration round_trip;
  /// Whether a connection to it is open.
  bool connected = true;
  bool cold = false;
  /// Whether its entry is missing and may be back.
  bool missing = false;
  /// Whether another host was told that it leaves or wants nothing for a time.
  bool reported_backoff = false;
  /// What it costs a request to meet a failure.
  absl::Duration failure_cost = Policy().failure_cost;
  /// Whether its distance counts when it is compared with others.
  bool prefer_near = Policy().prefer_near;
};

/// What a send to a replica is expected to cost its request, in time until the
/// answer. Distance, queues, failures that would need a second send, and doubts
/// are weighed against each other, so that load moves away from a replica as
/// far as it has to and no further.
///
/// Answers the loads of slow, failing, pausing and overloaded replicas.
absl::Duration ReplicaCost(const ReplicaState& replica, absl::Time now);

/// A replica chosen among others.
struct ReplicaChoice {
  size_t index = 0;
  absl::Duration cost;
  /// Cost of the next best one; infinite if there is none.
  absl::Duration next_cost = absl::InfiniteDuration();
};

/// @return the replica of the least cost. One that has been silent for longer
/// than replicas pause gets nothing but a trial now and then: a request that
/// waits for it would be late, and its shard is better left out, or the request
/// refused, at once.
std::optional<ReplicaChoice> ChooseReplica(
    const std::vector<ReplicaState>& replicas, absl::Time now);

}  // namespace cherrydyke
