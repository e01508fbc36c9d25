#include "dispatch/target_health_report.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace cherrydyke {
namespace {

uint8_t Saturate(uint32_t count) {
  constexpr uint32_t kMax = std::numeric_limits<uint8_t>::max();
  return static_cast<uint8_t>(std::min(count, kMax));
}

/// @return the remaining backoff in units of 100 ms, capped to the field.
uint8_t RemainingBackoff(absl::Time until, absl::Time now) {
  constexpr double kMax = std::numeric_limits<uint8_t>::max();
  const double tenths = absl::ToDoubleSeconds(until - now) * 10;
  return static_cast<uint8_t>(std::clamp(tenths, 0.0, kMax));
}

}  // namespace

void HealthReportCollector::RecordOutcome(uint32_t target,
                                          TargetOutcome outcome) {
  switch (outcome) {
    case TargetOutcome::kAnswered:
      ++pending_[target].answers;
      return;
    case TargetOutcome::kRejected:
    case TargetOutcome::kFailed:
    case TargetOutcome::kLost:
      ++pending_[target].failures;
      return;
    case TargetOutcome::kCancelled:
    case TargetOutcome::kUnreachable:
    case TargetOutcome::kNotSent:
      // These outcomes do not show how the target handles requests.
      return;
  }
}

void HealthReportCollector::RecordBackoff(uint32_t target, absl::Time until) {
  absl::Time& latest = pending_[target].backoff_until;
  latest = std::max(latest, until);
}

std::vector<TargetHealthReport> HealthReportCollector::TakeReports(
    size_t limit,
    const std::function<bool(uint32_t target)>& has_elevated_failure_rate,
    absl::Time now) {
  std::vector<TargetHealthReport> reports;
  for (const auto& [target, entry] : pending_) {
    const uint8_t backoff_ds = RemainingBackoff(entry.backoff_until, now);
    const bool worth_sending = entry.failures > 0 || backoff_ds > 0 ||
                               has_elevated_failure_rate(target);
    if (!worth_sending) continue;
    reports.push_back({target, Saturate(entry.answers),
                       Saturate(entry.failures), backoff_ds});
  }
  std::stable_sort(
      reports.begin(), reports.end(),
      [](const TargetHealthReport& a, const TargetHealthReport& b) {
        return std::tie(a.backoff_ds, a.failures) >
               std::tie(b.backoff_ds, b.failures);
      });
  std::map<uint32_t, Entry> remaining;
  for (size_t index = limit; index < reports.size(); ++index) {
    const uint32_t target = reports[index].target;
    remaining[target] = pending_[target];
  }
  pending_ = std::move(remaining);
  if (reports.size() > limit) reports.resize(limit);
  return reports;
}

}  // namespace cherrydyke
