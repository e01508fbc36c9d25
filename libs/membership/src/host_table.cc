#include "membership/host_table.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {

HostTable::HostTable(KnownHost self, std::vector<HostId> seeds, Options options,
                     absl::Time started)
    : self_(std::move(self)), options_(std::move(options)), started_(started) {
  SetSeeds(std::move(seeds));
}

void HostTable::SetSeeds(std::vector<HostId> seeds) {
  seeds.erase(std::remove(seeds.begin(), seeds.end(), self_.host), seeds.end());
  seeds_ = std::move(seeds);
}

bool HostTable::OnNews(const HostNews& news, absl::Time now) {
  if (news.from.host == self_.host) return false;
  first_heard_ = std::min(first_heard_, now);
  told_hosts_ = std::max(told_hosts_, news.known_hosts);
  const size_t known_before = peers_.size();
  Peer& sender = peers_[news.from.host];
  sender.failure_domain = news.from.failure_domain;
  sender.heard = now;
  sender.read = news.reads ? now : absl::InfinitePast();
  for (const HostAge& entry : news.hosts) {
    if (entry.host == self_.host || entry.age_ms < 0) continue;
    const absl::Time heard = now - absl::Milliseconds(entry.age_ms);
    auto [known, added] =
        peers_.try_emplace(entry.host, Peer{entry.failure_domain, heard, {}});
    if (added) known->second.read = absl::InfinitePast();
    known->second.heard = std::max(known->second.heard, heard);
  }
  if (peers_.size() > known_before) last_added_ = now;
  return news.known_hosts < known_hosts();
}

std::vector<HostId> HostTable::LivePeers(absl::Time now) const {
  std::vector<HostId> live;
  for (const auto& [host, peer] : peers_) {
    if (now - peer.heard <= options_.silence_limit) live.push_back(host);
  }
  return live;
}

std::vector<HostId> HostTable::Group(absl::Time now) const {
  std::vector<HostId> hosts = {self_.host};
  for (const auto& [host, peer] : peers_) {
    if (peer.failure_domain == self_.failure_domain &&
        now - peer.heard <= options_.silence_limit) {
      hosts.push_back(host);
    }
  }
  std::sort(hosts.begin(), hosts.end());
  const auto self = std::find(hosts.begin(), hosts.end(), self_.host);
  const size_t index = static_cast<size_t>(self - hosts.begin());
  const size_t begin = index / options_.group_size * options_.group_size;
  const size_t end = std::min(begin + options_.group_size, hosts.size());
  return {hosts.begin() + static_cast<std::ptrdiff_t>(begin),
          hosts.begin() + static_cast<std::ptrdiff_t>(end)};
}

bool HostTable::ShouldRead(absl::Time now) const {
  for (const HostId& host : Group(now)) {
    if (host == self_.host) return true;
    if (now - peers_.at(host).read <= options_.reader_silence) return false;
  }
  return true;
}

bool HostTable::ShouldNameHosts(int round, absl::Time now) const {
  return now - started_ < options_.introduction_time ||
         now - last_added_ < options_.rumour_time ||
         round % options_.rounds_per_naming == 0;
}

std::vector<HostId> HostTable::GossipTargets(absl::Time now,
                                             std::mt19937_64& random) const {
  std::vector<HostId> targets = LivePeers(now);
  std::shuffle(targets.begin(), targets.end(), random);
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

std::vector<HostId> HostTable::GroupPeers(absl::Time now) const {
  std::vector<HostId> peers = Group(now);
  peers.erase(std::remove(peers.begin(), peers.end(), self_.host), peers.end());
  return peers;
}

std::vector<HostAge> HostTable::Ages(absl::Time now,
                                     std::mt19937_64& random) const {
  std::vector<HostAge> ages;
  for (const auto& [host, peer] : peers_) {
    ages.push_back({host, peer.failure_domain,
                    absl::ToInt64Milliseconds(now - peer.heard)});
  }
  std::shuffle(ages.begin(), ages.end(), random);
  if (ages.size() > options_.named_hosts) ages.resize(options_.named_hosts);
  return ages;
}

int HostTable::SharingHosts(absl::Time now) const {
  const int most = std::max(known_hosts() + UnheardHosts(now), told_hosts_);
  return IsSettled(now) ? most : std::max(most, options_.initial_hosts);
}

bool HostTable::IsSettled(absl::Time now) const {
  const bool heard = first_heard_ != absl::InfiniteFuture();
  if (!heard && !seeds_.empty()) return false;
  return now - (heard ? first_heard_ : started_) >= options_.settle_time;
}

int HostTable::UnheardHosts(absl::Time now) const {
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
    if (now - domain.heard > options_.domain_silence) {
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
