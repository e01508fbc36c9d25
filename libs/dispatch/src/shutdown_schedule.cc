#include "dispatch/shutdown_schedule.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// Time in which the load balancer has checked the host's readiness twice and
/// callers have learned of the shutdown.
constexpr absl::Duration kAnnounceTime = absl::Milliseconds(2600);
/// Time before the end of the grace period that is left for exiting. A host
/// that is short of processor time learns of the shutdown late, and wakes late.
constexpr absl::Duration kExitReserve = absl::Milliseconds(250);
/// The same with the time for writing the last responses, 300 ms.
constexpr absl::Duration kWriteReserve = absl::Milliseconds(550);
/// A request whose deadline is later is taken if this many times its latency
/// objective is left. It is more for one that must not be repeated: if it is
/// ended, its caller cannot know whether it has run.
constexpr int kMinObjectivesLeft = 2;
constexpr int kMinObjectivesLeftToRunOnce = 4;

}  // namespace

ShutdownSchedule::ShutdownSchedule(absl::Time start, absl::Duration grace)
    : announced_at_(start + kAnnounceTime),
      requests_end_(start + std::max(grace - kWriteReserve, grace / 2)),
      exit_(start + std::max(grace - kExitReserve, grace / 2)) {}

std::optional<absl::Time> ShutdownSchedule::Admit(const LateRequest& request,
                                                  absl::Time now) const {
  if (IsAnnouncing(now) || request.deadline <= requests_end_) {
    return request.deadline;
  }
  const int objectives =
      request.idempotent ? kMinObjectivesLeft : kMinObjectivesLeftToRunOnce;
  if (now + objectives * request.latency_objective > requests_end_) {
    return std::nullopt;
  }
  return requests_end_;
}

}  // namespace cherrydyke
