#include "dispatch/stated_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace cherrydyke {
namespace {

/// The period in which targets count requests, and the window in which sends
/// count: longer, because network delay can compress the arrivals.
constexpr absl::Duration kTargetPeriod = absl::Seconds(4);
constexpr absl::Duration kWindow = absl::Milliseconds(4400);
constexpr absl::Duration kWindowBucket = absl::Milliseconds(200);
/// Hosts use their shares unevenly, so the shares add up to more than the
/// stated rate.
constexpr double kOverbooking = 1.2;
/// Fraction of a share that may be used within a second, and that second with
/// the same allowance for compressed arrivals.
constexpr double kBurstFraction = 0.4;
constexpr absl::Duration kSecond = absl::Milliseconds(1100);
constexpr absl::Duration kSecondBucket = absl::Milliseconds(100);
/// Mean time after which a host asks whether a rate still holds. The requests
/// of all hosts that ask are a small fraction of the quota.
constexpr absl::Duration kMinAskPeriod = absl::Seconds(15);
constexpr absl::Duration kMaxAskPeriod = absl::Minutes(10);
constexpr double kAskFraction = 0.1;
/// The hosts of a fleet learn of a rate at the same time, but do not ask at the
/// same time: the jitter as a fraction of the mean.
constexpr double kMinAskJitter = 0.5;
/// Upper bound of a stated rate, beyond any target's capacity.
constexpr double kMaxPerSecond = 1e6;

}  // namespace

StatedRateLimiter::StatedRateLimiter()
    : sent_in_window_(kWindow, kWindowBucket),
      sent_in_second_(kSecond, kSecondBucket) {}

bool StatedRateLimiter::OnResponse(std::optional<double> per_second,
                                   absl::Time sent_at, const Spread& spread,
                                   absl::Time now) {
  if (!per_second && !rate_) return false;
  if (rate_ && sent_at < rate_->sent_at) return false;
  if (!per_second) {
    rate_.reset();
    return true;
  }
  const bool changed = !rate_ || rate_->per_second != *per_second;
  Restore({*per_second, sent_at}, spread, now);
  return changed;
}

void StatedRateLimiter::Restore(const StatedRate& rate, const Spread& spread,
                                absl::Time now) {
  rate_ = rate;
  const absl::Duration fair_period =
      kTargetPeriod * (spread.hosts / std::max(1.0, kAskFraction * Quota()));
  const absl::Duration period =
      std::clamp(fair_period, kMinAskPeriod, kMaxAskPeriod);
  stale_at_ = now + period * (kMinAskJitter + spread.random_fraction);
}

double StatedRateLimiter::Quota() const {
  if (!rate_) return 0;
  return std::clamp(rate_->per_second, 0.0, kMaxPerSecond) * kOverbooking *
         absl::ToDoubleSeconds(kTargetPeriod);
}

bool StatedRateLimiter::MaySend(int share, absl::Time now) {
  if (!rate_) return true;
  const int64_t in_window = sent_in_window_.Count(now);
  if (now >= stale_at_ && in_window == 0) return true;
  const auto burst = static_cast<int64_t>(std::ceil(share * kBurstFraction));
  return in_window < share && sent_in_second_.Count(now) < burst;
}

void StatedRateLimiter::OnSent(absl::Time now) {
  if (!rate_) return;
  sent_in_window_.Add(now);
  sent_in_second_.Add(now);
}

}  // namespace cherrydyke
