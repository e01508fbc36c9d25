#include "dispatch/retry_after_scheduler.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// The answers within this window are the estimate of the rate that can be
/// served.
constexpr absl::Duration kWindow = absl::Seconds(1);
constexpr absl::Duration kBucket = absl::Milliseconds(100);
/// Fraction of that rate for retries; the rest is for new requests.
constexpr double kRetryFraction = 0.5;
/// Maximum delay beyond the base delay; few callers have more time.
constexpr absl::Duration kMaxQueueingDelay = absl::Seconds(2);

}  // namespace

absl::Time TimeWhenEnoughAvailable(std::vector<absl::Time> available_at,
                                   size_t optional_parts) {
  if (available_at.size() <= optional_parts) return absl::InfinitePast();
  std::sort(available_at.begin(), available_at.end());
  return available_at[available_at.size() - optional_parts - 1];
}

RetryAfterScheduler::RetryAfterScheduler(absl::Duration base_delay,
                                         double jitter)
    : base_delay_(base_delay), jitter_(jitter), answered_(kWindow, kBucket) {}

absl::Duration RetryAfterScheduler::NextDelay(double random_fraction,
                                              absl::Time now) {
  const double retries_per_second = kRetryFraction *
                                    static_cast<double>(answered_.Count(now)) /
                                    absl::ToDoubleSeconds(kWindow);
  const absl::Duration interval = retries_per_second > 0
                                      ? absl::Seconds(1 / retries_per_second)
                                      : absl::ZeroDuration();
  last_slot_ = std::clamp(last_slot_ + interval, now, now + kMaxQueueingDelay);
  return last_slot_ - now + BaseDelay(random_fraction);
}

absl::Duration RetryAfterScheduler::BaseDelay(double random_fraction) const {
  return base_delay_ * (1 + jitter_ * (2 * random_fraction - 1));
}

}  // namespace cherrydyke
