#pragma once

#include "absl/time/time.h"
#include "tier/failure_streak.h"
#include "tier/publishing_times.h"

namespace cherrydyke {

/// Decides when a reader polls the configuration service next. Calls are
/// charged for, and changes must take effect within seconds: while changes keep
/// coming, the pause between calls grows so that each call fetches several, and
/// after failures it backs off exponentially with jitter.
///
/// Bounds the calls during bursts of changes and outages of the service. Pure:
/// time and randomness are arguments.
class PollSchedule {
 public:
  /// Pause after an isolated change, and the longest pause while changes
  /// continue: short compared with the seconds within which they must take
  /// effect.
  static constexpr absl::Duration kMinBatchPause = absl::Milliseconds(60);
  static constexpr absl::Duration kMaxBatchPause = absl::Milliseconds(240);

  /// @return the most calls a second of a reader while changes continue.
  static double MaxCallsPerSecond() {
    return absl::FDivDuration(absl::Seconds(1), kMaxBatchPause);
  }

  /// @return the pause after a call that returned changes.
  absl::Duration PauseAfterChanges(absl::Time now);
  /// @param random_fraction a random number in [0, 1) for the jitter, which
  /// keeps hosts from calling at the same time.
  /// @return the pause after a call that failed. Failures of an earlier outage,
  /// after which a peer read for this host, don't make it longer.
  absl::Duration PauseAfterFailure(absl::Time now, double random_fraction);
  /// A call succeeded: ends the backoff.
  void OnSuccess() { failures_ = failures_.AfterSuccess(); }
  /// A peer's call that began then, or later, succeeded.
  void OnPeerRead(absl::Time called_at) {
    failures_ = failures_.AfterSuccessOfAnother(called_at);
  }

  /// @return calls that have failed in a row.
  int failures() const { return failures_.count(); }
  bool last_call_failed() const { return failures_.last_call_failed(); }

 private:
  absl::Time last_change_at_ = absl::InfinitePast();
  absl::Duration batch_pause_;
  FailureStreak failures_{PublishingTimes::kContactTime};
};

}  // namespace cherrydyke
