#include "dispatch/target_evidence.h"

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

void EvidenceBook::Note(uint32_t target, TargetSign sign) {
  switch (sign) {
    case TargetSign::kAnswered:
      ++entries_[target].answers;
      return;
    case TargetSign::kRejected:
    case TargetSign::kFailed:
    case TargetSign::kLost:
      ++entries_[target].failures;
      return;
    case TargetSign::kBrokenOff:
    case TargetSign::kUnreachable:
    case TargetSign::kUnsent:
      // Says more of this host than of how the target ends requests.
      return;
  }
}

void EvidenceBook::NoteClosed(uint32_t target, absl::Time until) {
  absl::Time& known = entries_[target].closed_until;
  known = std::max(known, until);
}

std::vector<TargetEvidence> EvidenceBook::Take(
    size_t limit, const std::function<bool(uint32_t target)>& is_doubtful,
    absl::Time now) {
  std::vector<TargetEvidence> evidence;
  for (const auto& [target, entry] : entries_) {
    const uint8_t closed_ds = ClosedFor(entry.closed_until, now);
    const bool worth_telling =
        entry.failures > 0 || closed_ds > 0 || is_doubtful(target);
    if (!worth_telling) continue;
    evidence.push_back(
        {target, Capped(entry.answers), Capped(entry.failures), closed_ds});
  }
  std::stable_sort(evidence.begin(), evidence.end(),
                   [](const TargetEvidence& a, const TargetEvidence& b) {
                     return std::tie(a.closed_ds, a.failures) >
                            std::tie(b.closed_ds, b.failures);
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
