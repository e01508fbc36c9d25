#include "membership/fleet_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/rendezvous.h"

namespace cherrydyke {

int DivideShare(double limit, int hosts, size_t rank) {
  const int total = static_cast<int>(std::floor(limit));
  const int quotient = total / hosts;
  const int remainder = total % hosts;
  return rank < static_cast<size_t>(remainder) ? quotient + 1 : quotient;
}

FleetShares::FleetShares(Locality locality, const HostTable& hosts)
    : locality_(std::move(locality)),
      own_hash_(StableHash(locality_.host)),
      hosts_(hosts) {}

size_t FleetShares::DomainIndex(const FailureDomainName& domain) {
  const auto found = std::find(domains_.begin(), domains_.end(), domain);
  const auto index = static_cast<size_t>(found - domains_.begin());
  if (found == domains_.end()) {
    domains_.push_back(domain);
    domain_sizes_.push_back(0);
  }
  return index;
}

void FleetShares::Refresh(absl::Time now) {
  fleet_size_ = hosts_.FleetSizeUpperBound(now);
  const std::vector<KnownHost> known = hosts_.KnownHosts();
  const bool has_moved =
      std::any_of(known.begin(), known.end(), [&](const KnownHost& host) {
        const auto previous = host_domains_.find(host.host);
        return previous != host_domains_.end() &&
               previous->second != host.failure_domain;
      });
  if (has_moved) {
    members_.clear();
    std::fill(domain_sizes_.begin(), domain_sizes_.end(), 0);
    host_domains_.clear();
    ++order_generation_;
  }
  for (const KnownHost& host : known) {
    if (host.host == locality_.host) continue;
    if (!host_domains_.try_emplace(host.host, host.failure_domain).second)
      continue;
    const size_t domain = DomainIndex(host.failure_domain);
    members_.push_back({domain, StableHash(host.host)});
    ++domain_sizes_[domain];
  }
}

int FleetShares::ShareOf(double limit, const FleetRank& rank) const {
  return DivideShare(limit, fleet_size_, rank.preceding_hosts);
}

size_t FleetShares::WorstCaseRank(const FleetRank& rank) const {
  const int known = static_cast<int>(members_.size()) + 1;
  return rank.preceding_hosts +
         static_cast<size_t>(std::max(0, fleet_size_ - known));
}

int FleetShares::StrictShareOf(double limit, const FleetRank& rank) const {
  return DivideShare(limit, fleet_size_, WorstCaseRank(rank));
}

std::vector<double> FleetShares::CountNearestHosts(
    const std::vector<BorrowCandidate>& targets) const {
  std::vector<double> hosts(targets.size(), 0);
  const auto add = [&](const FailureDomainName& domain, int count) {
    std::vector<size_t> nearest;
    Distance min_distance = Distance::kOtherRegion;
    for (size_t index = 0; index < targets.size(); ++index) {
      const Distance distance =
          locality_.DistanceBetween(domain, targets[index].failure_domain);
      if (distance > min_distance) continue;
      if (distance < min_distance) nearest.clear();
      min_distance = distance;
      nearest.push_back(index);
    }
    for (const size_t index : nearest) {
      hosts[index] +=
          static_cast<double>(count) / static_cast<double>(nearest.size());
    }
  };
  for (size_t domain = 0; domain < domains_.size(); ++domain) {
    add(domains_[domain], domain_sizes_[domain]);
  }
  add(locality_.failure_domain, 1);
  // Assumed hosts that are not known may be nearest to any target.
  const int known = static_cast<int>(members_.size()) + 1;
  for (double& count : hosts) count += std::max(0, fleet_size_ - known);
  return hosts;
}

std::optional<size_t> FleetShares::ChooseBorrowTarget(
    const std::vector<BorrowCandidate>& targets, double connections) const {
  const std::vector<double> hosts = CountNearestHosts(targets);
  std::optional<size_t> best;
  std::pair<Distance, uint64_t> best_key;
  for (size_t index = 0; index < targets.size(); ++index) {
    const BorrowCandidate& candidate = targets[index];
    if (!candidate.is_wanted || hosts[index] > connections) continue;
    // Complemented, so that the highest weight sorts first.
    const std::pair<Distance, uint64_t> key = {
        locality_.DistanceBetween(locality_.failure_domain,
                                  candidate.failure_domain),
        ~RendezvousWeight(StableHash(candidate.target), own_hash_)};
    if (best && best_key <= key) continue;
    best = index;
    best_key = key;
  }
  return best;
}

void FleetShares::Update(FleetRank& rank, const TargetId& target,
                         const FailureDomainName& domain) {
  if (rank.order_generation != order_generation_)
    rank = {0, 0, order_generation_};
  if (rank.counted_hosts == members_.size()) return;
  std::vector<Distance> distances;
  distances.reserve(domains_.size());
  for (const FailureDomainName& other : domains_) {
    distances.push_back(locality_.DistanceBetween(other, domain));
  }
  const Distance own_distance =
      locality_.DistanceBetween(locality_.failure_domain, domain);
  const uint64_t target_hash = StableHash(target);
  const uint64_t own_weight = RendezvousWeight(target_hash, own_hash_);
  for (; rank.counted_hosts < members_.size(); ++rank.counted_hosts) {
    const Member& member = members_[rank.counted_hosts];
    const Distance distance = distances[member.domain];
    if (distance < own_distance ||
        (distance == own_distance &&
         RendezvousWeight(target_hash, member.hash) > own_weight)) {
      ++rank.preceding_hosts;
    }
  }
}

}  // namespace cherrydyke
