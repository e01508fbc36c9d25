#include "dispatch/cold_allowance.h"

#include <cmath>

namespace cherrydyke {
namespace {

/// The bound counts sends that arrive inside one second; delays on the way may
/// bring sends of a slightly longer time together.
constexpr absl::Duration kWindow = absl::Milliseconds(1100);
constexpr absl::Duration kBucket = absl::Milliseconds(100);

}  // namespace

int DivideShare(double whole, int hosts, size_t rank) {
  const int total = static_cast<int>(std::floor(whole));
  const int each = total / hosts;
  const int rest = total % hosts;
  return rank < static_cast<size_t>(rest) ? each + 1 : each;
}

ColdAllowance::ColdAllowance() : sent_(kWindow, kBucket) {}

bool ColdAllowance::MaySend(int share, absl::Time now) {
  return sent_.Count(now) < share;
}

}  // namespace cherrydyke
