#pragma once

#include <optional>

#include "absl/time/time.h"

namespace cherrydyke {

/// A request that arrives while its host shuts down.
struct LateRequest {
  bool idempotent = false;
  absl::Time deadline;
  absl::Duration latency_objective;
};

/// When a host that shuts down takes requests, ends them, and exits.
///
/// At first it takes all, as the load balancer and callers have yet to learn of
/// the shutdown. Later it takes what is likely to end in time: the load
/// balancer goes on sending requests if too few other hosts are ready. Any
/// other request is refused before it has run, so that its caller can turn to
/// another host.
///
/// Pure: the time is an argument.
class ShutdownSchedule {
 public:
  /// @param grace time from `start` until the process is killed.
  ShutdownSchedule(absl::Time start, absl::Duration grace);

  /// @return whether callers may not know of the shutdown yet.
  bool IsAnnouncing(absl::Time now) const { return now < announced_at_; }

  /// @return the deadline of a request that arrives now, at the latest its own;
  /// nothing if it is refused.
  std::optional<absl::Time> Admit(const LateRequest& request,
                                  absl::Time now) const;

  /// @return when requests that are still running are answered without waiting
  /// for their targets.
  absl::Time requests_end() const { return requests_end_; }
  /// @return when the process exits, whether or not all responses are written.
  absl::Time exit() const { return exit_; }

 private:
  absl::Time announced_at_;
  absl::Time requests_end_;
  absl::Time exit_;
};

}  // namespace cherrydyke
