#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/key_range.h"

namespace cherrydyke {

/// What an entry trades when a query cannot be both fast and complete.
enum class EntryClass {
  /// Answers at the soft deadline with the coverage reached so far.
  kLatency,
  /// Uses the time until the hard deadline to complete the coverage.
  kCoverage,
};

enum class EntryKind { kQuery, kAction };

enum class MergeKind { kConcat, kTopScore };

/// Whether a query first runs on a single shard (the canary) before it fans out
/// to the others.
enum class CanaryMode { kAlways, kNever };

/// Fleet-wide limits of one entry.
struct EntryLimits {
  /// Requests per second.
  double rate_per_s = 0;
  /// Requests running at once.
  int concurrency = 0;

  friend bool operator==(const EntryLimits& a, const EntryLimits& b) {
    return std::tie(a.rate_per_s, a.concurrency) ==
           std::tie(b.rate_per_s, b.concurrency);
  }
};

/// One entry of the catalogue: a kind of request that callers may send, with
/// its limits and deadlines.
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

/// A shard of a service: a key range and the targets that serve it.
struct Shard {
  ShardId id;
  KeyRange range;
  std::vector<TargetId> replicas;

  friend bool operator==(const Shard& a, const Shard& b) {
    return std::tie(a.id, a.range, a.replicas) ==
           std::tie(b.id, b.range, b.replicas);
  }
};

/// The partitioning of the key space of a service. The shards are in key order
/// and cover the key space without gaps or overlaps.
struct ShardMap {
  ShardMapVersion version = 0;
  std::vector<Shard> shards;

  friend bool operator==(const ShardMap& a, const ShardMap& b) {
    return std::tie(a.version, a.shards) == std::tie(b.version, b.shards);
  }
};

/// Limits of a target while it is cold.
struct ColdStart {
  /// Requests at once.
  int concurrency = 1;
  /// Successes after which the limit of a target may increase.
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
  /// Published versions in ascending order; targets may hold newer or older
  /// ones.
  std::vector<IndexVersion> index_versions;
  /// Requests that each target may run at once.
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
