#include "routing/snapshot.h"

#include <algorithm>
#include <map>
#include <set>

namespace cherrydyke {
namespace {

using VersionsByTarget = std::map<TargetId, std::set<IndexVersion>>;

VersionsByTarget ReachableVersions(const Service& service,
                                   const VersionDirectory& directory) {
  const std::set<IndexVersion> published(service.index_versions.begin(),
                                         service.index_versions.end());
  VersionsByTarget versions;
  for (const Shard& shard : service.shard_map.shards) {
    for (const TargetId& target : shard.replicas) {
      if (versions.count(target) > 0 || !directory.IsReachable(target))
        continue;
      const auto known = directory.VersionsOf(target);
      versions[target] =
          known ? std::set<IndexVersion>(known->begin(), known->end())
                : published;
    }
  }
  return versions;
}

bool HasReplica(const Shard& shard, const VersionsByTarget& versions,
                IndexVersion version) {
  return std::any_of(shard.replicas.begin(), shard.replicas.end(),
                     [&](const TargetId& target) {
                       const auto found = versions.find(target);
                       return found != versions.end() &&
                              found->second.count(version) > 0;
                     });
}

double CoveredSpan(const Service& service, const VersionsByTarget& versions,
                   IndexVersion version) {
  double span = 0;
  for (const Shard& shard : service.shard_map.shards) {
    if (HasReplica(shard, versions, version)) span += KeySpan(shard.range);
  }
  return span;
}

}  // namespace

Snapshot ChooseSnapshot(const Service& service,
                        const VersionDirectory& directory,
                        const std::vector<IndexVersion>& exclude) {
  const VersionsByTarget versions = ReachableVersions(service, directory);
  std::set<IndexVersion, std::greater<>> candidates(
      service.index_versions.begin(), service.index_versions.end());
  for (const auto& [target, held] : versions) {
    candidates.insert(held.begin(), held.end());
  }
  for (const IndexVersion excluded : exclude) candidates.erase(excluded);
  Snapshot best{service.shard_map.version, 0};
  if (!service.index_versions.empty()) {
    best.index_version = service.index_versions.back();
  }
  double best_span = -1;
  for (const IndexVersion version : candidates) {
    const double span = CoveredSpan(service, versions, version);
    if (span <= best_span) continue;
    best_span = span;
    best.index_version = version;
  }
  return best;
}

}  // namespace cherrydyke
