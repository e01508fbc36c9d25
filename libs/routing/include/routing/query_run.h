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

/// What a query run may ask about replicas while it runs.
class ReplicaDirectory {
 public:
  virtual ~ReplicaDirectory() = default;
  virtual ReplicaView View(const TargetId& target) const = 0;
};

/// What one query needs, fixed when it starts.
struct QueryPlan {
  Snapshot snapshot;
  ShardMap shard_map;
  EntryClass entry_class = EntryClass::kLatency;
  CanaryMode canary = CanaryMode::kAlways;
  absl::Time soft_deadline;
  absl::Time hard_deadline;

  /// @return when the query answers with what it has.
  absl::Time deadline() const {
    return entry_class == EntryClass::kLatency ? soft_deadline : hard_deadline;
  }
};

/// Policies and shared state that query runs of a daemon have in common.
struct QueryEnvironment {
  const ReplicaDirectory& directory;
  const ReplicaPicker& picker;
  RatioBudget& hedge_budget;
  RatioBudget& retry_budget;
  /// Learned time after which a sub-request is hedged; infinite for never.
  absl::Duration hedge_delay;
  /// @return an attempt id never used before.
  std::function<AttemptId()> next_attempt;
};

/// One attempt to be sent.
struct Dispatch {
  AttemptId attempt;
  size_t shard_index = 0;
  TargetId target;
  bool hedge = false;
};

/// What the caller of a `QueryRun` has to do after an event.
struct QueryActions {
  std::vector<Dispatch> send;
  std::vector<AttemptId> cancel;
};

/// How a query ended.
struct QueryResult {
  Snapshot snapshot;
  Coverage coverage;
  std::vector<SearchHit> hits;
  /// Whether the request was given up because it crashes targets.
  bool quarantined = false;
  /// Whether some shard is missing because the version vanished.
  bool version_gone = false;
  int attempts = 0;
  /// Whether each attempt is proved to have run nothing.
  bool proved_not_run = false;
};

/// Runs one query over the shards of one snapshot: which replica to ask, when
/// to ask another, when to stop, and what was covered.
///
/// Pure decision logic for one thread: every event carries the time and
/// returns what is to be sent; nothing blocks.
///
///     QueryRun run(plan, environment, seed);
///     Perform(run.Start(now));
///     while (!run.done()) Perform(run.OnAnswer(NextAnswer(), now));
///     QueryResult result = run.TakeResult();
class QueryRun {
 public:
  QueryRun(QueryPlan plan, QueryEnvironment environment, uint64_t seed);

  QueryActions Start(absl::Time now);
  /// Handles an answer; one to no running attempt of this query is dropped.
  QueryActions OnAnswer(const SubAnswer& answer, absl::Time now);
  QueryActions OnTimer(absl::Time now);

  /// @return when `OnTimer` is to be called at the latest.
  absl::Time NextTimer() const;
  bool done() const { return done_; }
  /// @return answers that belonged to no running attempt.
  int dropped_answers() const { return dropped_; }
  QueryResult TakeResult();

 private:
  struct ShardProgress {
    bool started = false;
    bool answered = false;
    /// No attempt runs and none will follow.
    bool given_up = false;
    /// Whether an attempt has told why the shard is not answered.
    bool has_reason = false;
    int crashes = 0;
    int rounds = 0;
    /// Answers that the same replica would give again.
    size_t permanent_failures = 0;
    std::set<TargetId> tried;
    std::map<AttemptId, TargetId> running;
    absl::Time hedge_at = absl::InfiniteFuture();
    absl::Time retry_at = absl::InfiniteFuture();
    std::vector<SearchHit> truncated_hits;
  };

  void StartShard(size_t index, absl::Time now, QueryActions& actions);
  void StartRemaining(absl::Time now, QueryActions& actions);
  bool Send(size_t index, bool hedge, absl::Time now, QueryActions& actions);
  std::vector<ReplicaView> Candidates(size_t index) const;
  AttemptOutcome Verify(const SubAnswer& answer, size_t index) const;
  void OnSuccess(const SubAnswer& answer, size_t index, absl::Time now,
                 QueryActions& actions);
  void OnTruncated(const SubAnswer& answer, size_t index, absl::Time now,
                   QueryActions& actions);
  void OnFailure(AttemptOutcome outcome, size_t index, absl::Time now,
                 QueryActions& actions);
  void Retry(size_t index, absl::Time now, QueryActions& actions);
  void GiveUp(size_t index);
  void FinishIfNoShardPending(QueryActions& actions);
  void Finish(QueryActions& actions);
  /// Sends the retries and hedges whose time has come.
  void SendDueAttempts(absl::Time now, QueryActions& actions);
  bool IsCanaryPhase() const { return canary_running_; }

  const QueryPlan plan_;
  const QueryEnvironment environment_;
  std::mt19937_64 random_;
  std::vector<ShardProgress> shards_;
  absl::flat_hash_map<AttemptId, size_t> attempts_;
  CoverageTracker tally_;
  std::vector<SearchHit> hits_;
  bool canary_running_ = false;
  absl::Time canary_deadline_ = absl::InfiniteFuture();
  bool done_ = false;
  bool quarantined_ = false;
  bool version_gone_ = false;
  int sent_ = 0;
  int proved_not_run_ = 0;
  int dropped_ = 0;
  size_t pending_shards_ = 0;
};

}  // namespace cherrydyke
