#pragma once

#include <vector>

#include "absl/time/time.h"
#include "dispatch/sliding_window_counter.h"

namespace cherrydyke {

/// @param available_at when each part without an eligible target is expected to
/// have one again.
/// @param optional_parts how many parts the answer may lack.
/// @return when enough parts have an eligible target; the infinite past if they
/// do now.
absl::Time TimeWhenEnoughAvailable(std::vector<absl::Time> available_at,
                                   size_t optional_parts);

/// Computes the Retry-After delays of refused callers. Retries are scheduled in
/// the order of the refusals, at a rate that the host can serve in addition to
/// its new requests. Otherwise the callers of a burst would retry together and
/// be refused again. Pure: time is an argument.
class RetryAfterScheduler {
 public:
  /// @param base_delay of a caller that has no others before it.
  /// @param jitter of the base delay to both sides, as a fraction of it.
  RetryAfterScheduler(absl::Duration base_delay, double jitter);

  void OnAnswered(absl::Time now) { answered_.Add(now); }

  /// Schedules the retry of a caller that was refused because of overload.
  /// @param random_fraction a random number in [0, 1).
  /// @return the delay until its retry.
  absl::Duration NextDelay(double random_fraction, absl::Time now);
  /// @return the delay for a caller that was refused for another reason: the
  /// base delay with jitter, so that callers do not retry together.
  absl::Duration BaseDelay(double random_fraction) const;

 private:
  const absl::Duration base_delay_;
  const double jitter_;
  SlidingWindowCounter answered_;
  /// Time slot that was assigned last.
  absl::Time last_slot_ = absl::InfinitePast();
};

}  // namespace cherrydyke
