#pragma once

#include <random>
#include <vector>

#include "base/ids.h"

namespace cherrydyke {

/// Chooses items at random, spread as evenly over the failure domains as
/// possible.
/// @param domains the failure domain of each item.
/// @param limit maximum number of items.
/// @return indices of the chosen items.
std::vector<size_t> SampleAcrossDomains(
    const std::vector<FailureDomainName>& domains, size_t limit,
    std::mt19937_64& random);

}  // namespace cherrydyke
