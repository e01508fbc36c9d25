#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/ids.h"
#include "catalogue/types.h"
#include "routing/budget.h"
#include "routing/coverage.h"
#include "routing/replica_picker.h"
#include "routing/snapshot.h"
#include "wire/messages.h"

namespace cherrydyke {

/// Looks up the current state of replicas during a query.
class ReplicaDirectory {
 public:
  virtual ~ReplicaDirectory() = default;
  virtual ReplicaView View(const TargetId& target) const = 0;
};

/// The parameters of one query, fixed when it starts.
struct QueryPlan {
  Snapshot snapshot;
  ShardMap shard_map;
  EntryClass entry_class = EntryClass::kLatency;
  CanaryMode canary = CanaryMode::kAlways;
  absl::Time soft_deadline;
  absl::Time hard_deadline;

  /// @return when the query returns the answers that it has: the soft deadline
  /// of a latency entry, the hard deadline of a coverage entry.
  absl::Time deadline() const {
    return entry_class == EntryClass::kLatency ? soft_deadline : hard_deadline;
  }
};

/// Policies and shared state that all queries of a process use.
struct QueryEnvironment {
  const ReplicaDirectory& directory;
  const ReplicaPicker& picker;
  RatioBudget& hedge_budget;
  RatioBudget& retry_budget;
  /// Time without an answer after which a sub-request is hedged; infinite
  /// disables hedging.
  absl::Duration hedge_delay;
  /// @return an attempt id that was never used before.
  std::function<AttemptId()> next_attempt;
};

/// An attempt at a sub-request that the caller has to send.
struct Dispatch {
  AttemptId attempt;
  size_t shard_index = 0;
  TargetId target;
  bool hedge = false;
};

/// What the caller of a `QueryRun` has to send and cancel after an event.
struct QueryActions {
  std::vector<Dispatch> send;
  std::vector<AttemptId> cancel;
};

/// The result of a query.
struct QueryResult {
  Snapshot snapshot;
  Coverage coverage;
  std::vector<SearchHit> hits;
  /// Whether the query was stopped because it seems to crash targets.
  bool quarantined = false;
  /// Whether the answer is incomplete and some target does not hold the index
  /// version of the snapshot.
  bool version_gone = false;
  int attempts = 0;
  /// Whether every attempt is proved not to have been executed.
  bool proved_not_run = false;
};

/// Runs one query over the shards of one snapshot: picks replicas, hedges,
/// retries, stops at the deadline and computes the coverage.
///
/// Holds only decision logic and is not thread-safe. Every event takes the
/// current time and returns the attempts to send and to cancel; nothing blocks.
///
///     QueryRun run(plan, environment, seed);
///     Perform(run.Start(now));
///     while (!run.done()) Perform(run.OnAnswer(NextAnswer(), now));
///     QueryResult result = run.TakeResult();
class QueryRun {
 public:
  QueryRun(QueryPlan plan, QueryEnvironment environment, uint64_t seed);

  QueryActions Start(absl::Time now);
  /// Handles an answer. An answer that belongs to no running attempt of this
  /// query is counted and dropped.
  QueryActions OnAnswer(const SubRequestReply& answer, absl::Time now);
  QueryActions OnTimer(absl::Time now);

  /// @return the latest time at which `OnTimer` has to be called.
  absl::Time NextTimer() const;
  bool done() const { return done_; }
  /// @return the number of answers that belonged to no running attempt.
  int dropped_answers() const { return dropped_answers_; }
  QueryResult TakeResult();

 private:
  struct ShardProgress {
    bool started = false;
    bool answered = false;
    /// No attempt is running and none will be sent.
    bool given_up = false;
    /// Whether an attempt has given a reason why the shard is missing.
    bool has_reason = false;
    /// Connections lost while an attempt was running.
    int crashes = 0;
    /// Backoffs so far; sets the length of the next one.
    int retry_rounds = 0;
    /// Failures that the same replica would repeat.
    size_t permanent_failures = 0;
    std::set<TargetId> tried_targets;
    std::map<AttemptId, TargetId> running_attempts;
    absl::Time hedge_at = absl::InfiniteFuture();
    absl::Time retry_at = absl::InfiniteFuture();
    /// The longest truncated answer, used if no complete one arrives.
    std::vector<SearchHit> truncated_hits;
  };

  void StartShard(size_t index, absl::Time now, QueryActions& actions);
  void StartRemaining(absl::Time now, QueryActions& actions);
  /// @return false if there is no replica to send to.
  bool SendAttempt(size_t index, bool hedge, absl::Time now,
                   QueryActions& actions);
  /// @return the reachable replicas not tried in this round.
  std::vector<ReplicaView> Candidates(size_t index) const;
  /// @return the outcome of the answer, or why a successful one is not valid.
  AttemptOutcome ValidateAnswer(const SubRequestReply& answer,
                                size_t index) const;
  void OnSuccess(const SubRequestReply& answer, size_t index, absl::Time now,
                 QueryActions& actions);
  void OnTruncated(const SubRequestReply& answer, size_t index, absl::Time now,
                   QueryActions& actions);
  void OnFailure(AttemptOutcome outcome, size_t index, absl::Time now,
                 QueryActions& actions);
  void Retry(size_t index, absl::Time now, QueryActions& actions);
  void GiveUp(size_t index);
  void FinishIfNoShardPending(QueryActions& actions);
  void Finish(QueryActions& actions);
  /// Sends the retries and hedges that are due.
  void SendDueAttempts(absl::Time now, QueryActions& actions);
  bool IsCanaryPhase() const { return canary_phase_; }

  const QueryPlan plan_;
  const QueryEnvironment environment_;
  std::mt19937_64 random_;
  std::vector<ShardProgress> shards_;
  absl::flat_hash_map<AttemptId, size_t> shard_by_attempt_;
  CoverageTracker coverage_;
  std::vector<SearchHit> hits_;
  bool canary_phase_ = false;
  absl::Time canary_deadline_ = absl::InfiniteFuture();
  bool done_ = false;
  bool quarantined_ = false;
  bool version_gone_ = false;
  int attempts_sent_ = 0;
  int attempts_not_run_ = 0;
  int dropped_answers_ = 0;
  size_t pending_shards_ = 0;
};

}  // namespace cherrydyke
