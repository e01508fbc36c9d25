#include "telemetry/log_rate_limiter.h"

namespace cherrydyke {

bool LogRateLimiter::TryAcquire(const std::string& kind, int per_second,
                                absl::Time now) {
  Window& state = windows_[kind];
  if (now - state.second >= absl::Seconds(1)) {
    state.second = now;
    state.written = 0;
  }
  if (state.written < per_second) {
    ++state.written;
    return true;
  }
  ++state.dropped;
  return false;
}

std::map<std::string, int> LogRateLimiter::TakeDroppedCounts() {
  std::map<std::string, int> dropped;
  for (auto& [kind, state] : windows_) {
    if (state.dropped > 0) dropped[kind] = state.dropped;
    state.dropped = 0;
  }
  return dropped;
}

}  // namespace cherrydyke
