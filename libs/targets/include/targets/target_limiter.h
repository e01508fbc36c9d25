#pragma once

#include <deque>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "wire/messages.h"

namespace cherrydyke {

/// What a target bears, from the catalogue.
struct TargetLimits {
  int slots = 1;
  int cold_concurrency = 1;
  /// Successes after which a cold target may be given more.
  int cold_successes = 20;

  friend bool operator==(const TargetLimits& a, const TargetLimits& b) {
    return std::tie(a.slots, a.cold_concurrency, a.cold_successes) ==
           std::tie(b.slots, b.cold_concurrency, b.cold_successes);
  }
};

/// Decides how many requests a target may run at once.
///
/// A target counts as cold when its gate takes it, and again after each sign of
/// a new start: an abrupt loss of connection, a refusal for coldness, another
/// incarnation, or latency far off its own past. While cold it gets no more
/// than its allowance. After the declared number of successes in a row the
/// limit rises by one for each further round of successes at the limit, up to
/// the slots. A refusal for load lowers the limit by one.
///
/// A request that timed out may still run, so it keeps its slot until its
/// deadline at the target ("ghost"). The invariant is asserted at each start:
/// running + ghosts < limit.
///
/// Pure: time is an argument.
class TargetLimiter {
 public:
  TargetLimiter(TargetLimits limits, absl::Time now);

  void SetLimits(TargetLimits limits);

  /// Takes a slot. @return false if none is free.
  bool TryStart(absl::Time now);

  /// Gives back a slot for which nothing was sent.
  void Abandon();

  /// Gives a slot back.
  /// @param deadline until when the request may still run at the target, if
  /// the outcome does not prove that it has ended.
  void Finish(AttemptOutcome outcome, absl::Duration latency,
              absl::Time deadline, absl::Time now);

  /// Compares the incarnation that the target tells of itself.
  void OnIncarnation(const std::string& incarnation);
  /// Treats the target as cold from now on.
  void MarkCold();
  /// The target or the host list says that it is leaving.
  void SetDraining(bool draining) { draining_ = draining; }

  int Limit() const;
  int InFlight(absl::Time now);
  TargetPhase phase() const;
  /// @return the smoothed latency, or zero before the first success. It fades
  /// while the target is not used, so that a straggler is tried again.
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
  std::vector<absl::Time> orphan_deadlines_;
  absl::Duration latency_;
  absl::Time latency_updated_at_;
  int consecutive_outliers_ = 0;
  std::string incarnation_;
};

}  // namespace cherrydyke
