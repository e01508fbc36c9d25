#include "dispatch/target_notices.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// Maximum number of instances kept, at a few hundred bytes each.
constexpr size_t kMaxInstances = 4096;
/// Maximum backoff; a longer one is assumed to be an error of the target.
constexpr absl::Duration kMaxBackoff = absl::Hours(1);
/// Jitter as a fraction of the wait, and its maximum.
constexpr double kJitterFraction = 0.25;
constexpr absl::Duration kMaxJitter = absl::Seconds(1);

}  // namespace

TargetNotices::Notice& TargetNotices::FindOrAdd(const TargetInstance& target,
                                                absl::Time now) {
  Notice& notice = notices_[target];
  notice.updated_at = now;
  if (notices_.size() > kMaxInstances) {
    notices_.erase(std::min_element(
        notices_.begin(), notices_.end(), [](const auto& a, const auto& b) {
          return a.second.updated_at < b.second.updated_at;
        }));
  }
  return notice;
}

bool TargetNotices::OnLeaving(const TargetInstance& target, absl::Time now) {
  Notice& notice = FindOrAdd(target, now);
  if (notice.leaving) return false;
  notice.leaving = true;
  return true;
}

absl::Time TargetNotices::OnBackoff(const TargetInstance& target,
                                    absl::Duration wait, double random_fraction,
                                    absl::Time now) {
  Notice& notice = FindOrAdd(target, now);
  wait = std::min(wait, kMaxBackoff);
  const absl::Duration jitter = std::min(wait * kJitterFraction, kMaxJitter);
  // Answers may arrive out of order.
  notice.backoff_until =
      std::max(notice.backoff_until, now + wait + jitter * random_fraction);
  return notice.backoff_until;
}

void TargetNotices::OnRate(const TargetInstance& target,
                           std::optional<StatedRate> rate, absl::Time now) {
  FindOrAdd(target, now).rate = rate;
}

std::optional<StatedRate> TargetNotices::RateOf(
    const TargetInstance& target) const {
  const auto found = notices_.find(target);
  return found == notices_.end() ? std::nullopt : found->second.rate;
}

bool TargetNotices::IsLeaving(const TargetInstance& target) const {
  const auto found = notices_.find(target);
  return found != notices_.end() && found->second.leaving;
}

absl::Time TargetNotices::BackoffUntil(const TargetInstance& target) const {
  const auto found = notices_.find(target);
  return found == notices_.end() ? absl::InfinitePast()
                                 : found->second.backoff_until;
}

}  // namespace cherrydyke
