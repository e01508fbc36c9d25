#include "shares/target_leases.h"

#include <algorithm>

#include "base/invariant.h"
#include "membership/rendezvous.h"

namespace cherrydyke {

TargetLeases::TargetLeases(HostId self, FailureDomainName failure_domain,
                           Options options)
    : self_(std::move(self)),
      failure_domain_(std::move(failure_domain)),
      options_(options) {}

void TargetLeases::OnHostList(const HostList& list, absl::Time now) {
  if (list.revision <= revision_) return;
  if (!Confirmed(now)) {
    held_.clear();
    RestartTakeoverWait();
  }
  revision_ = list.revision;
  newest_seen_revision_ = std::max(newest_seen_revision_, revision_);
  const std::set<HostId> previous_gates = std::move(gates_);
  gates_.clear();
  std::vector<TargetId> targets;
  for (const Host& host : list.hosts) {
    if (host.failure_domain != failure_domain_) continue;
    if (host.kind == HostKind::kTarget) targets.push_back(host.id);
    if (host.kind == HostKind::kEntry && host.state == HostState::kLive) {
      gates_.insert(host.id);
    }
  }
  assigned_.clear();
  const std::vector<HostId> candidates(gates_.begin(), gates_.end());
  for (const TargetId& target : targets) {
    if (RendezvousWinner(target, candidates) == self_) assigned_.insert(target);
  }
  for (auto it = held_.begin(); it != held_.end();) {
    it = IsAssigned(*it) ? std::next(it) : held_.erase(it);
  }
  const bool gate_removed =
      !std::includes(gates_.begin(), gates_.end(), previous_gates.begin(),
                     previous_gates.end());
  if (gate_removed) RestartTakeoverWait();
  // A peer proved dead under the previous list may have restarted since then
  // and acquired leases under an older list, so the proof does not count for
  // the new list.
  for (auto& [id, peer] : peers_) peer.dead = false;
  peers_settled_since_ = absl::InfiniteFuture();
  UpdateSettled(now);
}

void TargetLeases::OnPeerHeartbeat(const HostId& peer, Incarnation incarnation,
                                   Revision hosts_revision,
                                   Revision settled_revision,
                                   absl::Time echo_sent_at, absl::Time now) {
  newest_seen_revision_ = std::max(newest_seen_revision_, hosts_revision);
  Peer& state = peers_[peer];
  if (state.incarnation != incarnation) {
    state = {incarnation, settled_revision, absl::InfinitePast(), false};
    RestartTakeoverWait();
  } else {
    state.settled_revision = std::max(state.settled_revision, settled_revision);
    state.dead = false;
  }
  if (hosts_revision <= revision_) {
    state.confirmed_at = std::max(state.confirmed_at, echo_sent_at);
  }
  UpdateSettled(now);
}

void TargetLeases::OnPeerDead(const HostId& peer, absl::Time now) {
  Peer& state = peers_[peer];
  if (state.dead) return;
  state.dead = true;
  RestartTakeoverWait();
  UpdateSettled(now);
}

void TargetLeases::RestartTakeoverWait() {
  takeover_wait_pending_ = true;
  peers_settled_since_ = absl::InfiniteFuture();
}

void TargetLeases::OnPlatformContact(absl::Time request_sent_at) {
  platform_confirmed_at_ = std::max(platform_confirmed_at_, request_sent_at);
}

void TargetLeases::UpdateSettled(absl::Time now) {
  if (!AllPeersSettled()) {
    peers_settled_since_ = absl::InfiniteFuture();
  } else if (peers_settled_since_ == absl::InfiniteFuture()) {
    peers_settled_since_ = now;
  }
}

bool TargetLeases::AllPeersSettled() const {
  if (revision_ == 0) return false;
  return std::all_of(gates_.begin(), gates_.end(), [this](const HostId& gate) {
    if (gate == self_) return true;
    const auto found = peers_.find(gate);
    if (found == peers_.end()) return false;
    return found->second.dead || found->second.settled_revision >= revision_;
  });
}

bool TargetLeases::AllPeersDead() const {
  return std::all_of(gates_.begin(), gates_.end(), [this](const HostId& gate) {
    if (gate == self_) return true;
    const auto found = peers_.find(gate);
    return found != peers_.end() && found->second.dead;
  });
}

bool TargetLeases::Confirmed(absl::Time now) const {
  const absl::Time oldest_valid = now - options_.validity;
  if (platform_confirmed_at_ > oldest_valid) return true;
  int live_gates = 1;
  int confirming_gates = 1;
  for (const HostId& gate : gates_) {
    if (gate == self_) continue;
    const auto found = peers_.find(gate);
    if (found != peers_.end() && found->second.dead) continue;
    ++live_gates;
    const bool confirmed =
        found != peers_.end() && found->second.confirmed_at > oldest_valid;
    if (confirmed) ++confirming_gates;
  }
  return live_gates > 1 && confirming_gates * 2 > live_gates;
}

bool TargetLeases::Fenced(absl::Time now) const {
  if (newest_seen_revision_ > revision_) return true;
  return !Confirmed(now) && !AllPeersDead();
}

bool TargetLeases::ServesWithoutConfirmation(absl::Time now) const {
  return !Confirmed(now) && AllPeersDead();
}

std::vector<TargetId> TargetLeases::AcquireReady(absl::Time now) {
  std::vector<TargetId> acquired;
  if (peers_settled_since_ == absl::InfiniteFuture() || Fenced(now))
    return acquired;
  if (takeover_wait_pending_ &&
      now - peers_settled_since_ < options_.takeover_wait()) {
    return acquired;
  }
  takeover_wait_pending_ = false;
  for (const TargetId& target : assigned_) {
    if (held_.insert(target).second) acquired.push_back(target);
  }
  return acquired;
}

bool TargetLeases::Holds(const TargetId& target, absl::Time now) const {
  return held_.count(target) > 0 && !Fenced(now);
}

bool TargetLeases::TryBegin(const TargetId& target, absl::Time now) {
  if (!Holds(target, now)) return false;
  CHERRYDYKE_INVARIANT(IsAssigned(target),
                       "a gate sends only to targets assigned to it");
  ++running_[target];
  return true;
}

void TargetLeases::End(const TargetId& target) {
  const auto found = running_.find(target);
  CHERRYDYKE_INVARIANT(found != running_.end(),
                       "a request ends only after its start");
  if (--found->second == 0) running_.erase(found);
}

std::vector<TargetId> TargetLeases::AssignedTargets() const {
  return {assigned_.begin(), assigned_.end()};
}

Revision TargetLeases::settled_revision() const {
  const bool settled = std::all_of(
      running_.begin(), running_.end(),
      [this](const auto& entry) { return IsAssigned(entry.first); });
  return settled ? revision_ : 0;
}

}  // namespace cherrydyke
