#include "dispatch/target_notices.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// Lifetimes kept; each takes some hundred bytes.
constexpr size_t kCapacity = 4096;
/// Longest closure: one that is stated longer is taken for a fault.
constexpr absl::Duration kLongestClosure = absl::Hours(1);
/// Part of the wait, and the most, over which the hosts' returns are spread.
constexpr double kSpreadPart = 0.25;
constexpr absl::Duration kMostSpread = absl::Seconds(1);

}  // namespace

TargetNotices::Notice& TargetNotices::Note(const TargetInstance& target,
                                           absl::Time now) {
  Notice& notice = notices_[target];
  notice.heard = now;
  if (notices_.size() > kCapacity) {
    notices_.erase(std::min_element(notices_.begin(), notices_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.heard < b.second.heard;
                                    }));
  }
  return notice;
}

bool TargetNotices::OnLeaving(const TargetInstance& target, absl::Time now) {
  Notice& notice = Note(target, now);
  if (notice.leaving) return false;
  notice.leaving = true;
  return true;
}

absl::Time TargetNotices::OnBackoff(const TargetInstance& target,
                                    absl::Duration wait, double draw,
                                    absl::Time now) {
  Notice& notice = Note(target, now);
  wait = std::min(wait, kLongestClosure);
  const absl::Duration spread = std::min(wait * kSpreadPart, kMostSpread);
  // A later answer may have been sent earlier.
  notice.opens_at = std::max(notice.opens_at, now + wait + spread * draw);
  return notice.opens_at;
}

bool TargetNotices::IsLeaving(const TargetInstance& target) const {
  const auto found = notices_.find(target);
  return found != notices_.end() && found->second.leaving;
}

absl::Time TargetNotices::BackoffUntil(const TargetInstance& target) const {
  const auto found = notices_.find(target);
  return found == notices_.end() ? absl::InfinitePast()
                                 : found->second.opens_at;
}

}  // namespace cherrydyke
