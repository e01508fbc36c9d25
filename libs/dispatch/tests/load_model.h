#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dispatch/request_run.h"
#include "dispatch/target_health.h"

namespace cherrydyke {

/// Parameters of a simulation: callers whose requests fan out to many shards,
/// targets with slots, queues and pauses, and their faults.
struct LoadScenario {
  int hosts = 6;
  int shards = 10;
  size_t needed = 9;
  int replicas = 3;
  int slots = 2;
  int max_queue = 12;
  /// Maximum connections of one host to one target.
  int connections = 3;
  /// Requests per second over all hosts.
  double rate = 150;
  absl::Duration work = absl::Milliseconds(7.5);
  absl::Duration pause = absl::Milliseconds(200);
  absl::Duration pause_period = absl::Milliseconds(4500);
  absl::Duration latency_objective = absl::Milliseconds(150);
  absl::Duration timeout = absl::Milliseconds(1500);
  absl::Duration duration = absl::Seconds(20);
  /// Shards without a replica that answers.
  std::set<int> unresponsive_shards;
  /// Factor on the work of the first replica of every other shard.
  double slow_factor = 1;
  /// Fraction of requests that the first replicas of each shard reject, and the
  /// number of these replicas.
  double rejection_rate = 0;
  int rejecting_replicas = 2;
  /// Fraction of answers that the first replicas of each shard lose, and the
  /// number of these replicas. Starts after a quarter of the duration.
  double loss_rate = 0;
  int losing_replicas = 2;
  /// Whether hosts gossip health reports of targets.
  bool hosts_gossip = true;
  /// Whether hosts apply the concurrency limit to targets.
  bool concurrency_limit = true;
  /// Rate during a burst that starts after a quarter of the duration; 0 for no
  /// burst.
  double burst_rate = 0;
  absl::Duration burst_duration = absl::Seconds(3);
  /// Whether refused callers retry once, and whether their Retry-After delay
  /// comes from the scheduler or is the base delay.
  bool callers_retry = false;
  bool schedule_retries = true;
};

/// Outcomes of the requests as seen by callers.
struct LoadResult {
  int requests = 0;
  /// Answered within the latency objective.
  int in_time = 0;
  /// Sum of the squared coverage of the answers in time.
  double credit = 0;
  /// Answers in time to a retry after a refusal; the time counts from the
  /// retry.
  int in_time_after_retry = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;
  /// Sum of the times from request to response, in ms.
  double total_ms = 0;
  int first_sends = 0;
  int extra_sends = 0;

  double CreditShare() const { return credit / requests; }
  double ExtraShare() const {
    return static_cast<double>(extra_sends) / first_sends;
  }
  double MeanMs() const { return total_ms / requests; }
};

enum class LoadPolicy {
  /// The algorithms of this library.
  kTier,
  /// Random replicas, a retry after each failure, and a wait for all parts
  /// until the timeout.
  kNaive,
};

/// Runs the scenario in simulated time.
/// @param seed of all random numbers.
LoadResult SimulateLoad(const LoadScenario& scenario, LoadPolicy policy,
                        uint32_t seed);

}  // namespace cherrydyke
