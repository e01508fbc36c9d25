#pragma once

#include <deque>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "wire/messages.h"

namespace cherrydyke {

/// Concurrency limits of a target, from the catalogue.
struct TargetLimits {
  /// Requests that the target may run at once.
  int slots = 1;
  /// Requests that the target may run at once while it is cold.
  int cold_concurrency = 1;
  /// Successes after which a cold target counts as warming up.
  int cold_successes = 20;

  friend bool operator==(const TargetLimits& a, const TargetLimits& b) {
    return std::tie(a.slots, a.cold_concurrency, a.cold_successes) ==
           std::tie(b.slots, b.cold_concurrency, b.cold_successes);
  }
};

/// Concurrency limiter with slow start for one target.
///
/// A target is cold when its gate acquires it, and again after each sign of a
/// restart: a lost connection, a target that is unreachable or refuses because
/// it is cold, another incarnation, or latencies far above its usual one. A
/// cold target gets at most `cold_concurrency` requests. After `cold_successes`
/// successes the limit increases by one, and by one again after each `limit`
/// further successes, up to `slots`. A refusal due to overload decreases the
/// limit by one.
///
/// A request without an answer may still be running, so it keeps its slot until
/// its deadline at the target (an orphaned request). Each start asserts the
/// invariant: running + orphaned requests <= limit.
///
/// Has no clock: the current time is a parameter.
class TargetLimiter {
 public:
  TargetLimiter(TargetLimits limits, absl::Time now);

  void SetLimits(TargetLimits limits);

  /// Takes a slot.
  /// @return false if none is free.
  bool TryStart(absl::Time now);

  /// Releases a slot for which no request was sent.
  void Abandon();

  /// Releases the slot of a request, or turns it into an orphaned request.
  /// @param latency time that the attempt took.
  /// @param deadline time until which the request may still be running at the
  /// target, if the outcome does not prove that it has ended.
  void Finish(AttemptOutcome outcome, absl::Duration latency,
              absl::Time deadline, absl::Time now);

  /// Marks the target as cold if it reports another incarnation than before.
  void OnIncarnation(const std::string& incarnation);
  /// Marks the target as cold and restarts its slow start.
  void MarkCold();
  /// @param draining whether the target or the host list announces that the
  /// target is leaving; it then gets no new requests.
  void SetDraining(bool draining) { draining_ = draining; }

  /// @return the requests that the target may run at once now.
  int Limit() const;
  /// @return running and orphaned requests.
  int InFlight(absl::Time now);
  TargetPhase phase() const;
  /// @return the smoothed latency, or zero before the first sample. It decays
  /// while the target is not used, so that a slow target is tried again.
  absl::Duration latency(absl::Time now) const;

 private:
  void RemoveExpiredOrphans(absl::Time now);
  void OnSuccess(absl::Duration latency);
  void ObserveLatency(absl::Duration latency, absl::Time now);
  void DecreaseLimit();

  TargetLimits limits_;
  bool cold_ = true;
  bool draining_ = false;
  int limit_;
  int running_ = 0;
  int successes_ = 0;
  /// Deadlines of the orphaned requests.
  std::vector<absl::Time> orphan_deadlines_;
  absl::Duration latency_;
  absl::Time latency_updated_at_;
  int consecutive_outliers_ = 0;
  std::string incarnation_;
};

}  // namespace cherrydyke
