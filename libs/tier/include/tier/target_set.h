#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "dispatch/cold_send_limiter.h"
#include "dispatch/concurrency_limit.h"
#include "dispatch/connect_failures.h"
#include "dispatch/crash_detector.h"
#include "dispatch/exclusion_reason.h"
#include "dispatch/replica_choice.h"
#include "dispatch/retry_budget.h"
#include "dispatch/stated_rate_limiter.h"
#include "dispatch/target_health.h"
#include "dispatch/target_health_report.h"
#include "dispatch/target_notices.h"
#include "dispatch/target_selector.h"
#include "dispatch/types.h"
#include "engine/connection_pool.h"
#include "membership/fleet_shares.h"
#include "telemetry/log_rate_limiter.h"
#include "tier/target_withdrawals.h"

namespace cherrydyke {

/// The operators' configuration of targets.
struct TargetConfig {
  std::map<ServiceName, ServiceSpec> services;
  /// Failure domains whose targets get no requests.
  std::set<FailureDomainName> evacuated;
};

/// Counts of sends since the start.
struct SendCounts {
  /// Indexed by `Distance`.
  std::array<int64_t, kDistanceCount> by_distance{};
  /// Sends beyond the first of their request.
  int64_t extra = 0;
  /// Sends to targets suspected to be down.
  int64_t suspect = 0;
  /// Health reports of targets sent to other hosts.
  int64_t health_reports = 0;
  /// Sends to cold targets.
  int64_t cold = 0;
  /// Extra sends not made because the retry budget was used up.
  int64_t over_budget = 0;
  /// Connections borrowed at targets where this host's share is zero.
  int64_t borrowed = 0;
  /// Targets passed over, by reason.
  ExclusionCounts passed_over;
};

/// Counts of services by the availability of their targets.
struct ServiceCounts {
  /// Services with recent requests.
  int in_use = 0;
  /// Services in use with fewer than two targets that this host can use.
  int without_alternative = 0;
};

class PartitionMonitor;

/// The targets known to this host, with their connection pools, health and
/// limits; chooses a target for each send.
class TargetSet : public TargetSelector {
 public:
  TargetSet(engine::EventLoop& loop, Locality locality, FleetLimits bounds,
            engine::ClientOptions options, const HostTable& hosts,
            Policy policy);
  ~TargetSet() override;

  /// Replaces the list of targets.
  /// @param missing_grace how long targets that are no longer listed are kept,
  /// as their entries may have expired during an outage of the configuration
  /// service. Entries of earlier processes of known targets are not used as
  /// long.
  void SetTargets(std::vector<TargetInfo> targets,
                  absl::Duration missing_grace);
  void SetConfig(TargetConfig config);
  /// Changes the evacuated failure domains alone.
  void SetEvacuated(std::set<FailureDomainName> evacuated);
  /// Recomputes this host's shares of limits after a change of the known hosts.
  void OnHostsChanged();

  /// Opens connections for services that routes have come to name, so that
  /// their first requests need not wait for a handshake.
  void Prewarm(const std::vector<ServiceName>& services);
  /// Counts a request for a service and marks the service as in use.
  void OnRequest(const ServiceName& service);
  std::optional<SelectedTarget> Select(const SelectionCriteria& criteria,
                                       absl::Time now) override;

  /// @return a hash of the listed instance of the target, the same on all
  /// hosts; 0 if the target is not listed.
  uint32_t InstanceHash(const TargetId& target) const;

  /// @return whether the listed instance of the target is that to which a
  /// request was sent at `sent_at`.
  bool IsCurrentInstance(const TargetId& target, absl::Time sent_at) const;

  /// @return whether the target may still get a request that was assigned to it
  /// at `sent_at`: that instance is listed, it is not leaving, and its failure
  /// domain is not evacuated.
  bool MayReceive(const TargetId& target, absl::Time sent_at) const;

  /// @return the region of the listed instance of the target; empty if the
  /// target is not listed.
  RegionName RegionOf(const TargetId& target) const;

  /// Sends a request to the target that `Select` chose for it.
  /// @return 0 if the target no longer exists; `done` is then not called.
  engine::ExchangeId Send(const TargetId& target, engine::PoolRequest request);
  /// Reports all requests that wait for connections as not sent.
  void FailQueued();
  /// Undoes `Select` for a send that was never made.
  void ReleaseSelection(const TargetId& target);
  /// Cancels an exchange that was sent at `sent_at`.
  /// @return whether it still waited for a connection.
  bool Cancel(const TargetId& target, absl::Time sent_at,
              engine::ExchangeId exchange, absl::Duration grace);

  /// Records the end of an exchange in the target's health and concurrency
  /// limit.
  /// @param useful_latency latency above which a response counts as late.
  void OnEnded(const TargetId& target, TargetOutcome outcome,
               absl::Duration latency, absl::Duration useful_latency);
  /// Another target responded at the address that this one was listed with.
  void OnWrongTarget(const TargetId& target);
  /// A request sent at `sent_at` has taken longer than the target usually does.
  void OnOverdue(const TargetId& target, absl::Time sent_at);
  void OnLoad(const TargetId& target, TargetLoad load);
  /// A response announced the target's shutdown: it gets no more requests.
  /// @param sent_at when the request was sent, which identifies the target
  /// instance.
  /// @return whether it had not announced this before.
  bool OnLeaving(const TargetId& target, absl::Time sent_at);
  /// The target rejected a request and asked for a backoff.
  /// @param sent_at as for `OnLeaving`.
  /// @param random_fraction a random number in [0, 1) for the jitter.
  /// @return when it may be used again, or nothing if it no longer exists.
  std::optional<absl::Time> OnBackoff(const TargetId& target,
                                      absl::Time sent_at,
                                      absl::Duration backoff,
                                      double random_fraction);
  /// A response stated the request rate that the target takes from all hosts
  /// together, or stated none.
  /// @param sent_at as for `OnLeaving`.
  /// @param random_fraction a random number in [0, 1).
  /// @return whether the rate was set, changed or lifted.
  bool OnStatedRate(const TargetId& target, absl::Time sent_at,
                    std::optional<double> per_second, double random_fraction);
  /// @return for a service whose usable targets are all backing off, when the
  /// first of them may be used again; otherwise the infinite past.
  absl::Time EarliestBackoffEnd(const ServiceName& service) const;
  /// A request sent at `sent_at` got a complete response from this target.
  void OnResponse(const TargetId& target, absl::Time sent_at);
  /// An attempt sent at `sent_at` ended without a response, possibly because
  /// the target crashed.
  /// @param on_verdict called at most once; not if the instance was removed
  /// too long ago.
  void OnUnanswered(const TargetId& target, absl::Time sent_at,
                    AttemptLoss loss, CrashDetector::OnVerdict on_verdict);

  /// @return health reports of at most `limit` targets, collected since the
  /// last call.
  std::vector<TargetHealthReport> TakeHealthReports(size_t limit);
  /// Merges health reports from another host of the failure domain.
  void OnHealthReports(const std::vector<TargetHealthReport>& reports);

  /// @return log lines dropped since the last call, by kind.
  std::map<std::string, int> TakeDroppedLines() {
    return log_rate_limiter_.TakeDroppedCounts();
  }

  size_t size() const { return targets_.size(); }
  /// Sets callbacks for changes of the path to all targets.
  /// @param on_suspected the path may be lost.
  /// @param on_partitioned this host takes itself for partitioned.
  /// @param on_restored it does not any more.
  void OnPathChange(std::function<void()> on_suspected,
                    std::function<void()> on_partitioned,
                    std::function<void()> on_restored) {
    on_suspected_ = std::move(on_suspected);
    on_partitioned_ = std::move(on_partitioned);
    on_restored_ = std::move(on_restored);
  }
  /// Sets a callback for targets that are to get no more requests as they are
  /// draining, gone or evacuated, or that may again.
  void OnWithdrawals(
      std::function<void(const std::vector<WithdrawalNotice>&)> callback) {
    on_withdrawals_ = std::move(callback);
  }
  /// @return whether this host takes itself for partitioned from all targets.
  bool IsPartitioned() const;
  /// @return whether it may be.
  bool IsPathInDoubt() const;
  /// @return false if the service has targets that this host may use and none
  /// of them can be reached.
  bool CanReach(const ServiceName& service) const;
  /// Keeps trying to connect to the service's targets as after a request.
  void MarkInUse(const ServiceName& service) {
    last_used_at_[service] = loop_.Now();
  }
  /// @return hashes of the services that cannot be reached: of those in use,
  /// and of all while this host can open no connections.
  std::vector<uint32_t> UnreachableServices() const;
  ServiceCounts CountServices() const;
  int open_connections() const;
  const SendCounts& counts() const { return counts_; }

 private:
  struct Target;
  using TargetPtr = std::unique_ptr<Target>;

  void Update(TargetInfo info, absl::Time now);
  /// Withdraws requests that wait for connections to targets that may not get
  /// them any more, and reports these targets.
  void WithdrawQueued();
  /// Notes that a target is withdrawn, or no longer, if that has changed.
  void NoteWithdrawal(Target& target, std::optional<ExclusionReason> reason);
  void ReportWithdrawals();
  /// Removes targets whose grace period after they were last listed is over.
  void RemoveExpired(absl::Time now);
  /// Destroys a removed target later, when its running requests have ended.
  void Retire(TargetPtr target);
  /// Opens connections to the targets to which requests and hedges would go.
  void KeepConnectionsWarm();
  /// @return whether requests to the target are expected to get through.
  bool IsInReach(const Target& target, absl::Time now) const;
  /// @return whether connections to other targets are established, in its
  /// failure domain unless none of these is known to be out of reach, and no
  /// partition is suspected.
  bool IsPathToOthersOpen(const Target& target) const;
  bool IsUsable(const Target& target, const SelectionCriteria& criteria,
                absl::Time now) const;
  /// @return whether a target may be used and is not known to be unresponsive.
  bool CanServe(const Target& target, absl::Time now) const;
  /// @return why a target may not get any request, not even one that waits for
  /// a connection to it, or nothing if it may.
  std::optional<ExclusionReason> WithdrawalReason(const Target& target,
                                                  absl::Time now) const;
  /// @return why a target may not be used, or nothing if it may.
  std::optional<ExclusionReason> ExclusionReasonFor(
      const Target& target, const SelectionCriteria& criteria,
      absl::Time now) const;
  /// @return the limit that keeps a usable target from getting another request
  /// now, or nothing.
  std::optional<ExclusionReason> LimitReached(Target& target,
                                              const SelectionCriteria& criteria,
                                              absl::Time now) const;
  /// @param targets the targets of one service.
  /// @return the one at which this host may borrow a connection, or null.
  Target* FindBorrowTarget(const std::vector<Target*>& targets,
                           const SelectionCriteria& criteria,
                           absl::Time now) const;
  /// Borrows a connection at the target that `FindBorrowTarget` finds, if any.
  /// @return that target or null.
  Target* Borrow(const std::vector<Target*>& targets,
                 const SelectionCriteria& criteria, absl::Time now);
  /// Returns borrowed connections that have been unused for some time.
  void ReturnBorrowed(absl::Time now);
  static bool WasTried(const Target& target, const SelectionCriteria& criteria);
  bool IsInAllowedRegion(const Target& target,
                         const SelectionCriteria& criteria) const;
  /// @return the target to which a request was sent at `sent_at`, or null if
  /// that instance is no longer listed.
  Target* FindInstance(const TargetId& id, absl::Time sent_at) const;
  /// Like `FindInstance`, but also finds instances removed recently.
  Target* FindCurrentOrRetired(const TargetId& id, absl::Time sent_at) const;
  /// @return whether a target of the failure domain has responded recently, so
  /// that the network path to the domain works.
  bool HasRecentResponse(const FailureDomainName& domain) const;
  ReplicaState StateOf(const Target& target, absl::Time now) const;
  /// @return requests per window that this host may send to the target by the
  /// rate that the target stated.
  int ShareOfStatedRate(const Target& target) const;
  void UpdateAllLimits();
  /// Recomputes this host's shares of a target's connections and cold requests.
  void UpdateLimits(Target& target);
  void CountSend(const Target& target, bool extra, absl::Time now);
  /// An attempt to connect to a target failed.
  void OnConnectFailed(const Target& target);
  /// The path to all targets works again.
  /// @param lost_at when they had fallen silent.
  void OnPathRestored(absl::Time lost_at);
  /// @return endpoints of targets in different failure domains that are
  /// expected to accept connections.
  std::vector<Endpoint> ChooseProbes(size_t limit);
  Target* Find(const TargetId& id) const;

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const Locality locality_;
  const FleetLimits bounds_;
  const Policy policy_;
  const engine::ClientOptions options_;
  FleetShares shares_;
  RetryBudget retry_budget_;
  TargetConfig config_;
  SendCounts counts_;
  LogRateLimiter log_rate_limiter_;
  HealthReportCollector report_collector_;
  TargetNotices notices_;
  ConnectFailures connect_failures_;
  absl::flat_hash_map<TargetId, TargetPtr> targets_;
  /// Removed instances whose running requests may not have ended yet.
  absl::flat_hash_map<TargetId, std::vector<TargetPtr>> retired_targets_;
  /// When a target of each failure domain last responded.
  absl::flat_hash_map<FailureDomainName, absl::Time> responded_at_;
  /// The targets by the id hash that health reports refer to.
  absl::flat_hash_map<uint32_t, Target*> targets_by_hash_;
  /// When each service last had a request.
  absl::flat_hash_map<ServiceName, absl::Time> last_used_at_;
  absl::flat_hash_map<ServiceName, std::vector<Target*>> targets_by_service_;
  std::mt19937_64 random_;
  std::unique_ptr<PartitionMonitor> partition_monitor_;
  std::function<void()> on_suspected_;
  std::function<void()> on_partitioned_;
  std::function<void()> on_restored_;
  std::function<void(const std::vector<WithdrawalNotice>&)> on_withdrawals_;
  std::vector<WithdrawalNotice> withdrawal_notices_;
};

}  // namespace cherrydyke
