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
  const std::set<HostId> gates_before = std::move(gates_);
  gates_.clear();
  std::vector<TargetId> targets;
  for (const Host& host : list.hosts) {
    if (host.failure_domain != failure_domain_) continue;
    if (host.kind == HostKind::kTarget) targets.push_back(host.id);
    if (host.kind == HostKind::kEntry && host.state == HostState::kLive) {
      gates_.insert(host.id);
    }
  }
  home_.clear();
  const std::vector<HostId> candidates(gates_.begin(), gates_.end());
  for (const TargetId& target : targets) {
    if (RendezvousWinner(target, candidates) == self_) home_.insert(target);
  }
  for (auto it = held_.begin(); it != held_.end();) {
    it = IsAssigned(*it) ? std::next(it) : held_.erase(it);
  }
  const bool dropped = !std::includes(gates_.begin(), gates_.end(),
                                      gates_before.begin(), gates_before.end());
  if (dropped) RestartTakeoverWait();
  // A proof of death is as old as the list it was found under: since then the
  // peer may have started again and taken what an older list gave it.
  for (auto& [id, peer] : peers_) peer.dead = false;
  settled_since_ = absl::InfiniteFuture();
  UpdateSettled(now);
}

void TargetLeases::OnPeerHeartbeat(const HostId& peer, Incarnation incarnation,
                                   Revision hosts_revision,
                                   Revision settled_revision,
                                   absl::Time evidence, absl::Time now) {
  newest_seen_revision_ = std::max(newest_seen_revision_, hosts_revision);
  Peer& known = peers_[peer];
  if (known.incarnation != incarnation) {
    known = {incarnation, settled_revision, absl::InfinitePast(), false};
    RestartTakeoverWait();
  } else {
    known.settled_revision = std::max(known.settled_revision, settled_revision);
    known.dead = false;
  }
  if (hosts_revision <= revision_) {
    known.confirmed_at = std::max(known.confirmed_at, evidence);
  }
  UpdateSettled(now);
}

void TargetLeases::OnPeerDead(const HostId& peer, absl::Time now) {
  Peer& known = peers_[peer];
  if (known.dead) return;
  known.dead = true;
  RestartTakeoverWait();
  UpdateSettled(now);
}

void TargetLeases::RestartTakeoverWait() {
  takeover_wait_pending_ = true;
  settled_since_ = absl::InfiniteFuture();
}

void TargetLeases::OnPlatformContact(absl::Time evidence) {
  platform_confirmed_at_ = std::max(platform_confirmed_at_, evidence);
}

void TargetLeases::UpdateSettled(absl::Time now) {
  if (!AllPeersSettled()) {
    settled_since_ = absl::InfiniteFuture();
  } else if (settled_since_ == absl::InfiniteFuture()) {
    settled_since_ = now;
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
  const absl::Time oldest = now - options_.validity;
  if (platform_confirmed_at_ > oldest) return true;
  int living = 1;
  int confirming = 1;
  for (const HostId& gate : gates_) {
    if (gate == self_) continue;
    const auto found = peers_.find(gate);
    if (found != peers_.end() && found->second.dead) continue;
    ++living;
    const bool fresh =
        found != peers_.end() && found->second.confirmed_at > oldest;
    if (fresh) ++confirming;
  }
  return living > 1 && confirming * 2 > living;
}

bool TargetLeases::Fenced(absl::Time now) const {
  if (newest_seen_revision_ > revision_) return true;
  return !Confirmed(now) && !AllPeersDead();
}

bool TargetLeases::ServesWithoutConfirmation(absl::Time now) const {
  return !Confirmed(now) && AllPeersDead();
}

std::vector<TargetId> TargetLeases::AcquireReady(absl::Time now) {
  std::vector<TargetId> taken;
  if (settled_since_ == absl::InfiniteFuture() || Fenced(now)) return taken;
  if (takeover_wait_pending_ &&
      now - settled_since_ < options_.takeover_wait()) {
    return taken;
  }
  takeover_wait_pending_ = false;
  for (const TargetId& target : home_) {
    if (held_.insert(target).second) taken.push_back(target);
  }
  return taken;
}

bool TargetLeases::Holds(const TargetId& target, absl::Time now) const {
  return held_.count(target) > 0 && !Fenced(now);
}

bool TargetLeases::TryBegin(const TargetId& target, absl::Time now) {
  if (!Holds(target, now)) return false;
  CHERRYDYKE_INVARIANT(IsAssigned(target),
                       "a gate sends only to targets of which it is the home");
  ++running_[target];
  return true;
}

void TargetLeases::End(const TargetId& target) {
  const auto found = running_.find(target);
  CHERRYDYKE_INVARIANT(found != running_.end(),
                       "a request ends only after it began");
  if (--found->second == 0) running_.erase(found);
}

std::vector<TargetId> TargetLeases::AssignedTargets() const {
  return {home_.begin(), home_.end()};
}

Revision TargetLeases::settled_revision() const {
  const bool all_home = std::all_of(
      running_.begin(), running_.end(),
      [this](const auto& entry) { return IsAssigned(entry.first); });
  return all_home ? revision_ : 0;
}

}  // namespace cherrydyke
