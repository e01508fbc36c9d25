#pragma once

#include <cstddef>
#include <cstdint>

#include "engine/connection_budget.h"

namespace cherrydyke {

/// What a machine gives to the process.
struct MachineResources {
  /// Memory, in bytes.
  size_t memory_bytes = SIZE_MAX;
  /// Open file descriptors.
  size_t descriptors = SIZE_MAX;

  friend bool operator==(const MachineResources& a, const MachineResources& b) {
    return a.memory_bytes == b.memory_bytes && a.descriptors == b.descriptors;
  }
};

/// @return what the system reports: the machine's memory, and the process's
/// limits where these are lower.
MachineResources ReportedResources();

/// @return the lower of each.
MachineResources LowerOf(const MachineResources& a, const MachineResources& b);

/// @return what callers' connections may hold. The rest is for the
/// configuration, targets, peers and the store.
engine::ConnectionLimits CallerLimits(const MachineResources& resources);

/// @return what connections of other hosts may hold.
engine::ConnectionLimits PeerLimits(const MachineResources& resources);

}  // namespace cherrydyke
