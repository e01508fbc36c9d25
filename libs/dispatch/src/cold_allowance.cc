#include "dispatch/cold_allowance.h"

#include <algorithm>
#include <cmath>

#include "membership/rendezvous.h"

namespace cherrydyke {
namespace {

/// The bound counts sends that arrive inside one second; delays on the way may
/// bring sends of a slightly longer time together.
constexpr absl::Duration kWindow = absl::Milliseconds(1100);
constexpr absl::Duration kBucket = absl::Milliseconds(100);

}  // namespace

int ColdShare(double per_second, const TargetId& target, const HostId& self,
              const std::vector<HostId>& hosts) {
  const int total = static_cast<int>(std::floor(per_second));
  const int count = std::max<int>(1, static_cast<int>(hosts.size()));
  const int each = total / count;
  const int rest = total % count;
  if (rest == 0) return each;
  const std::vector<HostId> ranked = RankByRendezvous(target, hosts);
  const auto found = std::find(ranked.begin(), ranked.end(), self);
  const bool among_first = found - ranked.begin() < rest;
  return among_first ? each + 1 : each;
}

ColdAllowance::ColdAllowance() : sent_(kWindow, kBucket) {}

bool ColdAllowance::MaySend(int share, absl::Time now) {
  return sent_.Count(now) < share;
}

}  // namespace cherrydyke
