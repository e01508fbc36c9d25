#include "membership/host_table.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {

HostTable::HostTable(KnownHost self, std::vector<HostId> seeds, Options options,
                     absl::Time started)
    : self_(std::move(self)),
      options_(std::move(options)),
      started_(started),
      update_source_seen_at_(started) {
  SetSeeds(std::move(seeds));
}

void HostTable::SetSeeds(std::vector<HostId> seeds) {
  seeds.erase(std::remove(seeds.begin(), seeds.end(), self_.host), seeds.end());
  seeds_ = std::move(seeds);
}

bool HostTable::OnMembershipUpdate(const MembershipUpdate& news,
                                   absl::Time now) {
  if (news.from.host == self_.host) return false;
  first_contact_at_ = std::min(first_contact_at_, now);
  max_reported_hosts_ = std::max(max_reported_hosts_, news.known_hosts);
  const size_t known_before = peers_.size();
  Peer& sender = peers_[news.from.host];
  sender.failure_domain = news.from.failure_domain;
  sender.heard = now;
  const bool told = sender.role >= DisseminationRole::kRelay;
  if (told && news.role < DisseminationRole::kRelay)
    update_source_lost_at_ = now;
  sender.role = news.role;
  sender.said = now;
  if (news.role >= DisseminationRole::kForwarder) update_source_seen_at_ = now;
  for (const HostLastSeen& entry : news.hosts) {
    if (entry.host == self_.host || entry.age_ms < 0) continue;
    const absl::Time heard = now - absl::Milliseconds(entry.age_ms);
    Peer told;
    told.failure_domain = entry.failure_domain;
    told.heard = heard;
    Peer& peer = peers_.try_emplace(entry.host, told).first->second;
    peer.heard = std::max(peer.heard, heard);
  }
  if (peers_.size() > known_before) last_host_added_at_ = now;
  return news.known_hosts < known_hosts();
}

std::vector<HostId> HostTable::LivePeers(absl::Time now) const {
  std::vector<HostId> live;
  for (const auto& [host, peer] : peers_) {
    if (now - peer.heard <= options_.liveness_timeout) live.push_back(host);
  }
  return live;
}

bool HostTable::IsDomainPeer(const HostId& peer) const {
  return peers_.at(peer).failure_domain == self_.failure_domain;
}

std::vector<HostTable::Place> HostTable::LiveHosts(
    const FailureDomainName& domain, absl::Time now) const {
  std::vector<Place> places;
  if (domain == self_.failure_domain) places.push_back({0, self_.host});
  for (const auto& [host, peer] : peers_) {
    if (peer.failure_domain == domain &&
        now - peer.heard <= options_.domain_peer_timeout) {
      places.push_back({0, host});
    }
  }
  // A power of two changes with the number of hosts as seldom as can be.
  uint64_t groups = 1;
  while (groups * options_.group_size < places.size()) groups *= 2;
  for (Place& place : places) place.group = StableHash(place.host) % groups;
  std::sort(places.begin(), places.end());
  return places;
}

std::vector<HostTable::Place> HostTable::GroupRepresentatives(
    const std::vector<Place>& places) const {
  std::vector<Place> envoys;
  size_t of_group = 0;
  for (const Place& place : places) {
    const bool is_first = envoys.empty() || envoys.back().group != place.group;
    of_group = is_first ? 1 : of_group + 1;
    if (of_group <= options_.representatives_per_group) envoys.push_back(place);
  }
  return envoys;
}

HostTable::Place HostTable::OwnRank(const std::vector<Place>& places) const {
  return *std::find_if(places.begin(), places.end(), [&](const Place& place) {
    return place.host == self_.host;
  });
}

std::vector<HostTable::DomainPeer> HostTable::DomainPeers(
    absl::Time now) const {
  const std::vector<Place> places = LiveHosts(self_.failure_domain, now);
  const Place own = OwnRank(places);
  std::vector<DomainPeer> mates;
  for (const Place& place : places) {
    if (place == own) continue;
    mates.push_back(
        {&peers_.at(place.host), place < own, place.group == own.group});
  }
  return mates;
}

bool HostTable::Says(const Peer& peer, DisseminationRole role,
                     absl::Duration silence, absl::Time now) {
  return peer.role == role && now - peer.said <= silence;
}

bool HostTable::HasDomainReader(absl::Time now) const {
  const std::vector<DomainPeer> mates = DomainPeers(now);
  return std::any_of(mates.begin(), mates.end(), [&](const DomainPeer& mate) {
    return Says(*mate.peer, DisseminationRole::kReader, options_.reader_timeout,
                now);
  });
}

bool HostTable::HasGroupSource(const std::vector<DomainPeer>& mates,
                               absl::Time now) const {
  const absl::Duration silence = options_.reader_timeout;
  return std::any_of(mates.begin(), mates.end(), [&](const DomainPeer& mate) {
    return mate.is_earlier && mate.is_same_group &&
           (Says(*mate.peer, DisseminationRole::kReader, silence, now) ||
            Says(*mate.peer, DisseminationRole::kRelay, silence, now));
  });
}

bool HostTable::HasReaderInOtherGroup(const std::vector<DomainPeer>& mates,
                                      bool only_earlier, absl::Time now) const {
  const absl::Duration patience =
      options_.reader_timeout + options_.takeover_grace;
  return std::any_of(mates.begin(), mates.end(), [&](const DomainPeer& mate) {
    return !mate.is_same_group && (mate.is_earlier || !only_earlier) &&
           Says(*mate.peer, DisseminationRole::kReader, patience, now);
  });
}

bool HostTable::HasReaderInOtherDomain(absl::Time now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.failure_domain != self_.failure_domain &&
           Says(peer, DisseminationRole::kReader, options_.reader_timeout, now);
  });
}

bool HostTable::ShouldStandBy(const std::vector<DomainPeer>& mates,
                              absl::Time now) const {
  const absl::Duration silence = options_.reader_timeout;
  int trying = 0;
  for (const DomainPeer& mate : mates) {
    if (!mate.is_earlier) continue;
    if (mate.is_same_group &&
        Says(*mate.peer, DisseminationRole::kStandby, silence, now)) {
      return true;
    }
    if (Says(*mate.peer, DisseminationRole::kRetryingReader, silence, now) ||
        Says(*mate.peer, DisseminationRole::kForwarder, silence, now)) {
      ++trying;
    }
  }
  return trying >= options_.candidates &&
         now - update_source_seen_at_ <= options_.max_standby_time;
}

bool HostTable::ShouldRead(bool is_blank, absl::Time now) const {
  return ShouldRead(DomainPeers(now), is_blank, now);
}

bool HostTable::ShouldRead(const std::vector<DomainPeer>& mates, bool is_blank,
                           absl::Time now) const {
  const bool is_new = now - started_ < options_.reader_discovery_time;
  if (is_new && !is_blank && !seeds_.empty()) return false;
  if (HasGroupSource(mates, now) || HasReaderInOtherGroup(mates, true, now))
    return is_blank;
  const auto earlier = static_cast<int>(
      std::count_if(mates.begin(), mates.end(), [](const DomainPeer& mate) {
        return mate.is_earlier && mate.is_same_group;
      }));
  const int steps = std::min(earlier, options_.max_takeover_steps);
  if (now - update_source_lost_at_ < steps * options_.takeover_step)
    return is_blank;
  return !ShouldStandBy(mates, now);
}

DisseminationRole HostTable::Role(bool reads, absl::Time now) const {
  if (reads) return DisseminationRole::kReader;
  const std::vector<DomainPeer> mates = DomainPeers(now);
  if (HasGroupSource(mates, now)) return DisseminationRole::kFollower;
  if (HasReaderInOtherGroup(mates, false, now))
    return DisseminationRole::kRelay;
  if (ShouldRead(mates, false, now)) {
    return HasReaderInOtherDomain(now) ? DisseminationRole::kForwarder
                                       : DisseminationRole::kRetryingReader;
  }
  return ShouldStandBy(mates, now) ? DisseminationRole::kStandby
                                   : DisseminationRole::kFollower;
}

std::vector<HostId> HostTable::Recipients(DisseminationRole role,
                                          absl::Time now) const {
  std::vector<HostId> audience;
  if (role == DisseminationRole::kFollower) return audience;
  const std::vector<Place> places = LiveHosts(self_.failure_domain, now);
  const Place own = OwnRank(places);
  for (const Place& place : places) {
    if (place.group == own.group && !(place == own)) {
      audience.push_back(place.host);
    }
  }
  if (role == DisseminationRole::kRelay || role == DisseminationRole::kStandby)
    return audience;
  for (const Place& envoy : GroupRepresentatives(places)) {
    if (envoy.group != own.group) audience.push_back(envoy.host);
  }
  if (role != DisseminationRole::kReader) return audience;
  for (const FailureDomainName& domain : options_.domains) {
    if (domain == self_.failure_domain) continue;
    // The first of all are those who read there.
    const std::vector<Place> others = LiveHosts(domain, now);
    const size_t count =
        std::min(others.size(), options_.representatives_per_group);
    for (size_t i = 0; i < count; ++i) audience.push_back(others[i].host);
  }
  return audience;
}

bool HostTable::ShouldSendDigest(int round, absl::Time now) const {
  return now - started_ < options_.bootstrap_time ||
         now - last_host_added_at_ < options_.change_dissemination_time ||
         round % options_.rounds_per_digest == 0;
}

std::vector<HostId> HostTable::GossipPeers(absl::Time now,
                                           std::mt19937_64& random) const {
  std::vector<HostId> targets = LivePeers(now);
  std::shuffle(targets.begin(), targets.end(), random);
  // One of them stands near: who reads for whom rests on hosts that know their
  // own failure domain well.
  const auto mate =
      std::find_if(targets.begin(), targets.end(),
                   [&](const HostId& host) { return IsDomainPeer(host); });
  if (mate != targets.end()) std::iter_swap(targets.begin(), mate);
  if (targets.size() > options_.fanout) targets.resize(options_.fanout);
  // A seed each round joins parts of the fleet that lost each other.
  if (!seeds_.empty()) {
    const HostId& seed = seeds_[random() % seeds_.size()];
    if (std::find(targets.begin(), targets.end(), seed) == targets.end()) {
      targets.push_back(seed);
    }
  }
  return targets;
}

std::vector<HostId> HostTable::SampleDomainPeers(
    size_t limit, absl::Time now, std::mt19937_64& random) const {
  std::vector<HostId> mates = LivePeers(now);
  mates.erase(
      std::remove_if(mates.begin(), mates.end(),
                     [&](const HostId& host) { return !IsDomainPeer(host); }),
      mates.end());
  std::shuffle(mates.begin(), mates.end(), random);
  if (mates.size() > limit) mates.resize(limit);
  return mates;
}

std::vector<HostLastSeen> HostTable::BuildDigest(
    absl::Time now, std::mt19937_64& random) const {
  std::vector<HostLastSeen> mates;
  std::vector<HostLastSeen> others;
  for (const auto& [host, peer] : peers_) {
    const bool is_mate = peer.failure_domain == self_.failure_domain;
    (is_mate ? mates : others)
        .push_back({host, peer.failure_domain,
                    absl::ToInt64Milliseconds(now - peer.heard)});
  }
  std::shuffle(mates.begin(), mates.end(), random);
  std::shuffle(others.begin(), others.end(), random);
  const size_t most =
      options_.digest_remote_hosts + options_.digest_domain_hosts;
  const size_t room = most - std::min(most, others.size());
  mates.resize(
      std::min(mates.size(), std::max(options_.digest_domain_hosts, room)));
  others.resize(std::min(others.size(), most - mates.size()));
  mates.insert(mates.end(), others.begin(), others.end());
  return mates;
}

int HostTable::FleetSizeUpperBound(absl::Time now) const {
  const int most = std::max(known_hosts() + UnreachableHostsEstimate(now),
                            max_reported_hosts_);
  return HasConverged(now) ? most : std::max(most, options_.initial_hosts);
}

bool HostTable::HasConverged(absl::Time now) const {
  const bool heard = first_contact_at_ != absl::InfiniteFuture();
  if (!heard && !seeds_.empty()) return false;
  return now - (heard ? first_contact_at_ : started_) >=
         options_.convergence_time;
}

int HostTable::UnreachableHostsEstimate(absl::Time now) const {
  struct Domain {
    int hosts = 0;
    absl::Time heard = absl::InfinitePast();
  };
  std::map<FailureDomainName, Domain> domains;
  domains[self_.failure_domain] = {1, now};
  int most = 1;
  for (const auto& [host, peer] : peers_) {
    Domain& domain = domains[peer.failure_domain];
    domain.heard = std::max(domain.heard, peer.heard);
    most = std::max(most, ++domain.hosts);
  }
  int unheard = 0;
  for (const FailureDomainName& name : options_.domains) {
    const Domain& domain = domains[name];
    // A host that started just before a cut knows some of those beyond it.
    if (now - domain.heard > options_.domain_timeout) {
      unheard += most - domain.hosts;
    }
  }
  return unheard;
}

std::vector<KnownHost> HostTable::KnownHosts() const {
  std::vector<KnownHost> hosts = {self_};
  for (const auto& [host, peer] : peers_) {
    hosts.push_back({host, peer.failure_domain});
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

}  // namespace cherrydyke
