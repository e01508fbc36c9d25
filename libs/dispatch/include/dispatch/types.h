#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

using RouteName = std::string;

/// A service and its part of a route's requests.
struct WeightedService {
  ServiceName service;
  double weight = 1;

  friend bool operator==(const WeightedService& a, const WeightedService& b) {
    return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
  }
};

/// Where requests of one host and path prefix go, and how.
struct Route {
  RouteName name;
  /// Lower-case host name without a port.
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  bool idempotent = false;
  /// Longest time for which a caller is kept waiting.
  absl::Duration timeout;
  /// Time within which an answer is worth most.
  absl::Duration latency_objective;
  /// Most targets, of each shard, that one request may run on.
  int attempts = 1;
  /// 0 is the highest.
  int priority = 0;
  /// Services that share the requests; empty if the route fans out.
  std::vector<WeightedService> backends;
  /// Services of which each answers a part; empty unless the route fans out.
  std::vector<ServiceName> shards;
  /// Records in a merged answer.
  size_t top_k = 0;
  /// Least share of the shards that makes an answer.
  double min_coverage = 1;
  /// Regions whose targets may be used; empty for all.
  std::vector<RegionName> allowed_regions;

  bool IsFanout() const { return !shards.empty(); }

  friend bool operator==(const Route& a, const Route& b) {
    return std::tie(a.name, a.host, a.prefix, a.idempotent, a.timeout,
                    a.latency_objective, a.attempts, a.priority, a.backends,
                    a.shards, a.top_k, a.min_coverage, a.allowed_regions) ==
           std::tie(b.name, b.host, b.prefix, b.idempotent, b.timeout,
                    b.latency_objective, b.attempts, b.priority, b.backends,
                    b.shards, b.top_k, b.min_coverage, b.allowed_regions);
  }
};

/// What the operators say of a service's targets.
struct ServiceSpec {
  ServiceName name;
  /// Connections that one target accepts from all hosts together.
  int max_connections = 1;
  /// How long a target is cold after its start.
  absl::Duration warmup;
  /// Requests a second that a cold target bears.
  double warmup_per_s = 0;

  friend bool operator==(const ServiceSpec& a, const ServiceSpec& b) {
    return std::tie(a.name, a.max_connections, a.warmup, a.warmup_per_s) ==
           std::tie(b.name, b.max_connections, b.warmup, b.warmup_per_s);
  }
};

/// What a target says of itself in the configuration service.
struct TargetInfo {
  TargetId id;
  ServiceName service;
  Endpoint endpoint;
  FailureDomainName failure_domain;
  int slots = 1;
  bool draining = false;
  /// How much longer it stays cold, as of the report.
  absl::Duration warmup_left;
  /// Counts the reports of one lifetime.
  int64_t sequence = 0;
  /// Start of the lifetime in Unix milliseconds, if the target tells it.
  std::optional<int64_t> start_time_ms;

  friend bool operator==(const TargetInfo& a, const TargetInfo& b) {
    return std::tie(a.id, a.service, a.endpoint, a.failure_domain, a.slots,
                    a.draining, a.warmup_left, a.sequence, a.start_time_ms) ==
           std::tie(b.id, b.service, b.endpoint, b.failure_domain, b.slots,
                    b.draining, b.warmup_left, b.sequence, b.start_time_ms);
  }
};

/// Figures that bind the whole fleet.
struct FleetLimits {
  /// Extra arrivals allowed for each request of a service in a window.
  double retry_ratio = 0.1;
  absl::Duration retry_window = absl::Seconds(10);
  /// Extra arrivals of a service allowed beyond the ratio in a window.
  double retry_slack = 0;
  /// Requests that a cold target may get in a second, over all hosts:
  /// `warmup_per_s` x `warmup_overage` + `warmup_slack`.
  double warmup_overage = 1;
  double warmup_slack = 1;

  friend bool operator==(const FleetLimits& a, const FleetLimits& b) {
    return std::tie(a.retry_ratio, a.retry_window, a.retry_slack,
                    a.warmup_overage, a.warmup_slack) ==
           std::tie(b.retry_ratio, b.retry_window, b.retry_slack,
                    b.warmup_overage, b.warmup_slack);
  }
};

}  // namespace cherrydyke
