#include "membership/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {

uint64_t RendezvousWeight(uint64_t resource_hash, uint64_t candidate_hash) {
  // The finalizer of SplitMix64, applied to both hashes.
  uint64_t weight = resource_hash + 0x9e3779b97f4a7c15ULL * candidate_hash;
  weight = (weight ^ (weight >> 30)) * 0xbf58476d1ce4e5b9ULL;
  weight = (weight ^ (weight >> 27)) * 0x94d049bb133111ebULL;
  return weight ^ (weight >> 31);
}

namespace {

using Weighted = std::pair<uint64_t, HostId>;

Weighted Weigh(const std::string& resource, const HostId& candidate) {
  return {RendezvousWeight(StableHash(resource), StableHash(candidate)),
          candidate};
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
