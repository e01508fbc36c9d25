#pragma once

#include <cstdint>

#include "absl/time/time.h"

namespace cherrydyke {

/// How the exchange with a target went, as far as its health is concerned.
enum class TargetOutcome {
  kAnswered,
  /// It said that it did not run the request.
  kRejected,
  /// It answered with a failure of its own.
  kFailed,
  /// The connection ended without an answer, or the answer was malformed.
  kLost,
  /// No connection could be made.
  kUnreachable,
  /// It was given up before it was sent.
  kNotSent,
  /// It was given up while it ran, after the time that is told as latency.
  kCancelled,
};

/// What a target said of its own load.
struct TargetLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;

  friend bool operator==(const TargetLoad& a, const TargetLoad& b) {
    return a.running == b.running && a.waiting == b.waiting &&
           a.slots == b.slots;
  }
};

/// Learns from one target's answers, on one host, how soon and how surely it
/// answers next. Pure: time is an argument.
class TargetHealth {
 public:
  /// @param round_trip time on the way, assumed before the first answer.
  /// @param work time to run a request, assumed likewise.
  TargetHealth(absl::Duration round_trip, absl::Duration work)
      : prior_(round_trip + work), prior_deviation_(work / 2) {}

  void OnSent() { ++outstanding_; }
  /// An exchange ended with a sign.
  void OnEnded(TargetOutcome sign, absl::Duration latency, absl::Time now);
  /// Another host of the failure domain saw answers and failures.
  void OnPeerReport(int answers, int failures, absl::Time now);
  /// A send was not made after all.
  void OnSendCancelled() {
    outstanding_ = outstanding_ > 0 ? outstanding_ - 1 : 0;
  }
  /// A request has run longer than `OverdueAfter`: a pause, or worse.
  void OnOverdue(absl::Time sent_at, absl::Time now);
  void OnLoad(TargetLoad load, absl::Time now);

  /// @return the expected time until an answer to a request sent now.
  /// @param slots requests that the target runs at once.
  /// @param connections requests that this host may have there at once.
  absl::Duration ExpectedLatency(int slots, int connections,
                                 absl::Time now) const;

  /// @param deviations how far above the usual time that is.
  /// @return the time after which a request counts as overdue.
  absl::Duration OverdueAfter(absl::Time now, double deviations) const;

  /// @return whether the target seems not to answer at present. After a while
  /// it is no longer suspect until one request has tried it again.
  bool IsSuspect(absl::Time now) const;

  /// @return whether the target has been silent for longer than targets pause
  /// and is not due for a trial.
  bool IsUnresponsive(absl::Time now) const;

  /// @return the part of recent exchanges that failed, in [0, 1); cautious
  /// while there were few.
  double FailureRate(absl::Time now) const;

  /// @return whether it has failed so often of late that it matters.
  bool HasElevatedFailureRate(absl::Time now) const;

  int outstanding() const { return outstanding_; }

 private:
  absl::Duration Mean(absl::Time now) const;
  void Learn(absl::Duration latency, absl::Time now);
  void Suspect(absl::Time now);
  void Count(double exchanges, double failures, absl::Time now);

  const absl::Duration prior_;
  const absl::Duration prior_deviation_;
  absl::Duration mean_;
  absl::Duration deviation_;
  absl::Time learned_at_ = absl::InfinitePast();
  /// Exchanges and failures, older ones counting less.
  double exchanges_ = 0;
  double failures_ = 0;
  absl::Time counted_at_ = absl::InfinitePast();
  absl::Time answered_at_ = absl::InfinitePast();
  /// Since when nothing that was sent has been answered.
  absl::Time silent_since_ = absl::InfiniteFuture();
  absl::Time suspect_until_ = absl::InfinitePast();
  absl::Duration backoff_;
  int outstanding_ = 0;
  TargetLoad load_;
  absl::Time load_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
