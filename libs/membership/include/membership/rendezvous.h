#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace cherrydyke {

/// @return the weight of a candidate for a resource, computed from the hashes
/// of both; the candidate with the highest weight ranks first.
uint64_t RendezvousWeight(uint64_t resource_hash, uint64_t candidate_hash);

/// Ranks candidates for a resource by rendezvous hashing (highest random
/// weight): every process with the same candidates computes the same order, and
/// adding or removing a candidate reassigns only the resources that it ranks
/// first for.
///
/// @return the candidates by descending weight, then by descending name.
std::vector<HostId> RankByRendezvous(const std::string& resource,
                                     std::vector<HostId> candidates);

/// @return the candidate that ranks first, or "" if there is none.
HostId RendezvousWinner(const std::string& resource,
                        const std::vector<HostId>& candidates);

}  // namespace cherrydyke
