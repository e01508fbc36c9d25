#include "dispatch/target_evidence.h"

#include <algorithm>
#include <limits>

namespace cherrydyke {
namespace {

uint8_t Capped(uint32_t count) {
  constexpr uint32_t kMost = std::numeric_limits<uint8_t>::max();
  return static_cast<uint8_t>(std::min(count, kMost));
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

std::vector<TargetEvidence> EvidenceBook::Take(
    size_t limit, const std::function<bool(uint32_t target)>& is_doubtful) {
  std::vector<TargetEvidence> evidence;
  for (const auto& [target, entry] : entries_) {
    if (entry.failures == 0 && !is_doubtful(target)) continue;
    evidence.push_back({target, Capped(entry.answers), Capped(entry.failures)});
  }
  entries_.clear();
  std::stable_sort(evidence.begin(), evidence.end(),
                   [](const TargetEvidence& a, const TargetEvidence& b) {
                     return a.failures > b.failures;
                   });
  for (size_t index = limit; index < evidence.size(); ++index) {
    const TargetEvidence& left = evidence[index];
    entries_[left.target] = {left.answers, left.failures};
  }
  if (evidence.size() > limit) evidence.resize(limit);
  return evidence;
}

}  // namespace cherrydyke
