#include "dispatch/target_health_report.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace cherrydyke {
namespace {

uint8_t Capped(uint32_t count) {
  constexpr uint32_t kMost = std::numeric_limits<uint8_t>::max();
  return static_cast<uint8_t>(std::min(count, kMost));
}

/// @return tenths of a second until then.
uint8_t ClosedFor(absl::Time until, absl::Time now) {
  constexpr double kMost = std::numeric_limits<uint8_t>::max();
  const double tenths = absl::ToDoubleSeconds(until - now) * 10;
  return static_cast<uint8_t>(std::clamp(tenths, 0.0, kMost));
}

}  // namespace

void HealthReportCollector::RecordOutcome(uint32_t target, TargetOutcome sign) {
  switch (sign) {
    case TargetOutcome::kAnswered:
      ++entries_[target].answers;
      return;
    case TargetOutcome::kRejected:
    case TargetOutcome::kFailed:
    case TargetOutcome::kLost:
      ++entries_[target].failures;
      return;
    case TargetOutcome::kCancelled:
    case TargetOutcome::kUnreachable:
    case TargetOutcome::kNotSent:
      // Says more of this host than of how the target ends requests.
      return;
  }
}

void HealthReportCollector::RecordBackoff(uint32_t target, absl::Time until) {
  absl::Time& known = entries_[target].closed_until;
  known = std::max(known, until);
}

std::vector<TargetHealthReport> HealthReportCollector::TakeReports(
    size_t limit, const std::function<bool(uint32_t target)>& is_doubtful,
    absl::Time now) {
  std::vector<TargetHealthReport> evidence;
  for (const auto& [target, entry] : entries_) {
    const uint8_t backoff_ds = ClosedFor(entry.closed_until, now);
    const bool worth_telling =
        entry.failures > 0 || backoff_ds > 0 || is_doubtful(target);
    if (!worth_telling) continue;
    evidence.push_back(
        {target, Capped(entry.answers), Capped(entry.failures), backoff_ds});
  }
  std::stable_sort(
      evidence.begin(), evidence.end(),
      [](const TargetHealthReport& a, const TargetHealthReport& b) {
        return std::tie(a.backoff_ds, a.failures) >
               std::tie(b.backoff_ds, b.failures);
      });
  std::map<uint32_t, Entry> left;
  for (size_t index = limit; index < evidence.size(); ++index) {
    const uint32_t target = evidence[index].target;
    left[target] = entries_[target];
  }
  entries_ = std::move(left);
  if (evidence.size() > limit) evidence.resize(limit);
  return evidence;
}

}  // namespace cherrydyke
