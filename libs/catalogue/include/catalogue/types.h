#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/key_range.h"

namespace cherrydyke {

/// What an entry gives up first when a query cannot be both fast and whole.
enum class EntryClass {
  /// Answers at the soft deadline with whatever coverage it has.
  kLatency,
  /// Uses the hard deadline to fill gaps.
  kCoverage,
};

enum class EntryKind { kQuery, kAction };

enum class MergeKind { kConcat, kTopScore };

/// When a query first runs on a single shard before it fans out.
enum class CanaryMode { kAlways, kNever };

/// Limits of one entry over the whole fleet.
struct EntryLimits {
  /// Requests a second.
  double rate_per_s = 0;
  /// Requests running at once.
  int concurrency = 0;

  friend bool operator==(const EntryLimits& a, const EntryLimits& b) {
    return std::tie(a.rate_per_s, a.concurrency) ==
           std::tie(b.rate_per_s, b.concurrency);
  }
};

/// One entry of the catalogue: what callers may ask for, and on what terms.
struct Entry {
  EntryName name;
  OwnerName owner;
  EntryClass entry_class = EntryClass::kLatency;
  EntryKind kind = EntryKind::kQuery;
  ServiceName service;
  EntryLimits limits;
  absl::Duration soft_deadline;
  absl::Duration hard_deadline;
  MergeKind merge = MergeKind::kConcat;
  CanaryMode canary = CanaryMode::kAlways;

  friend bool operator==(const Entry& a, const Entry& b) {
    return std::tie(a.name, a.owner, a.entry_class, a.kind, a.service, a.limits,
                    a.soft_deadline, a.hard_deadline, a.merge, a.canary) ==
           std::tie(b.name, b.owner, b.entry_class, b.kind, b.service, b.limits,
                    b.soft_deadline, b.hard_deadline, b.merge, b.canary);
  }
};

/// A shard of a service: a key range and the targets that hold it.
struct Shard {
  ShardId id;
  KeyRange range;
  std::vector<TargetId> replicas;

  friend bool operator==(const Shard& a, const Shard& b) {
    return std::tie(a.id, a.range, a.replicas) ==
           std::tie(b.id, b.range, b.replicas);
  }
};

/// The division of a service's key space; shards tile it in key order.
struct ShardMap {
  ShardMapVersion version = 0;
  std::vector<Shard> shards;

  friend bool operator==(const ShardMap& a, const ShardMap& b) {
    return std::tie(a.version, a.shards) == std::tie(b.version, b.shards);
  }
};

/// What a target bears while it is cold.
struct ColdStart {
  /// Requests at once.
  int concurrency = 1;
  /// Successes after which a target may be given more.
  int successes = 20;

  friend bool operator==(const ColdStart& a, const ColdStart& b) {
    return std::tie(a.concurrency, a.successes) ==
           std::tie(b.concurrency, b.successes);
  }
};

/// A service: searchers of one kind behind a shard map.
struct Service {
  ServiceName name;
  ShardMap shard_map;
  /// Published versions, ascending; targets may be ahead or behind.
  std::vector<IndexVersion> index_versions;
  /// Requests that each target runs at once.
  int slots = 1;
  /// Connections that each target accepts.
  int connections = 1;
  ColdStart cold;

  friend bool operator==(const Service& a, const Service& b) {
    return std::tie(a.name, a.shard_map, a.index_versions, a.slots,
                    a.connections,
                    a.cold) == std::tie(b.name, b.shard_map, b.index_versions,
                                        b.slots, b.connections, b.cold);
  }
};

enum class DomainState { kInService, kOutOfService };

struct FailureDomain {
  FailureDomainName name;
  DomainState state = DomainState::kInService;
  std::string region;

  friend bool operator==(const FailureDomain& a, const FailureDomain& b) {
    return std::tie(a.name, a.state, a.region) ==
           std::tie(b.name, b.state, b.region);
  }
};

}  // namespace cherrydyke
