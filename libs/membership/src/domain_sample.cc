#include "membership/domain_sample.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace cherrydyke {

std::vector<size_t> SampleAcrossDomains(
    const std::vector<FailureDomainName>& domains, size_t limit,
    std::mt19937_64& random) {
  std::vector<size_t> shuffled(domains.size());
  std::iota(shuffled.begin(), shuffled.end(), 0);
  std::shuffle(shuffled.begin(), shuffled.end(), random);
  // The first item of each domain comes before the second of any other.
  std::map<FailureDomainName, size_t> taken;
  std::vector<std::pair<size_t, size_t>> ranked;
  ranked.reserve(shuffled.size());
  for (const size_t index : shuffled) {
    ranked.emplace_back(taken[domains[index]]++, index);
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<size_t> chosen;
  for (size_t i = 0; i < std::min(limit, ranked.size()); ++i) {
    chosen.push_back(ranked[i].second);
  }
  return chosen;
}

}  // namespace cherrydyke
