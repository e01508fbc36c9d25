#pragma once

#include <optional>
#include <tuple>
#include <vector>

#include "catalogue/types.h"

namespace cherrydyke {

/// The state of the data that one query reads.
struct Snapshot {
  ShardMapVersion shard_map = 0;
  IndexVersion index_version = 0;

  friend bool operator==(const Snapshot& a, const Snapshot& b) {
    return std::tie(a.shard_map, a.index_version) ==
           std::tie(b.shard_map, b.index_version);
  }
  friend bool operator!=(const Snapshot& a, const Snapshot& b) {
    return !(a == b);
  }
};

/// What is known of the versions that a target holds.
class VersionDirectory {
 public:
  virtual ~VersionDirectory() = default;
  /// @return the versions, or nothing if none is known.
  virtual std::optional<std::vector<IndexVersion>> VersionsOf(
      const TargetId& target) const = 0;
  /// @return whether a request to the target could be tried now.
  virtual bool IsReachable(const TargetId& target) const = 0;
};

/// Chooses the snapshot of a new query: the newest index version, published or
/// held, for which every shard has a reachable replica; if there is none, the
/// version that covers most of the key space, the newest of equals. A target
/// whose versions are not known counts as holding the published ones.
///
/// @param exclude versions that have already proved to be gone.
Snapshot ChooseSnapshot(const Service& service,
                        const VersionDirectory& directory,
                        const std::vector<IndexVersion>& exclude = {});

}  // namespace cherrydyke
