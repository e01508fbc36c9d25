#include "membership/fleet_shares.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "membership/rendezvous.h"

namespace cherrydyke {

int DivideShare(double whole, int hosts, size_t rank) {
  const int total = static_cast<int>(std::floor(whole));
  const int each = total / hosts;
  const int rest = total % hosts;
  return rank < static_cast<size_t>(rest) ? each + 1 : each;
}

void FleetShares::Refresh(absl::Time now) {
  known_ = hosts_.KnownHosts();
  sharing_ = hosts_.SharingHosts(now);
}

int FleetShares::ShareOf(double whole, size_t rank) const {
  return DivideShare(whole, sharing_, rank);
}

int FleetShares::StrictShareOf(double whole, size_t rank) const {
  // Those that are not known may all stand nearer.
  const size_t unknown = static_cast<size_t>(
      std::max(0, sharing_ - static_cast<int>(known_.size())));
  return DivideShare(whole, sharing_, unknown + rank);
}

size_t FleetShares::Rank(const TargetId& target,
                         const FailureDomainName& domain) const {
  std::array<std::vector<HostId>, kDistances> by_distance;
  for (const KnownHost& host : known_) {
    const Distance distance =
        locality_.DistanceBetween(host.failure_domain, domain);
    by_distance[static_cast<size_t>(distance)].push_back(host.host);
  }
  size_t rank = 0;
  for (const std::vector<HostId>& equals : by_distance) {
    const std::vector<HostId> ranked = RankByRendezvous(target, equals);
    const auto found = std::find(ranked.begin(), ranked.end(), locality_.host);
    rank += static_cast<size_t>(found - ranked.begin());
    if (found != ranked.end()) break;
  }
  return rank;
}

}  // namespace cherrydyke
