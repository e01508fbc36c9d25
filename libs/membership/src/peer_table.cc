#include "membership/peer_table.h"

#include <algorithm>

#include "membership/rendezvous.h"

namespace cherrydyke {
namespace {

const char* KindSuffix(DaemonKind kind) {
  return kind == DaemonKind::kEntry ? "/entry" : "/gate";
}

std::string CandidateName(const DaemonId& id) {
  return id.host + KindSuffix(id.kind);
}

}  // namespace

void PeerTable::OnHostList(const HostList& list) {
  domain_peers_.clear();
  remote_peers_.clear();
  for (const Host& host : list.hosts) {
    if (host.kind != HostKind::kEntry) continue;
    for (const DaemonKind kind : {DaemonKind::kEntry, DaemonKind::kGate}) {
      DaemonId peer{host.id, kind};
      if (peer == self_) continue;
      auto& peers = host.failure_domain == failure_domain_ ? domain_peers_
                                                           : remote_peers_;
      peers.push_back(std::move(peer));
    }
  }
  std::sort(domain_peers_.begin(), domain_peers_.end());
  for (auto it = last_heard_.begin(); it != last_heard_.end();) {
    const bool listed = list.Find(it->first.host) != nullptr;
    it = listed ? std::next(it) : last_heard_.erase(it);
  }
}

void PeerTable::OnHeartbeat(const Heartbeat& heartbeat, absl::Time now) {
  last_heard_[{heartbeat.host, heartbeat.kind}] = now;
}

bool PeerTable::IsLive(const DaemonId& peer, absl::Time now) const {
  const auto found = last_heard_.find(peer);
  return found != last_heard_.end() &&
         now - found->second < options_.liveness_timeout;
}

std::vector<DaemonId> PeerTable::LiveDomainPeers(absl::Time now) const {
  std::vector<DaemonId> live;
  for (const DaemonId& peer : domain_peers_) {
    if (IsLive(peer, now)) live.push_back(peer);
  }
  return live;
}

std::vector<DaemonId> PeerTable::LivePeers(DaemonKind kind,
                                           absl::Time now) const {
  std::vector<DaemonId> live;
  for (const auto& [peer, last_heard] : last_heard_) {
    if (peer.kind == kind && IsLive(peer, now)) live.push_back(peer);
  }
  return live;
}

bool PeerTable::ShouldWatch(absl::Time now) const {
  std::vector<std::string> candidates = {CandidateName(self_)};
  for (const DaemonId& peer : LiveDomainPeers(now)) {
    candidates.push_back(CandidateName(peer));
  }
  const std::vector<std::string> ranked =
      RankByRendezvous("platform-watch", std::move(candidates));
  const auto end = ranked.begin() + static_cast<ptrdiff_t>(std::min(
                                        options_.watchers, ranked.size()));
  return std::find(ranked.begin(), end, CandidateName(self_)) != end;
}

std::vector<DaemonId> PeerTable::HeartbeatPeers(std::mt19937_64& random) const {
  std::vector<DaemonId> recipients;
  const auto next =
      std::upper_bound(domain_peers_.begin(), domain_peers_.end(), self_);
  std::vector<DaemonId> ring(next, domain_peers_.end());
  ring.insert(ring.end(), domain_peers_.begin(), next);
  // Half of the fan-out goes to ring neighbours, the rest to random peers. In a
  // failure domain no larger than the fan-out, all peers get heartbeats.
  if (ring.size() > options_.domain_fanout) {
    const auto random_begin =
        ring.begin() + static_cast<ptrdiff_t>(options_.domain_fanout / 2);
    std::shuffle(random_begin, ring.end(), random);
    ring.resize(options_.domain_fanout);
  }
  recipients = std::move(ring);
  std::sample(remote_peers_.begin(), remote_peers_.end(),
              std::back_inserter(recipients), options_.remote_fanout, random);
  return recipients;
}

std::vector<DaemonId> PeerTable::SamplePeers(size_t limit,
                                             std::mt19937_64& random) const {
  std::vector<DaemonId> all = domain_peers_;
  all.insert(all.end(), remote_peers_.begin(), remote_peers_.end());
  std::vector<DaemonId> sample;
  std::sample(all.begin(), all.end(), std::back_inserter(sample), limit,
              random);
  return sample;
}

}  // namespace cherrydyke
