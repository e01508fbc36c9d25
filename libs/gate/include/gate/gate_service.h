#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "admission/quarantine.h"
#include "catalogue/config_store.h"
#include "catalogue/host_list.h"
#include "gate/action_executor.h"
#include "gate/target_runner.h"
#include "wire/link.h"

namespace cherrydyke {

/// Serves entries: runs sub-requests at the targets leased by this gate,
/// reports the state of these targets, issues tickets and runs actions.
/// Thread-safe, except for the functions that are for a named thread.
class GateService {
 public:
  struct Identity {
    HostId host;
    FailureDomainName failure_domain;
    std::string address;
    Incarnation incarnation = 0;
  };

  struct Environment {
    const Clock& clock;
    TargetProtocol& protocol;
    SynchronizedTargetLeases& leases;
    SpanStore& spans;
    Metrics& metrics;
    /// Runs a task on the control thread after a delay.
    std::function<void(absl::Duration, std::function<void()>)> run_later;
    /// Called after a fingerprint was added to the quarantine of this gate.
    std::function<void()> on_quarantine;
  };

  GateService(Identity self, Environment environment);
  ~GateService();
  GateService(const GateService&) = delete;
  GateService& operator=(const GateService&) = delete;

  // For the control thread.
  void OnCatalogue(const Catalogue& catalogue);
  void OnHosts(const HostList& hosts);
  /// Creates runners for targets newly assigned to this gate and retires the
  /// runners of targets that are no longer assigned to it, not in the host list
  /// or at another address.
  void UpdateRunners();
  /// Marks the targets of new leases as cold.
  void OnLeasesAcquired(const std::vector<TargetId>& targets);
  void OnQuarantineNotices(const std::vector<QuarantineNotice>& notices);
  /// @return at most `limit` notices to send to peers.
  std::vector<QuarantineNotice> QuarantineNotices(size_t limit);

  // For link threads.
  void OnLinkMessage(const std::shared_ptr<Link>& link, Message message);

  /// @return a report for each target that is assigned to this gate. Targets to
  /// which this gate may not send are reported as gone.
  TargetReports Reports();

  /// @return whether this gate's failure domain is in service.
  bool in_service() const { return in_service_; }
  /// Refuses new requests from now on.
  void BeginDrain() {
    draining_ = true;
    actions_.BeginDrain();
  }
  /// @return the number of requests that are queued or running.
  int InFlight() const { return in_flight_ + actions_.InFlight(); }

  void Stop();

 private:
  using RunnerPtr = std::shared_ptr<TargetRunner>;

  void OnBatch(const std::shared_ptr<Link>& link, const SubRequestBatch& batch);
  void OnCancel(const CancelAttempts& cancel);
  /// @param fingerprint of the query, or 0 for an action.
  /// @return the reason to refuse a request for the target, or `kDone`.
  AttemptOutcome RefusalFor(const TargetId& target, uint64_t fingerprint);
  /// Counts a lost connection as a crash caused by the query that was running,
  /// and quarantines the query after repeated crashes.
  void OnCrash(uint64_t fingerprint);
  RunnerPtr FindRunner(const TargetId& target);
  TargetLimits LimitsOf(const TargetId& target) const;
  AttemptId NextAttempt() { return {self_.incarnation, ++last_attempt_}; }
  void ProbeLoop();
  /// Stops the runners that `UpdateRunners` retired. Blocks until their running
  /// requests have ended.
  void StopRetiredRunners();
  void CancelLoop();

  const Identity self_;
  const Environment environment_;
  std::atomic<uint64_t> last_attempt_{0};
  std::atomic<bool> in_service_{true};
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<int> in_flight_{0};

  mutable absl::Mutex mutex_;
  std::map<TargetId, RunnerPtr> runners_ ABSL_GUARDED_BY(mutex_);
  std::vector<RunnerPtr> retired_runners_ ABSL_GUARDED_BY(mutex_);
  std::map<TargetId, TargetLimits> limits_ ABSL_GUARDED_BY(mutex_);
  std::map<TargetId, Host> targets_ ABSL_GUARDED_BY(mutex_);
  Quarantine quarantine_ ABSL_GUARDED_BY(mutex_);
  /// Crashes observed by this gate, by fingerprint, of queries that are not
  /// quarantined yet.
  std::map<uint64_t, int> crashes_ ABSL_GUARDED_BY(mutex_);
  std::vector<CancelAttempts> pending_cancels_ ABSL_GUARDED_BY(mutex_);
  absl::CondVar pending_cancels_changed_;

  ActionExecutor actions_;

  std::thread probe_thread_;
  std::thread cancel_thread_;
};

}  // namespace cherrydyke
