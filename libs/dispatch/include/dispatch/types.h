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

/// A service and its relative share of the requests of a route.
struct WeightedService {
  ServiceName service;
  double weight = 1;

  friend bool operator==(const WeightedService& a, const WeightedService& b) {
    return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
  }
};

/// Route of the requests with one host name and path prefix.
struct Route {
  RouteName name;
  /// Lower-case host name without a port.
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  bool idempotent = false;
  /// Maximum time until the caller gets a response.
  absl::Duration timeout;
  /// Answers within this time have the full value for the caller.
  absl::Duration latency_objective;
  /// Maximum number of targets of each shard that a request may run on.
  int attempts = 1;
  /// 0 is the highest priority.
  int priority = 0;
  /// Services among which requests are divided; empty for a fan-out.
  std::vector<WeightedService> backends;
  /// Services that each answer a part; empty unless the route fans out.
  std::vector<ServiceName> shards;
  /// Maximum number of records in a merged answer.
  size_t top_k = 0;
  /// Minimum fraction of the shards in an answer.
  double min_coverage = 1;
  /// Allowed regions of targets; empty for all.
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

/// Configuration of the targets of a service.
struct ServiceSpec {
  ServiceName name;
  /// Maximum connections to one target from all hosts together.
  int max_connections = 1;
  /// Time after its start for which a target is cold.
  absl::Duration warmup;
  /// Capacity of a cold target in requests per second.
  double warmup_per_s = 0;

  friend bool operator==(const ServiceSpec& a, const ServiceSpec& b) {
    return std::tie(a.name, a.max_connections, a.warmup, a.warmup_per_s) ==
           std::tie(b.name, b.max_connections, b.warmup, b.warmup_per_s);
  }
};

/// Entry of a target in the configuration service, as reported by the target.
struct TargetInfo {
  TargetId id;
  ServiceName service;
  Endpoint endpoint;
  FailureDomainName failure_domain;
  int slots = 1;
  bool draining = false;
  /// Remaining warm-up time at the time of the report.
  absl::Duration warmup_left;
  /// Sequence number of the report, counted per instance.
  int64_t sequence = 0;
  /// Start of the instance in Unix milliseconds, if the target reports it.
  std::optional<int64_t> start_time_ms;

  friend bool operator==(const TargetInfo& a, const TargetInfo& b) {
    return std::tie(a.id, a.service, a.endpoint, a.failure_domain, a.slots,
                    a.draining, a.warmup_left, a.sequence, a.start_time_ms) ==
           std::tie(b.id, b.service, b.endpoint, b.failure_domain, b.slots,
                    b.draining, b.warmup_left, b.sequence, b.start_time_ms);
  }
};

/// Limits that hold for the whole fleet.
struct FleetLimits {
  /// Extra sends allowed per request to a service within a window.
  double retry_ratio = 0.1;
  absl::Duration retry_window = absl::Seconds(10);
  /// Extra sends to a service allowed within a window in addition to the ratio.
  double retry_slack = 0;
  /// A cold target may get `warmup_per_s` x `warmup_overage` + `warmup_slack`
  /// requests per second from all hosts together.
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
