#include "entry/target_directory.h"

#include <algorithm>

#include "membership/rendezvous.h"

namespace cherrydyke {
namespace {

/// Time for which a target is not selected after its gate had no lease of it.
constexpr absl::Duration kNotHeldBackoff = absl::Milliseconds(50);

}  // namespace

void TargetDirectory::OnHosts(const HostList& hosts) {
  std::map<FailureDomainName, std::vector<HostId>> gates;
  for (const Host& host : hosts.hosts) {
    if (host.kind == HostKind::kEntry && host.state == HostState::kLive) {
      gates[host.failure_domain].push_back(host.id);
    }
  }
  const absl::MutexLock lock(&mutex_);
  absl::flat_hash_map<TargetId, Target> targets;
  for (const Host& host : hosts.hosts) {
    if (host.kind != HostKind::kTarget) continue;
    Target target;
    if (const auto known = targets_.find(host.id); known != targets_.end()) {
      target = known->second;
    }
    const std::vector<HostId>& candidates = gates[host.failure_domain];
    // The rendezvous hash takes one hash for each gate, so the assignment is
    // computed only if the gates of the failure domain have changed.
    const bool is_unchanged =
        target.failure_domain == host.failure_domain &&
        gates_by_domain_[host.failure_domain] == candidates;
    if (!is_unchanged)
      target.assigned_gate = RendezvousWinner(host.id, candidates);
    target.failure_domain = host.failure_domain;
    target.leaving = host.state == HostState::kLeaving;
    targets[host.id] = std::move(target);
  }
  targets_ = std::move(targets);
  gates_by_domain_ = std::move(gates);
}

void TargetDirectory::OnCatalogue(const Catalogue& catalogue) {
  const absl::MutexLock lock(&mutex_);
  out_of_service_domains_.clear();
  for (const auto& [name, domain] : catalogue.failure_domains) {
    if (catalogue.IsOutOfService(name)) out_of_service_domains_.insert(name);
  }
}

void TargetDirectory::OnReports(const HostId& gate,
                                const TargetReports& reports) {
  const absl::MutexLock lock(&mutex_);
  for (const TargetReport& report : reports.reports) {
    const auto found = targets_.find(report.target);
    if (found == targets_.end() || found->second.assigned_gate != gate)
      continue;
    found->second.report = report;
  }
}

void TargetDirectory::OnLinkState(const HostId& gate, bool connected) {
  const absl::MutexLock lock(&mutex_);
  if (connected) {
    connected_gates_.insert(gate);
    return;
  }
  connected_gates_.erase(gate);
  for (auto& [id, target] : targets_) {
    if (target.assigned_gate == gate) target.report.reset();
  }
}

void TargetDirectory::AdjustOutstanding(const TargetId& target, int change) {
  const absl::MutexLock lock(&mutex_);
  const auto found = targets_.find(target);
  if (found == targets_.end()) return;
  found->second.outstanding = std::max(0, found->second.outstanding + change);
}

void TargetDirectory::OnNotHeld(const TargetId& target) {
  const absl::MutexLock lock(&mutex_);
  const auto found = targets_.find(target);
  if (found == targets_.end()) return;
  found->second.backoff_until = clock_.Now() + kNotHeldBackoff;
}

HostId TargetDirectory::AssignedGate(const TargetId& target) const {
  const absl::ReaderMutexLock lock(&mutex_);
  const auto found = targets_.find(target);
  return found == targets_.end() ? "" : found->second.assigned_gate;
}

bool TargetDirectory::IsReachableLocked(const Target& target) const {
  if (target.leaving ||
      out_of_service_domains_.count(target.failure_domain) > 0)
    return false;
  if (connected_gates_.count(target.assigned_gate) == 0) return false;
  if (!target.report) return true;
  const TargetPhase phase = target.report->phase;
  return phase != TargetPhase::kGone && phase != TargetPhase::kDraining;
}

ReplicaView TargetDirectory::View(const TargetId& id) const {
  ReplicaView view;
  view.target = id;
  const absl::ReaderMutexLock lock(&mutex_);
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    view.reachable = false;
    return view;
  }
  const Target& target = found->second;
  view.reachable =
      IsReachableLocked(target) && clock_.Now() >= target.backoff_until;
  view.same_domain = target.failure_domain == failure_domain_;
  view.load = target.outstanding;
  if (target.report) {
    view.phase = target.report->phase;
    view.limit = target.report->limit;
    view.load =
        std::max(view.load, target.report->in_flight + target.report->queued);
    view.latency = absl::Microseconds(target.report->latency_us);
  }
  return view;
}

std::optional<std::vector<IndexVersion>> TargetDirectory::VersionsOf(
    const TargetId& id) const {
  const absl::ReaderMutexLock lock(&mutex_);
  const auto found = targets_.find(id);
  const bool known = found != targets_.end() && found->second.report &&
                     !found->second.report->versions.empty();
  if (!known) return std::nullopt;
  return found->second.report->versions;
}

bool TargetDirectory::IsReachable(const TargetId& id) const {
  const absl::ReaderMutexLock lock(&mutex_);
  const auto found = targets_.find(id);
  return found != targets_.end() && IsReachableLocked(found->second);
}

}  // namespace cherrydyke
