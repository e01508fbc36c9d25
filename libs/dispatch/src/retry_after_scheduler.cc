#include "dispatch/retry_after_scheduler.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// What was answered of late is what can be served now.
constexpr absl::Duration kWindow = absl::Seconds(1);
constexpr absl::Duration kBucket = absl::Milliseconds(100);
/// Part of it that returns may take; the rest is for new callers.
constexpr double kReturnPart = 0.5;
/// Longest wait beyond the usual one: few callers have more time.
constexpr absl::Duration kLongestWait = absl::Seconds(2);

}  // namespace

absl::Time TimeWhenEnoughAvailable(std::vector<absl::Time> opens,
                                   size_t spare) {
  if (opens.size() <= spare) return absl::InfinitePast();
  std::sort(opens.begin(), opens.end());
  return opens[opens.size() - spare - 1];
}

RetryAfterScheduler::RetryAfterScheduler(absl::Duration usual, double spread)
    : usual_(usual), spread_(spread), answered_(kWindow, kBucket) {}

absl::Duration RetryAfterScheduler::NextDelay(double draw, absl::Time now) {
  const double per_second = kReturnPart *
                            static_cast<double>(answered_.Count(now)) /
                            absl::ToDoubleSeconds(kWindow);
  const absl::Duration gap =
      per_second > 0 ? absl::Seconds(1 / per_second) : absl::ZeroDuration();
  last_ = std::clamp(last_ + gap, now, now + kLongestWait);
  return last_ - now + BaseDelay(draw);
}

absl::Duration RetryAfterScheduler::BaseDelay(double draw) const {
  return usual_ * (1 + spread_ * (2 * draw - 1));
}

}  // namespace cherrydyke
