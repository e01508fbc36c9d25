#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace cherrydyke {

/// @return the weight of a candidate for a resource, by their hashes; the
/// highest comes first.
uint64_t RendezvousWeight(uint64_t resource_hash, uint64_t candidate_hash);

/// Orders candidates for a resource by rendezvous hashing (highest random
/// weight): every process that knows the same candidates computes the same
/// order, and adding or removing one moves only its own share.
///
/// @return the candidates, best first; ties by name.
std::vector<HostId> RankByRendezvous(const std::string& resource,
                                     std::vector<HostId> candidates);

/// @return the best candidate, or "" if there is none.
HostId RendezvousWinner(const std::string& resource,
                        const std::vector<HostId>& candidates);

}  // namespace cherrydyke
