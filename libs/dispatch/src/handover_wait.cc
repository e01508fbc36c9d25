#include "dispatch/handover_wait.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// How long a silent host is expected back after its last offer.
constexpr absl::Duration kMaxSilence = absl::Seconds(2);
/// How long ago some host must have answered.
constexpr absl::Duration kMaxAnswerAge = absl::Seconds(1);
/// Part of a request's time that may pass in waiting.
constexpr double kMaxWaitRatio = 0.75;

}  // namespace

std::optional<absl::Time> HandoverWaitEnd(
    const std::vector<HandoverCandidate>& candidates,
    const UnplacedRequest& request, absl::Time now) {
  const bool hears_peers =
      std::any_of(candidates.begin(), candidates.end(),
                  [now](const HandoverCandidate& candidate) {
                    return !candidate.is_silent &&
                           now - candidate.offered_at <= kMaxAnswerAge;
                  });
  if (!hears_peers) return std::nullopt;
  absl::Time expected_until = absl::InfinitePast();
  for (const HandoverCandidate& candidate : candidates) {
    if (!candidate.is_silent ||
        !MayReceive(candidate.region, request.criteria.allowed_regions)) {
      continue;
    }
    expected_until =
        std::max(expected_until, candidate.available_at + kMaxSilence);
  }
  const absl::Time end =
      std::min(expected_until,
               request.received_at +
                   kMaxWaitRatio * (request.deadline - request.received_at));
  if (end <= now) return std::nullopt;
  return end;
}

}  // namespace cherrydyke
