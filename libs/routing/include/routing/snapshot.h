#pragma once

#include <optional>
#include <tuple>
#include <vector>

#include "catalogue/types.h"

namespace cherrydyke {

/// The shard map version and index version that one query reads.
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

/// Looks up the index versions that targets hold.
class VersionDirectory {
 public:
  virtual ~VersionDirectory() = default;
  /// @return the versions, or nullopt if they are not known.
  virtual std::optional<std::vector<IndexVersion>> VersionsOf(
      const TargetId& target) const = 0;
  /// @return whether requests can be sent to the target now.
  virtual bool IsReachable(const TargetId& target) const = 0;
};

/// Chooses the snapshot of a new query: the newest index version, published or
/// held by a target, for which every shard has a reachable replica. If there is
/// none, the version that covers the largest part of the key space, the newest
/// one on a tie. A target whose versions are not known is assumed to hold the
/// published ones.
///
/// @param exclude versions found to be no longer available.
Snapshot ChooseSnapshot(const Service& service,
                        const VersionDirectory& directory,
                        const std::vector<IndexVersion>& exclude = {});

}  // namespace cherrydyke
