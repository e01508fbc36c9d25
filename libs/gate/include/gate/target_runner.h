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

/// A request to a target and the callback that receives its outcome.
struct TargetJob {
  enum class Kind { kSearch, kAction };
  Kind kind = Kind::kSearch;
  TargetCall call;
  std::string request_id;
  /// Identifies the attempt for `TargetRunner::Cancel`; for a sub-request, the
  /// id that the entry assigned.
  AttemptId entry_attempt;
  absl::Time deadline;
  SpanContext parent;
  /// Called exactly once, on a worker thread or on the thread that calls
  /// `Submit`, `Cancel` or `Stop`.
  std::function<void(TargetReply)> done;
  /// Whether an idle connection must not be reused.
  bool needs_new_connection = false;
};

/// Sends requests to one target within its limits. Owns a bounded queue, one
/// worker thread per slot, a connection pool and the target's limiter.
/// Thread-safe.
class TargetRunner {
 public:
  struct Environment {
    const Clock& clock;
    TargetProtocol& protocol;
    SynchronizedTargetLeases& leases;
    SpanStore& spans;
    Metrics& metrics;
    /// @return a unique id for an attempt at the target.
    std::function<AttemptId()> next_attempt;
    /// Local address for connections to the target.
    std::string source_address;
  };

  TargetRunner(TargetId target, Endpoint endpoint, TargetLimits limits,
               Environment environment);
  ~TargetRunner();
  TargetRunner(const TargetRunner&) = delete;
  TargetRunner& operator=(const TargetRunner&) = delete;

  /// Queues the job, or ends it at once with a refusal that states that the
  /// request was not run.
  void Submit(TargetJob job);

  /// Removes the attempt from the queue, or sends a cancel request to the
  /// target if the attempt is running there. Has no effect on other attempts.
  void Cancel(const AttemptId& entry_attempt);

  /// Reads the target's health. Called once a second by the gate's probe
  /// thread.
  void Probe();

  void SetLimits(const TargetLimits& limits);
  /// @param leaving whether the host list states that the target is leaving or
  /// no longer contains it; the target then gets no new requests.
  void SetLeaving(bool leaving);
  void MarkCold();
  TargetReport Report();
  const Endpoint& endpoint() const { return endpoint_; }

  /// Ends queued jobs as not run, waits for running ones to finish and joins
  /// the worker threads.
  void Stop();

 private:
  struct IdleConnection {
    std::unique_ptr<TargetConnection> connection;
    absl::Time idle_since;
  };

  /// @param is_broken set to true if the target had closed the connection of
  /// the previous probe.
  /// @return nothing if the target did not respond.
  std::optional<TargetHealth> ReadHealth(bool& is_broken)
      ABSL_LOCKS_EXCLUDED(probe_mutex_);
  void RunWorker();
  /// Waits for a job that may start, and takes a slot for it. Rejects jobs
  /// whose deadline is too close.
  /// @return false if the runner is stopping.
  bool DequeueJob(TargetJob& job);
  /// Marks the target as cold if it has closed an idle connection, because it
  /// may have restarted. Drops connections that were idle for too long.
  void MarkColdIfConnectionClosed() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// Moves the first queued job to `expired` if too little time is left for it.
  /// @return whether a job was moved.
  bool PopExpiredFront(absl::Time now, std::vector<TargetJob>& expired)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Run(TargetJob job);
  /// Sends the request and waits for the response.
  /// @param left time until the job's deadline.
  /// @param reused set to whether an idle connection was reused.
  TargetReply Exchange(const TargetJob& job, TargetCall& call,
                       absl::Duration left, bool& reused);
  std::unique_ptr<TargetConnection> AcquireConnection(bool needs_new,
                                                      bool& reused);
  /// Closes the oldest idle connections until busy and idle connections
  /// together are no more than the slots.
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
  /// Running attempts: from `TargetJob::entry_attempt` to the attempt id sent
  /// to the target.
  std::map<AttemptId, AttemptId> running_attempts_ ABSL_GUARDED_BY(mutex_);
  int busy_connections_ ABSL_GUARDED_BY(mutex_) = 0;
  std::vector<IdleConnection> idle_connections_ ABSL_GUARDED_BY(mutex_);
  std::vector<IndexVersion> index_versions_ ABSL_GUARDED_BY(mutex_);
  /// When the target last refused a request because it is draining.
  absl::Time drain_reported_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  uint64_t successes_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t successes_at_probe_ ABSL_GUARDED_BY(mutex_) = 0;
  std::vector<std::thread> workers_ ABSL_GUARDED_BY(mutex_);
  absl::Mutex probe_mutex_;
  std::unique_ptr<TargetConnection> probe_connection_
      ABSL_GUARDED_BY(probe_mutex_);
};

}  // namespace cherrydyke
