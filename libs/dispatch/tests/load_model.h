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

/// A load that the decisions are played against: callers who ask many shards,
/// targets with slots, queues and pauses, and what goes wrong with them.
struct LoadScenario {
  int hosts = 6;
  int shards = 10;
  size_t needed = 9;
  int replicas = 3;
  int slots = 2;
  int queue = 12;
  /// Connections of one host to one target.
  int connections = 3;
  /// Requests a second over all hosts.
  double rate = 150;
  absl::Duration work = absl::Milliseconds(7.5);
  absl::Duration pause = absl::Milliseconds(200);
  absl::Duration pause_period = absl::Milliseconds(4500);
  absl::Duration goal = absl::Milliseconds(150);
  absl::Duration time_limit = absl::Milliseconds(1500);
  absl::Duration length = absl::Seconds(20);
  /// Shards of which no replica answers.
  std::set<int> unresponsive_shards;
  /// Work of the first replica of every other shard, times this.
  double slow_factor = 1;
  /// Part of the requests that the first replicas of each shard reject, and
  /// how many of them do.
  double shed = 0;
  int shedding_replicas = 2;
  /// Part of the answers that the first replicas of each shard lose, and how
  /// many of them do; from the first quarter of the time on.
  double lost = 0;
  int losing_replicas = 2;
  /// Whether hosts tell each other what they see of targets.
  bool hosts_gossip = true;
  /// Whether hosts limit what they have at each target.
  bool concurrency_limit = true;
  /// A burst: this rate instead, for a while from the first quarter on.
  double burst_rate = 0;
  absl::Duration burst_length = absl::Seconds(3);
  /// Whether refused callers come back, once, and how the tier tells them when.
  bool callers_retry = false;
  bool schedule_retries = true;
};

/// What the callers got.
struct LoadResult {
  int requests = 0;
  /// Answered within the goal.
  int in_goal = 0;
  /// Sum of the squared coverage of those.
  double credit = 0;
  /// Of those: after a refusal, counted from the new attempt.
  int in_goal_after_retry = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;
  /// Sum of the times until the final answer, in milliseconds.
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
  /// The decisions of this library.
  kTier,
  /// Any replica, another one after a failure, and a wait for all parts until
  /// the time limit.
  kNaive,
};

/// Plays the scenario in simulated time.
LoadResult SimulateLoad(const LoadScenario& scenario, LoadPolicy policy,
                        uint32_t seed);

}  // namespace cherrydyke
