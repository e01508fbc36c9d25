// The parts of `TargetSet` that concern the network path to the targets.

#include <algorithm>

#include "membership/domain_sample.h"
#include "partition_monitor.h"
#include "target.h"
#include "tier/target_set.h"

namespace cherrydyke {

bool TargetSet::IsPartitioned() const {
  return partition_monitor_->state() == PathState::kPartitioned;
}

bool TargetSet::IsPathInDoubt() const {
  return partition_monitor_->state() != PathState::kConnected;
}

bool TargetSet::IsInReach(const Target& target, absl::Time now) const {
  if (target.health.IsUnresponsive(now)) return false;
  if (target.pool->IsConnected()) return true;
  return !target.is_unreachable() && !connect_failures_.AreGeneral(now);
}

bool TargetSet::CanReach(const ServiceName& service) const {
  if (IsPartitioned()) return false;
  const auto found = targets_by_service_.find(service);
  if (found == targets_by_service_.end()) return true;
  const absl::Time now = loop_.Now();
  bool any_usable = false;
  for (const Target* target : found->second) {
    const auto exclusion = ExclusionReasonFor(*target, {}, now);
    if (exclusion && exclusion != ExclusionReason::kNoConnection) continue;
    if (IsInReach(*target, now)) return true;
    any_usable = true;
  }
  return !any_usable;
}

bool TargetSet::IsPathToOthersOpen(const Target& target) const {
  if (!partition_monitor_->IsPathTrusted()) return false;
  const std::string& domain = target.info.failure_domain;
  bool any_connected = false;
  bool any_lost_in_domain = false;
  for (const auto& [id, other] : targets_) {
    if (other.get() == &target) continue;
    const bool is_connected = other->pool->IsConnected();
    any_connected = any_connected || is_connected;
    if (other->info.failure_domain != domain) continue;
    if (is_connected) return true;
    any_lost_in_domain = any_lost_in_domain || other->is_unreachable();
  }
  return any_connected && !any_lost_in_domain;
}

void TargetSet::OnConnectFailed(const Target& target) {
  const absl::Time now = loop_.Now();
  connect_failures_.OnFailed(target.id_hash, target.info.failure_domain, now);
  // Requests on services without a connection are to be handed over.
  if (connect_failures_.AreGeneral(now) && on_suspected_) on_suspected_();
  if (target.pool->IsConnected()) return;
  const bool any_connected = std::any_of(
      targets_.begin(), targets_.end(),
      [](const auto& entry) { return entry.second->pool->IsConnected(); });
  partition_monitor_->OnUnconnected(target.id_hash, any_connected);
}

void TargetSet::OnPathRestored(absl::Time lost_at) {
  // Probes have connected.
  connect_failures_.OnConnected(loop_.Now());
  for (auto& [id, target] : targets_) target->OnPathRestored(lost_at);
  KeepConnectionsWarm();
  if (on_restored_) on_restored_();
}

std::vector<Endpoint> TargetSet::ChooseProbes(size_t limit) {
  std::vector<const Target*> candidates;
  std::vector<FailureDomainName> domains;
  for (const auto& [id, target] : targets_) {
    const bool is_listed = target->expires_at == absl::InfiniteFuture();
    if (!is_listed || target->info.draining || target->leaving) continue;
    candidates.push_back(target.get());
    domains.push_back(target->info.failure_domain);
  }
  std::vector<Endpoint> endpoints;
  for (const size_t index : SampleAcrossDomains(domains, limit, random_)) {
    endpoints.push_back(candidates[index]->info.endpoint);
  }
  return endpoints;
}

}  // namespace cherrydyke
