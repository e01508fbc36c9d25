#include "dispatch/handover_wait.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// How long a silent host is expected back after its last offer.
constexpr absl::Duration kMaxSilence = absl::Seconds(2);
/// Time in which a host that is back catches up with its own callers.
constexpr absl::Duration kReturnTime = absl::Milliseconds(300);
/// How long ago some host must have been heard: two rounds of gossip.
constexpr absl::Duration kMaxUnheardTime = absl::Seconds(1);
/// Part of a request's time that may pass in waiting.
constexpr double kMaxWaitRatio = 0.5;
/// Time after which a peer that runs as many requests of this host as it may
/// is looked at again.
constexpr absl::Duration kBusyTime = absl::Milliseconds(50);

}  // namespace

bool IsExpectedBack(const HandoverCandidate& candidate, absl::Time now) {
  const bool is_returning = now - candidate.silent_at < kReturnTime;
  return (candidate.is_silent || is_returning) &&
         now < candidate.available_at + kMaxSilence;
}

std::optional<absl::Time> HandoverWaitEnd(
    const std::vector<HandoverCandidate>& candidates,
    const UnplacedRequest& request, absl::Time heard_at, absl::Time now) {
  if (now - heard_at > kMaxUnheardTime) return std::nullopt;
  absl::Time expected_until = absl::InfinitePast();
  absl::Time end = request.received_at +
                   kMaxWaitRatio * (request.deadline - request.received_at);
  for (const HandoverCandidate& candidate : candidates) {
    if (!MayReceive(candidate.region, request.criteria.allowed_regions)) {
      continue;
    }
    if (IsExpectedBack(candidate, now)) {
      expected_until =
          std::max(expected_until, candidate.available_at + kMaxSilence);
    }
    const auto obstacle =
        FindHandoverObstacle(candidate, request.criteria, now);
    if (obstacle == HandoverObstacle::kExcluded) {
      end = std::min(end, candidate.excluded_until);
    } else if (obstacle == HandoverObstacle::kBusy) {
      end = std::min(end, now + kBusyTime);
    }
  }
  end = std::min(end, expected_until);
  if (end <= now) return std::nullopt;
  return end;
}

}  // namespace cherrydyke
