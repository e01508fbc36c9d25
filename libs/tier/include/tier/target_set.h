#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "dispatch/cold_send_limiter.h"
#include "dispatch/concurrency_limit.h"
#include "dispatch/exclusion_reason.h"
#include "dispatch/replica_choice.h"
#include "dispatch/retry_budget.h"
#include "dispatch/target_health.h"
#include "dispatch/target_health_report.h"
#include "dispatch/target_notices.h"
#include "dispatch/target_selector.h"
#include "dispatch/types.h"
#include "engine/connection_pool.h"
#include "membership/fleet_shares.h"
#include "telemetry/log_budget.h"

namespace cherrydyke {

/// What the operators ask of targets.
struct TargetOrders {
  std::map<ServiceName, ServiceSpec> services;
  /// Failure domains whose targets get nothing.
  std::set<FailureDomainName> evacuated;
};

/// Sends since the start, by where they went and why.
struct SendCounts {
  /// Indexed by `Distance`.
  std::array<int64_t, kDistances> by_distance{};
  /// Of all: beyond the first of their request.
  int64_t extra = 0;
  /// Of all: to targets that seemed not to answer.
  int64_t suspect = 0;
  /// Of all: to cold targets.
  int64_t cold = 0;
  /// Extra sends for which the budget had no room.
  int64_t over_budget = 0;
  /// Connections borrowed at targets of which this host has no share.
  int64_t borrowed = 0;
  /// Targets passed over.
  ExclusionCounts passed_over;
};

/// Services by what is left to ask.
struct ServiceCounts {
  /// Asked for lately.
  int in_use = 0;
  /// Of those: with fewer than two targets that this host can ask.
  int without_alternative = 0;
};

/// The targets that this host knows, with their connections and what it has
/// learned of each; chooses one for each send.
class TargetSet : public TargetSelector {
 public:
  TargetSet(engine::EventLoop& loop, Locality locality, FleetLimits bounds,
            engine::ClientOptions options, const HostTable& hosts,
            Policy policy);
  ~TargetSet() override;

  /// Replaces the list of targets.
  /// @param missing_grace how long targets that are no longer listed are kept:
  /// their entries may have lapsed while the configuration service was away.
  void SetTargets(std::vector<TargetInfo> targets,
                  absl::Duration missing_grace);
  void SetOrders(TargetOrders orders);
  /// Divides the limits anew after a change of the known hosts.
  void OnHostsChanged();

  /// Opens connections for services that routes have begun to name, before
  /// their first requests would have to wait for them.
  void Expect(const std::vector<ServiceName>& services);
  void OnRequest(const ServiceName& service);
  std::optional<SelectedTarget> Select(const SelectionCriteria& need,
                                       absl::Time now) override;

  /// Sends a request that `Place` chose this target for.
  /// @return 0 if the target is gone by now; `done` is then not called.
  engine::ExchangeId Send(const TargetId& target, engine::PoolRequest request);
  /// Gives back what `Place` took for a send that was never made.
  void Unplace(const TargetId& target);
  void Cancel(const TargetId& target, engine::ExchangeId exchange,
              absl::Duration grace);

  /// @param useful latency above which answers are late.
  void OnEnded(const TargetId& target, TargetOutcome sign,
               absl::Duration latency, absl::Duration useful);
  /// The target does not have the address that it was listed with.
  void OnWrongTarget(const TargetId& target);
  void OnOverdue(const TargetId& target, absl::Time sent_at);
  void OnLoad(const TargetId& target, TargetLoad load);
  /// An answer said that the target leaves: it gets nothing more.
  /// @param sent_at when the request was sent, which tells the lifetime.
  /// @return whether this is news.
  bool OnLeaving(const TargetId& target, absl::Time sent_at);
  /// The target turned a request away and wants nothing for a time.
  /// @param draw a random number in [0, 1).
  /// @return when it may be used again, or nothing if it is gone by now.
  std::optional<absl::Time> OnClosed(const TargetId& target, absl::Time sent_at,
                                     absl::Duration wait, double draw);
  /// @return when a service has a target again whose targets have all asked for
  /// time; the infinite past for any other service.
  absl::Time OpensAt(const ServiceName& service) const;
  /// A connection broke while a request ran, which a crash may explain.
  /// @param on_crash called if it turns out that the target crashed.
  void OnLostRequest(const TargetId& target, std::function<void()> on_crash);

  /// @return what was seen of targets since the last call.
  std::vector<TargetHealthReport> TakeEvidence(size_t limit);
  /// Another host of the failure domain tells what it saw of targets.
  void OnEvidence(const std::vector<TargetHealthReport>& evidence);

  /// @return lines left out since the last call, by kind.
  std::map<std::string, int> TakeDroppedLines() {
    return log_budget_.TakeDropped();
  }

  size_t size() const { return targets_.size(); }
  ServiceCounts CountServices() const;
  int open_connections() const;
  const SendCounts& counts() const { return counts_; }

 private:
  struct Target;
  using TargetPtr = std::unique_ptr<Target>;

  void Update(TargetInfo info, absl::Time now);
  void DropGone(absl::Time now);
  void Retire(TargetPtr target);
  /// Opens connections to the targets that requests and hedges would go to.
  void KeepWarm();
  bool MayUse(const Target& target, const SelectionCriteria& need,
              absl::Time now) const;
  /// @return whether a target may be used and is not known to be silent.
  bool CanServe(const Target& target, absl::Time now) const;
  /// @return why a target may not be used, or nothing if it may.
  std::optional<ExclusionReason> ObstacleTo(const Target& target,
                                            const SelectionCriteria& need,
                                            absl::Time now) const;
  /// @return why a target that may be used gets nothing more now.
  std::optional<ExclusionReason> LimitOf(Target& target,
                                         const SelectionCriteria& need,
                                         absl::Time now) const;
  /// @return the target of a service at which this host may borrow a
  /// connection.
  Target* FindLender(const std::vector<Target*>& targets,
                     const SelectionCriteria& need, absl::Time now) const;
  /// Borrows a connection, if there is a target that lends one.
  Target* Borrow(const std::vector<Target*>& targets,
                 const SelectionCriteria& need, absl::Time now);
  /// Gives back connections that were borrowed and not used for long.
  void ReturnBorrowed(absl::Time now);
  static bool WasTried(const Target& target, const SelectionCriteria& need);
  bool IsInAllowedRegion(const Target& target,
                         const SelectionCriteria& need) const;
  /// @return the target that a request was sent to, if its lifetime still
  /// stands in the list.
  Target* FindAsOf(const TargetId& id, absl::Time sent_at) const;
  ReplicaState StateOf(const Target& target, absl::Time now) const;
  /// Divides what targets bear among the hosts that may use them.
  void DivideAll();
  void Divide(Target& target);
  void Count(const Target& target, bool extra, absl::Time now);
  Target* Find(const TargetId& id) const;

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const Locality locality_;
  const FleetLimits bounds_;
  const Policy policy_;
  const engine::ClientOptions options_;
  FleetShares shares_;
  RetryBudget budget_;
  TargetOrders orders_;
  SendCounts counts_;
  LogBudget log_budget_;
  HealthReportCollector evidence_;
  TargetNotices notices_;
  absl::flat_hash_map<TargetId, TargetPtr> targets_;
  /// The same by the hash under which hosts tell each other of them.
  absl::flat_hash_map<uint32_t, Target*> by_hash_;
  /// When each service was asked for last.
  absl::flat_hash_map<ServiceName, absl::Time> used_at_;
  absl::flat_hash_map<ServiceName, std::vector<Target*>> by_service_;
};

}  // namespace cherrydyke
