#include "telemetry/log_rate_limiter.h"

namespace cherrydyke {

bool LogRateLimiter::TryAcquire(const std::string& kind, int lines_per_second,
                                absl::Time now) {
  Window& window = windows_[kind];
  if (now - window.start >= absl::Seconds(1)) {
    window.start = now;
    window.written = 0;
  }
  if (window.written < lines_per_second) {
    ++window.written;
    return true;
  }
  ++window.dropped;
  return false;
}

std::map<std::string, int> LogRateLimiter::TakeDroppedCounts() {
  std::map<std::string, int> dropped;
  for (auto& [kind, window] : windows_) {
    if (window.dropped > 0) dropped[kind] = window.dropped;
    window.dropped = 0;
  }
  return dropped;
}

}  // namespace cherrydyke
