#pragma once

#include <cstdint>

#include "absl/time/time.h"

namespace cherrydyke {

/// Outcome of one request to a target, as far as it concerns the target's
/// health.
enum class TargetOutcome {
  kAnswered,
  /// The target rejected the request without running it.
  kRejected,
  /// The target answered with an error.
  kFailed,
  /// The connection was closed without an answer, or the answer was malformed.
  kLost,
  /// No connection could be established.
  kUnreachable,
  /// It was cancelled before it was sent.
  kNotSent,
  /// It was cancelled while it ran, after the time passed as latency.
  kCancelled,
};

/// Load reported by a target.
struct TargetLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;

  friend bool operator==(const TargetLoad& a, const TargetLoad& b) {
    return a.running == b.running && a.waiting == b.waiting &&
           a.slots == b.slots;
  }
};

/// Failure detector and latency estimator of one target on one host. Pure: time
/// is an argument.
class TargetHealth {
 public:
  /// @param round_trip to the target, assumed until the first answer.
  /// @param work time to run a request, assumed until the first answer.
  TargetHealth(absl::Duration round_trip, absl::Duration work)
      : prior_(round_trip + work), prior_deviation_(work / 2) {}

  void OnSent() { ++outstanding_; }
  /// Records the outcome of a request.
  /// @param latency from the send to the end of the request.
  void OnEnded(TargetOutcome outcome, absl::Duration latency, absl::Time now);
  /// Records answers and failures reported by another host of the failure
  /// domain.
  void OnPeerReport(int answers, int failures, absl::Time now);
  /// Reverts `OnSent` for a request that was not sent.
  void OnSendCancelled() {
    outstanding_ = outstanding_ > 0 ? outstanding_ - 1 : 0;
  }
  /// Records a request that has run longer than `OverdueAfter`: the target is
  /// paused or down.
  void OnOverdue(absl::Time sent_at, absl::Time now);
  void OnLoad(TargetLoad load, absl::Time now);
  /// A connection was established after attempts had failed: the next request
  /// may be sent at once, as a half-open probe.
  void OnConnected(absl::Time now);
  /// The path to all targets was lost for a time and works again: forgets the
  /// failures, and the silence if it began no earlier than `lost_at`.
  void OnPathRestored(absl::Time lost_at);

  /// @param slots requests that the target runs concurrently.
  /// @param connections requests that this host may run on it concurrently.
  /// @return the expected latency of a request sent now, including queueing.
  absl::Duration ExpectedLatency(int slots, int connections,
                                 absl::Time now) const;

  /// @param deviations margin above the mean latency, in mean deviations.
  /// @return the latency from which a request counts as overdue.
  absl::Duration OverdueAfter(absl::Time now, double deviations) const;

  /// @return whether the target is suspected to be down. The suspicion expires
  /// after a backoff, so that one request can probe the target (half-open); it
  /// holds again for other requests while the probe is outstanding.
  bool IsSuspect(absl::Time now) const;

  /// @return whether the target has not answered for longer than any pause,
  /// and a half-open probe is not due yet or a request is still outstanding.
  bool IsUnresponsive(absl::Time now) const;

  /// @return the fraction of recent requests that failed, in [0, 1). It is
  /// biased towards 0 while there were few.
  double FailureRate(absl::Time now) const;

  /// @return whether the recent failure rate is high enough to affect requests.
  bool HasElevatedFailureRate(absl::Time now) const;

  /// @return the start of the current period without answers; infinite if
  /// there is none.
  absl::Time unresponsive_since() const { return unresponsive_since_; }

  int outstanding() const { return outstanding_; }

 private:
  absl::Duration CurrentMean(absl::Time now) const;
  void RecordLatency(absl::Duration latency, absl::Time now);
  void MarkSuspect(absl::Time now);
  void RecordRequests(double requests, double failures, absl::Time now);

  const absl::Duration prior_;
  const absl::Duration prior_deviation_;
  absl::Duration mean_;
  absl::Duration deviation_;
  absl::Time latency_updated_at_ = absl::InfinitePast();
  /// Requests and failures, with exponential decay.
  double requests_ = 0;
  double failures_ = 0;
  absl::Time counts_updated_at_ = absl::InfinitePast();
  absl::Time last_answer_at_ = absl::InfinitePast();
  absl::Time unresponsive_since_ = absl::InfiniteFuture();
  absl::Time suspect_until_ = absl::InfinitePast();
  absl::Duration probe_backoff_;
  int outstanding_ = 0;
  TargetLoad load_;
  absl::Time load_updated_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
