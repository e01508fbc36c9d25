#pragma once

#include <random>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "wire/messages.h"

namespace cherrydyke {

/// What an entry knows of one replica when it chooses.
struct ReplicaView {
  TargetId target;
  /// Whether a request could be tried at all.
  bool reachable = true;
  TargetPhase phase = TargetPhase::kCold;
  int limit = 1;
  /// Requests at or queued for the target, as far as known.
  int load = 0;
  /// Typical time to answer.
  absl::Duration latency;
  bool same_domain = false;
};

/// Chooses the replica for an attempt. Implementations are stateless.
class ReplicaPicker {
 public:
  virtual ~ReplicaPicker() = default;

  /// @param candidates at least one, all reachable.
  /// @return an index into `candidates`.
  virtual size_t Pick(const std::vector<ReplicaView>& candidates,
                      std::mt19937_64& random) const = 0;
};

/// Expected time until a replica answers: its typical latency, and one more for
/// each round of requests ahead of this one.
absl::Duration ExpectedLatency(const ReplicaView& replica);

/// Adds the built-in pickers to the registry: `pick_of_two`, `least_expected`
/// and `random`.
void RegisterReplicaPickers();

}  // namespace cherrydyke
