#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "adapters/target_protocol.h"
#include "base/clock.h"
#include "gate/synchronized_target_leases.h"
#include "routing/latency_estimator.h"
#include "targets/target_limiter.h"
#include "telemetry/metrics.h"
#include "telemetry/span.h"

namespace cherrydyke {

/// One request for a target, from its arrival at the gate to its outcome.
struct TargetJob {
  enum class Kind { kSearch, kAction };
  Kind kind = Kind::kSearch;
  TargetCall call;
  std::string request_id;
  /// Under which the entry knows the attempt, to cancel it.
  AttemptId entry_attempt;
  absl::Time deadline;
  SpanContext parent;
  /// Called once, on a worker thread or by the caller of `Submit`.
  std::function<void(TargetReply)> done;
  /// Asks for a connection that was never used.
  bool needs_new_connection = false;
};

/// Runs the requests of one target within its limits: a queue, a worker for
/// each slot, the connections, and the target's state.
class TargetRunner {
 public:
  struct Environment {
    const Clock& clock;
    TargetProtocol& protocol;
    SynchronizedTargetLeases& leases;
    SpanStore& spans;
    Metrics& metrics;
    /// @return an id for an attempt at the target, never used before.
    std::function<AttemptId()> next_attempt;
    std::string source_address;
  };

  TargetRunner(TargetId target, Endpoint endpoint, TargetLimits limits,
               Environment environment);
  ~TargetRunner();
  TargetRunner(const TargetRunner&) = delete;
  TargetRunner& operator=(const TargetRunner&) = delete;

  /// Queues the job, or ends it at once with a refusal that proves that nothing
  /// ran.
  void Submit(TargetJob job);

  /// Drops the attempt if it waits, or tells the target if it runs.
  void Cancel(const AttemptId& entry_attempt);

  /// Reads the target's health; called once a second by the gate's prober.
  void Probe();

  void SetLimits(const TargetLimits& limits);
  void SetLeaving(bool leaving);
  void MarkCold();
  TargetReport Report();
  const Endpoint& endpoint() const { return endpoint_; }

  /// Ends queued jobs as not run, lets running ones finish, joins the workers.
  void Stop();

 private:
  struct IdleConnection {
    std::unique_ptr<TargetConnection> connection;
    absl::Time idle_since;
  };

  /// @param broken set if the probing connection was found ended.
  std::optional<TargetHealth> ReadHealth(bool& is_broken)
      ABSL_LOCKS_EXCLUDED(probe_mutex_);
  void RunWorker();
  /// Waits for a job that may start now; takes a slot for it.
  bool DequeueJob(TargetJob& job);
  /// Treats the target as cold if a connection that it should have kept is
  /// found ended: it may have started again.
  void MarkColdIfConnectionClosed() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool PopExpiredFront(absl::Time now, std::vector<TargetJob>& expired)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Run(TargetJob job);
  TargetReply Exchange(const TargetJob& job, TargetCall& call,
                       absl::Duration left, bool& reused);
  std::unique_ptr<TargetConnection> AcquireConnection(bool fresh, bool& reused);
  /// Closes idle connections beyond what the slots leave.
  void TrimIdleConnections() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RecordAttempt(const TargetJob& job, const TargetReply& reply,
                     absl::Duration latency, bool reused);
  void EnsureWorkers() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Reject(TargetJob& job, AttemptOutcome outcome);

  const TargetId target_;
  const Endpoint endpoint_;
  const Environment environment_;
  LatencyEstimator response_time_;

  absl::Mutex mutex_;
  absl::CondVar work_available_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool leaving_ ABSL_GUARDED_BY(mutex_) = false;
  int slots_ ABSL_GUARDED_BY(mutex_);
  TargetLimiter limiter_ ABSL_GUARDED_BY(mutex_);
  std::deque<TargetJob> queue_ ABSL_GUARDED_BY(mutex_);
  /// Running attempts: the entry's id to the id that the target knows.
  std::map<AttemptId, AttemptId> running_attempts_ ABSL_GUARDED_BY(mutex_);
  int busy_connections_ ABSL_GUARDED_BY(mutex_) = 0;
  std::vector<IdleConnection> idle_connections_ ABSL_GUARDED_BY(mutex_);
  std::vector<IndexVersion> index_versions_ ABSL_GUARDED_BY(mutex_);
  absl::Time drain_reported_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  uint64_t successes_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t successes_at_probe_ ABSL_GUARDED_BY(mutex_) = 0;
  std::vector<std::thread> workers_ ABSL_GUARDED_BY(mutex_);
  absl::Mutex probe_mutex_;
  std::unique_ptr<TargetConnection> probe_connection_
      ABSL_GUARDED_BY(probe_mutex_);
};

}  // namespace cherrydyke
