#include "membership/host_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cherrydyke {
namespace {

/// Seeds per gossip round of a host that knows no live peer.
constexpr size_t kBootstrapSeeds = 3;

}  // namespace

const char* ToString(DisseminationRole role) {
  switch (role) {
    case DisseminationRole::kFollower:
      return "follower";
    case DisseminationRole::kStandby:
      return "standby";
    case DisseminationRole::kRetryingReader:
      return "retrying_reader";
    case DisseminationRole::kForwarder:
      return "forwarder";
    case DisseminationRole::kRelay:
      return "relay";
    case DisseminationRole::kReader:
      return "reader";
  }
  return "unknown";
}

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

bool HostTable::OnMembershipUpdate(const MembershipUpdate& update,
                                   absl::Time now) {
  if (update.from.host == self_.host) return false;
  first_contact_at_ = std::min(first_contact_at_, now);
  max_reported_hosts_ = std::max(max_reported_hosts_, update.known_hosts);
  const size_t known_before = peers_.size();
  Peer& sender = peers_[update.from.host];
  sender.failure_domain = update.from.failure_domain;
  sender.last_seen = now;
  const bool was_source = sender.role >= DisseminationRole::kRelay;
  if (was_source && update.role < DisseminationRole::kRelay)
    update_source_lost_at_ = now;
  sender.role = update.role;
  sender.last_message = now;
  last_message_at_ = now;
  if (update.role >= DisseminationRole::kForwarder)
    update_source_seen_at_ = now;
  for (const HostLastSeen& entry : update.hosts) {
    if (entry.host == self_.host)
      known_to_peer_at_ = std::min(known_to_peer_at_, now);
    if (entry.host == self_.host || entry.age_ms < 0) continue;
    const absl::Time last_seen = now - absl::Milliseconds(entry.age_ms);
    Peer reported;
    reported.failure_domain = entry.failure_domain;
    reported.last_seen = last_seen;
    Peer& peer = peers_.try_emplace(entry.host, reported).first->second;
    peer.last_seen = std::max(peer.last_seen, last_seen);
  }
  if (peers_.size() > known_before) last_host_added_at_ = now;
  return update.known_hosts < known_hosts();
}

std::vector<HostId> HostTable::LivePeers(absl::Time now) const {
  std::vector<HostId> live;
  for (const auto& [host, peer] : peers_) {
    if (now - peer.last_seen <= options_.liveness_timeout) live.push_back(host);
  }
  return live;
}

std::vector<KnownHost> HostTable::LiveHosts(absl::Time now) const {
  std::vector<KnownHost> live;
  for (const HostId& host : LivePeers(now)) {
    live.push_back({host, peers_.at(host).failure_domain});
  }
  return live;
}

bool HostTable::IsDomainPeer(const HostId& peer) const {
  return peers_.at(peer).failure_domain == self_.failure_domain;
}

std::vector<HostTable::ReaderRank> HostTable::LiveHosts(
    const FailureDomainName& domain, absl::Time now) const {
  std::vector<ReaderRank> ranks;
  if (domain == self_.failure_domain) ranks.push_back({0, self_.host});
  for (const auto& [host, peer] : peers_) {
    if (peer.failure_domain == domain &&
        now - peer.last_seen <= options_.domain_peer_timeout) {
      ranks.push_back({0, host});
    }
  }
  // With a power of two, the number of groups changes only when the number of
  // hosts exceeds, or falls below, group_size times a power of two.
  uint64_t groups = 1;
  while (groups * options_.group_size < ranks.size()) groups *= 2;
  for (ReaderRank& rank : ranks) rank.group = StableHash(rank.host) % groups;
  std::sort(ranks.begin(), ranks.end());
  return ranks;
}

std::vector<HostTable::ReaderRank> HostTable::GroupRepresentatives(
    const std::vector<ReaderRank>& ranks) const {
  std::vector<ReaderRank> representatives;
  size_t count_in_group = 0;
  for (const ReaderRank& rank : ranks) {
    const bool is_first =
        representatives.empty() || representatives.back().group != rank.group;
    count_in_group = is_first ? 1 : count_in_group + 1;
    if (count_in_group <= options_.representatives_per_group)
      representatives.push_back(rank);
  }
  return representatives;
}

HostTable::ReaderRank HostTable::OwnRank(
    const std::vector<ReaderRank>& ranks) const {
  return *std::find_if(ranks.begin(), ranks.end(), [&](const ReaderRank& rank) {
    return rank.host == self_.host;
  });
}

std::vector<HostTable::DomainPeer> HostTable::DomainPeers(
    absl::Time now) const {
  const std::vector<ReaderRank> ranks = LiveHosts(self_.failure_domain, now);
  const ReaderRank own = OwnRank(ranks);
  std::vector<DomainPeer> peers;
  for (const ReaderRank& rank : ranks) {
    if (rank == own) continue;
    peers.push_back({rank.host, &peers_.at(rank.host), rank < own,
                     rank.group == own.group});
  }
  return peers;
}

bool HostTable::HasRecentRole(const Peer& peer, DisseminationRole role,
                              absl::Duration timeout, absl::Time now) {
  return peer.role == role && now - peer.last_message <= timeout;
}

bool HostTable::HasDomainReader(absl::Time now) const {
  const std::vector<DomainPeer> peers = DomainPeers(now);
  return std::any_of(peers.begin(), peers.end(), [&](const DomainPeer& peer) {
    return HasRecentRole(*peer.peer, DisseminationRole::kReader,
                         options_.reader_timeout, now);
  });
}

bool HostTable::IsGroupSource(const DomainPeer& peer, absl::Time now) const {
  const absl::Duration timeout = options_.reader_timeout;
  return peer.is_earlier && peer.is_same_group &&
         (HasRecentRole(*peer.peer, DisseminationRole::kReader, timeout, now) ||
          HasRecentRole(*peer.peer, DisseminationRole::kRelay, timeout, now));
}

bool HostTable::HasGroupSource(const std::vector<DomainPeer>& peers,
                               absl::Time now) const {
  return std::any_of(peers.begin(), peers.end(), [&](const DomainPeer& peer) {
    return IsGroupSource(peer, now);
  });
}

bool HostTable::IsReaderInOtherGroup(const DomainPeer& peer, bool only_earlier,
                                     absl::Time now) const {
  const absl::Duration timeout =
      options_.reader_timeout + options_.takeover_grace;
  return !peer.is_same_group && (peer.is_earlier || !only_earlier) &&
         HasRecentRole(*peer.peer, DisseminationRole::kReader, timeout, now);
}

bool HostTable::HasReaderInOtherGroup(const std::vector<DomainPeer>& peers,
                                      bool only_earlier, absl::Time now) const {
  return std::any_of(peers.begin(), peers.end(), [&](const DomainPeer& peer) {
    return IsReaderInOtherGroup(peer, only_earlier, now);
  });
}

std::optional<UpdateSource> HostTable::FindUpdateSource(absl::Time now) const {
  const std::vector<DomainPeer> peers = DomainPeers(now);
  const auto source =
      std::find_if(peers.begin(), peers.end(), [&](const DomainPeer& peer) {
        return IsGroupSource(peer, now) ||
               IsReaderInOtherGroup(peer, true, now);
      });
  if (source == peers.end()) return std::nullopt;
  return UpdateSource{source->host, source->peer->role,
                      now - source->peer->last_message};
}

bool HostTable::HasReaderInOtherDomain(absl::Time now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.failure_domain != self_.failure_domain &&
           HasRecentRole(peer, DisseminationRole::kReader,
                         options_.reader_timeout, now);
  });
}

bool HostTable::ShouldStandBy(const std::vector<DomainPeer>& peers,
                              absl::Time now) const {
  const absl::Duration timeout = options_.reader_timeout;
  int retrying = 0;
  for (const DomainPeer& peer : peers) {
    if (!peer.is_earlier) continue;
    if (peer.is_same_group &&
        HasRecentRole(*peer.peer, DisseminationRole::kStandby, timeout, now)) {
      return true;
    }
    if (HasRecentRole(*peer.peer, DisseminationRole::kRetryingReader, timeout,
                      now) ||
        HasRecentRole(*peer.peer, DisseminationRole::kForwarder, timeout,
                      now)) {
      ++retrying;
    }
  }
  return retrying >= options_.max_retrying_readers &&
         now - update_source_seen_at_ <= options_.max_standby_time;
}

FleetPlace HostTable::Place(absl::Time now) const {
  std::map<FailureDomainName, absl::Time> last_seen;
  for (const FailureDomainName& domain : options_.domains)
    last_seen[domain] = absl::InfinitePast();
  for (const auto& [host, peer] : peers_) {
    absl::Time& seen = last_seen[peer.failure_domain];
    seen = std::max(seen, peer.last_seen);
  }
  last_seen[self_.failure_domain] = now;
  const auto is_counted = [&](const Peer& peer) {
    const absl::Time seen = last_seen.at(peer.failure_domain);
    const bool is_domain_live = now - seen <= options_.liveness_timeout;
    return (is_domain_live ? now : seen) - peer.last_seen <=
           options_.liveness_timeout;
  };
  FleetPlace place;
  place.failure_domains = last_seen.size();
  for (const auto& [host, peer] : peers_) {
    if (is_counted(peer)) ++place.hosts;
  }
  const std::vector<DomainPeer> domain_peers = DomainPeers(now);
  place.domain_rank = static_cast<size_t>(std::count_if(
      domain_peers.begin(), domain_peers.end(), [&](const DomainPeer& other) {
        return other.is_earlier && is_counted(*other.peer);
      }));
  return place;
}

bool HostTable::ReadsAlways(absl::Time now) const {
  return now - started_ >= options_.convergence_time &&
         options_.reader_allowance.Covers(Place(now));
}

bool HostTable::ShouldRead(bool has_no_data, absl::Time now) const {
  return ShouldRead(DomainPeers(now), has_no_data, now);
}

bool HostTable::ShouldRead(const std::vector<DomainPeer>& peers,
                           bool has_no_data, absl::Time now) const {
  const bool is_new = now - started_ < options_.reader_discovery_time;
  if (is_new && !has_no_data && !seeds_.empty()) return false;
  if (ReadsAlways(now)) return true;
  if (HasGroupSource(peers, now) || HasReaderInOtherGroup(peers, true, now))
    return has_no_data;
  const auto earlier = static_cast<int>(
      std::count_if(peers.begin(), peers.end(), [](const DomainPeer& peer) {
        return peer.is_earlier && peer.is_same_group;
      }));
  const int steps = std::min(earlier, options_.max_takeover_steps);
  if (now - update_source_lost_at_ < steps * options_.takeover_step)
    return has_no_data;
  return !ShouldStandBy(peers, now);
}

DisseminationRole HostTable::Role(bool is_reading, absl::Time now) const {
  if (is_reading) return DisseminationRole::kReader;
  const std::vector<DomainPeer> peers = DomainPeers(now);
  if (HasGroupSource(peers, now)) return DisseminationRole::kFollower;
  if (HasReaderInOtherGroup(peers, false, now))
    return DisseminationRole::kRelay;
  if (ShouldRead(peers, false, now)) {
    return HasReaderInOtherDomain(now) ? DisseminationRole::kForwarder
                                       : DisseminationRole::kRetryingReader;
  }
  return ShouldStandBy(peers, now) ? DisseminationRole::kStandby
                                   : DisseminationRole::kFollower;
}

std::vector<HostId> HostTable::Recipients(DisseminationRole role,
                                          absl::Time now) const {
  std::vector<HostId> recipients;
  if (role == DisseminationRole::kFollower) return recipients;
  const std::vector<ReaderRank> ranks = LiveHosts(self_.failure_domain, now);
  const ReaderRank own = OwnRank(ranks);
  for (const ReaderRank& rank : ranks) {
    if (rank.group == own.group && !(rank == own)) {
      recipients.push_back(rank.host);
    }
  }
  if (role == DisseminationRole::kRelay || role == DisseminationRole::kStandby)
    return recipients;
  for (const ReaderRank& representative : GroupRepresentatives(ranks)) {
    if (representative.group != own.group)
      recipients.push_back(representative.host);
  }
  if (role != DisseminationRole::kReader) return recipients;
  for (const FailureDomainName& domain : options_.domains) {
    if (domain == self_.failure_domain) continue;
    // The first hosts in the order are the likely readers of that domain.
    const std::vector<ReaderRank> others = LiveHosts(domain, now);
    const size_t count =
        std::min(others.size(), options_.representatives_per_group);
    for (size_t i = 0; i < count; ++i) recipients.push_back(others[i].host);
  }
  return recipients;
}

bool HostTable::ShouldSendDigest(int round, absl::Time now) const {
  return now - started_ < options_.bootstrap_time ||
         now - last_host_added_at_ < options_.change_dissemination_time ||
         round % options_.rounds_per_digest == 0;
}

std::vector<HostId> HostTable::GossipPeers(absl::Time now,
                                           std::mt19937_64& random) const {
  std::vector<HostId> peers = LivePeers(now);
  if (peers.empty()) {
    // A host that has just started needs the configuration before it can serve.
    // Some seeds may be down, and the nearest one answers first.
    std::vector<HostId> seeds;
    std::sample(seeds_.begin(), seeds_.end(), std::back_inserter(seeds),
                kBootstrapSeeds, random);
    return seeds;
  }
  std::shuffle(peers.begin(), peers.end(), random);
  // One of them is in the own failure domain, if any peer there is live: the
  // choice of readers and relays relies on hosts knowing their own domain well.
  const auto domain_peer =
      std::find_if(peers.begin(), peers.end(),
                   [&](const HostId& host) { return IsDomainPeer(host); });
  if (domain_peer != peers.end()) std::iter_swap(peers.begin(), domain_peer);
  if (peers.size() > options_.fanout) peers.resize(options_.fanout);
  // One seed per round merges parts of the fleet that a partition separated.
  if (!seeds_.empty()) {
    const HostId& seed = seeds_[random() % seeds_.size()];
    if (std::find(peers.begin(), peers.end(), seed) == peers.end()) {
      peers.push_back(seed);
    }
  }
  return peers;
}

std::vector<HostId> HostTable::SampleDomainPeers(
    size_t limit, absl::Time now, std::mt19937_64& random) const {
  std::vector<HostId> peers = LivePeers(now);
  peers.erase(
      std::remove_if(peers.begin(), peers.end(),
                     [&](const HostId& host) { return !IsDomainPeer(host); }),
      peers.end());
  std::shuffle(peers.begin(), peers.end(), random);
  if (peers.size() > limit) peers.resize(limit);
  return peers;
}

std::vector<HostLastSeen> HostTable::BuildDigest(
    absl::Time now, std::mt19937_64& random) const {
  std::vector<HostLastSeen> domain_peers;
  std::vector<HostLastSeen> others;
  for (const auto& [host, peer] : peers_) {
    const bool is_domain_peer = peer.failure_domain == self_.failure_domain;
    (is_domain_peer ? domain_peers : others)
        .push_back({host, peer.failure_domain,
                    absl::ToInt64Milliseconds(now - peer.last_seen)});
  }
  std::shuffle(domain_peers.begin(), domain_peers.end(), random);
  std::shuffle(others.begin(), others.end(), random);
  const size_t max_entries =
      options_.digest_remote_hosts + options_.digest_domain_hosts;
  const size_t domain_room = max_entries - std::min(max_entries, others.size());
  domain_peers.resize(
      std::min(domain_peers.size(),
               std::max(options_.digest_domain_hosts, domain_room)));
  others.resize(std::min(others.size(), max_entries - domain_peers.size()));
  domain_peers.insert(domain_peers.end(), others.begin(), others.end());
  return domain_peers;
}

int HostTable::FleetSizeUpperBound(absl::Time now) const {
  const int upper_bound = std::max(
      known_hosts() + UnreachableHostsEstimate(now), max_reported_hosts_);
  return HasConverged(now) ? upper_bound
                           : std::max(upper_bound, options_.initial_hosts);
}

bool HostTable::HasConverged(absl::Time now) const {
  const bool has_contact = first_contact_at_ != absl::InfiniteFuture();
  if (!has_contact && !seeds_.empty()) return false;
  // The peers of a host that hears and is not heard divide limits without it.
  return now - (has_contact ? known_to_peer_at_ : started_) >=
         options_.convergence_time;
}

int HostTable::UnreachableHostsEstimate(absl::Time now) const {
  struct Domain {
    int hosts = 0;
    absl::Time last_seen = absl::InfinitePast();
  };
  std::map<FailureDomainName, Domain> domains;
  domains[self_.failure_domain] = {1, now};
  int largest_domain = 1;
  for (const auto& [host, peer] : peers_) {
    Domain& domain = domains[peer.failure_domain];
    domain.last_seen = std::max(domain.last_seen, peer.last_seen);
    largest_domain = std::max(largest_domain, ++domain.hosts);
  }
  int unreachable = 0;
  for (const FailureDomainName& name : options_.domains) {
    const Domain& domain = domains[name];
    // A host that started just before a partition knows some of the hosts on
    // the other side; only the rest are added.
    if (now - domain.last_seen > options_.domain_timeout) {
      unreachable += largest_domain - domain.hosts;
    }
  }
  return unreachable;
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
