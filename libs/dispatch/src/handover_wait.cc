#include "dispatch/handover_wait.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// How long a silent host is expected back after its last offer.
constexpr absl::Duration kMaxSilence = absl::Seconds(2);
/// Part of a request's time that may pass in waiting.
constexpr double kMaxWaitRatio = 0.75;

}  // namespace

std::optional<absl::Time> HandoverWaitEnd(
    const std::vector<HandoverCandidate>& candidates,
    const UnplacedRequest& request, absl::Time now) {
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
