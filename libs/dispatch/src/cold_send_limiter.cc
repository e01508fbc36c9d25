#include "dispatch/cold_send_limiter.h"

namespace cherrydyke {
namespace {

/// The limit applies to requests that arrive within one second. The window is
/// 100 ms longer, because network delay can compress the arrivals.
constexpr absl::Duration kWindow = absl::Milliseconds(1100);
constexpr absl::Duration kBucket = absl::Milliseconds(100);

}  // namespace

ColdSendLimiter::ColdSendLimiter() : sent_(kWindow, kBucket) {}

bool ColdSendLimiter::MaySend(int quota, absl::Time now) {
  return sent_.Count(now) < quota;
}

}  // namespace cherrydyke
