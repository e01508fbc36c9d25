#include "membership/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {
namespace {

using Weighted = std::pair<uint64_t, HostId>;

Weighted Weigh(const std::string& resource, const HostId& candidate) {
  return {StableHash(resource + "|" + candidate), candidate};
}

}  // namespace

std::vector<HostId> RankByRendezvous(const std::string& resource,
                                     std::vector<HostId> candidates) {
  std::vector<Weighted> weighted;
  weighted.reserve(candidates.size());
  for (const HostId& candidate : candidates) {
    weighted.push_back(Weigh(resource, candidate));
  }
  std::sort(weighted.rbegin(), weighted.rend());
  candidates.clear();
  for (auto& [weight, candidate] : weighted) {
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

HostId RendezvousWinner(const std::string& resource,
                        const std::vector<HostId>& candidates) {
  Weighted best{0, ""};
  for (const HostId& candidate : candidates) {
    best = std::max(best, Weigh(resource, candidate));
  }
  return best.second;
}

}  // namespace cherrydyke
