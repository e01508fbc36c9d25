#include "membership/host_table.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {

HostTable::HostTable(HostId self, std::vector<HostId> seeds, Options options)
    : self_(std::move(self)), options_(options) {
  SetSeeds(std::move(seeds));
}

void HostTable::SetSeeds(std::vector<HostId> seeds) {
  seeds.erase(std::remove(seeds.begin(), seeds.end(), self_), seeds.end());
  seeds_ = std::move(seeds);
}

void HostTable::OnGossip(const HostId& from, const std::vector<HostAge>& hosts,
                         int known_hosts, absl::Time now) {
  if (from == self_) return;
  first_heard_ = std::min(first_heard_, now);
  heard_[from] = now;
  told_hosts_ = std::max(told_hosts_, known_hosts);
  for (const HostAge& entry : hosts) {
    if (entry.host == self_ || entry.age_ms < 0) continue;
    const absl::Time heard = now - absl::Milliseconds(entry.age_ms);
    auto [known, added] = heard_.try_emplace(entry.host, heard);
    known->second = std::max(known->second, heard);
  }
}

std::vector<HostId> HostTable::LivePeers(absl::Time now) const {
  std::vector<HostId> live;
  for (const auto& [host, heard] : heard_) {
    if (now - heard <= options_.silence_limit) live.push_back(host);
  }
  return live;
}

std::vector<HostId> HostTable::GossipTargets(absl::Time now,
                                             std::mt19937_64& random) {
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

std::vector<HostAge> HostTable::Ages(absl::Time now,
                                     std::mt19937_64& random) const {
  std::vector<HostAge> ages;
  for (const auto& [host, heard] : heard_) {
    ages.push_back({host, absl::ToInt64Milliseconds(now - heard)});
  }
  std::shuffle(ages.begin(), ages.end(), random);
  if (ages.size() > options_.named_hosts) ages.resize(options_.named_hosts);
  return ages;
}

int HostTable::SharingHosts(absl::Time now) const {
  const int known = static_cast<int>(heard_.size()) + 1;
  const int most = std::max(known, told_hosts_);
  const bool settled = now - first_heard_ >= options_.settle_time;
  return settled ? most : std::max(most, options_.initial_hosts);
}

std::vector<HostId> HostTable::KnownHosts() const {
  std::vector<HostId> hosts = {self_};
  for (const auto& [host, heard] : heard_) hosts.push_back(host);
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

}  // namespace cherrydyke
