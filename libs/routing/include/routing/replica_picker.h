#pragma once

#include <random>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "wire/messages.h"

namespace cherrydyke {

/// The state of one replica as the entry knows it when it picks.
struct ReplicaView {
  TargetId target;
  /// Whether requests can be sent to the replica.
  bool reachable = true;
  TargetPhase phase = TargetPhase::kCold;
  /// Requests that the target may run at once.
  int limit = 1;
  /// Requests running at the target or queued for it, as last known.
  int load = 0;
  /// Typical latency of an answer; zero if not known.
  absl::Duration latency;
  /// Whether the replica is in the failure domain of this host.
  bool same_domain = false;
};

/// Picks the replica for an attempt. Implementations are stateless.
class ReplicaPicker {
 public:
  virtual ~ReplicaPicker() = default;

  /// @param candidates replicas to pick from; not empty, all reachable.
  /// @return an index into `candidates`.
  virtual size_t Pick(const std::vector<ReplicaView>& candidates,
                      std::mt19937_64& random) const = 0;
};

/// @return the expected time until a replica answers: its typical latency times
/// 1 + load / limit, since each `limit` requests ahead of this one take one
/// latency, plus a penalty if it is in another failure domain.
absl::Duration ExpectedLatency(const ReplicaView& replica);

/// Adds the built-in pickers to the registry: `pick_of_two`, `least_expected`
/// and `random`.
void RegisterReplicaPickers();

}  // namespace cherrydyke
