#include "dispatch/cold_send_limiter.h"

namespace cherrydyke {
namespace {

/// The bound counts sends that arrive inside one second; delays on the way may
/// bring sends of a slightly longer time together.
constexpr absl::Duration kWindow = absl::Milliseconds(1100);
constexpr absl::Duration kBucket = absl::Milliseconds(100);

}  // namespace

ColdSendLimiter::ColdSendLimiter() : sent_(kWindow, kBucket) {}

bool ColdSendLimiter::MaySend(int share, absl::Time now) {
  return sent_.Count(now) < share;
}

}  // namespace cherrydyke
