#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "catalogue/config_store.h"
#include "catalogue/host_list.h"
#include "routing/query_run.h"
#include "routing/snapshot.h"

namespace cherrydyke {

/// State of every target as seen by an entry: the gate assigned to it, the last
/// report of that gate, and the outstanding requests of this entry.
/// Thread-safe.
class TargetDirectory : public ReplicaDirectory, public VersionDirectory {
 public:
  TargetDirectory(FailureDomainName failure_domain, const Clock& clock)
      : failure_domain_(std::move(failure_domain)), clock_(clock) {}

  void OnHosts(const HostList& hosts);
  void OnCatalogue(const Catalogue& catalogue);
  void OnReports(const HostId& gate, const TargetReports& reports);
  void OnLinkState(const HostId& gate, bool connected);

  /// Adjusts the number of outstanding requests of this entry for the target.
  /// @param change 1 or -1.
  void AdjustOutstanding(const TargetId& target, int change);
  /// Handles a refusal by a gate that has no lease of the target: the target is
  /// not selected for a short time.
  void OnNotHeld(const TargetId& target);

  /// @return the gate to which the host list assigns the target, or "" if the
  /// target is unknown.
  HostId AssignedGate(const TargetId& target) const;

  ReplicaView View(const TargetId& target) const override;
  std::optional<std::vector<IndexVersion>> VersionsOf(
      const TargetId& target) const override;
  bool IsReachable(const TargetId& target) const override;

 private:
  struct Target {
    FailureDomainName failure_domain;
    HostId assigned_gate;
    bool leaving = false;
    std::optional<TargetReport> report;
    int outstanding = 0;
    absl::Time backoff_until = absl::InfinitePast();
  };

  bool IsReachableLocked(const Target& target) const
      ABSL_SHARED_LOCKS_REQUIRED(mutex_);

  const FailureDomainName failure_domain_;
  const Clock& clock_;
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<TargetId, Target> targets_ ABSL_GUARDED_BY(mutex_);
  std::map<FailureDomainName, std::vector<HostId>> gates_by_domain_
      ABSL_GUARDED_BY(mutex_);
  std::set<HostId> connected_gates_ ABSL_GUARDED_BY(mutex_);
  std::set<FailureDomainName> out_of_service_domains_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
