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

/// What an entry knows of every target: its home gate, what that gate reports,
/// and the requests under way from here. Thread-safe.
class TargetDirectory : public ReplicaDirectory, public VersionDirectory {
 public:
  TargetDirectory(FailureDomainName failure_domain, const Clock& clock)
      : failure_domain_(std::move(failure_domain)), clock_(clock) {}

  void OnHosts(const HostList& hosts);
  void OnCatalogue(const Catalogue& catalogue);
  void OnReports(const HostId& gate, const TargetReports& reports);
  void OnLinkState(const HostId& gate, bool connected);

  /// Counts a request on its way to the target; `change` is 1 or -1.
  void AdjustOutstanding(const TargetId& target, int change);
  /// A gate said that it does not hold the target: try others for a while.
  void OnNotHeld(const TargetId& target);

  /// @return the gate that the host list makes the target's home, or "".
  HostId HomeGate(const TargetId& target) const;

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
    absl::Time avoid_until = absl::InfinitePast();
  };

  bool IsReachableLocked(const Target& target) const
      ABSL_SHARED_LOCKS_REQUIRED(mutex_);

  const FailureDomainName failure_domain_;
  const Clock& clock_;
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<TargetId, Target> targets_ ABSL_GUARDED_BY(mutex_);
  std::map<FailureDomainName, std::vector<HostId>> gates_
      ABSL_GUARDED_BY(mutex_);
  std::set<HostId> connected_ ABSL_GUARDED_BY(mutex_);
  std::set<FailureDomainName> out_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
