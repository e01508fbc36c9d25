#pragma once

#include <vector>

#include "absl/time/time.h"
#include "dispatch/sliding_window_counter.h"

namespace cherrydyke {

/// @param opens when each part that has no target now has one again.
/// @param spare how many of them the answer can do without.
/// @return when enough have one; the infinite past if they do now.
absl::Time TimeWhenEnoughAvailable(std::vector<absl::Time> opens, size_t spare);

/// When refused callers are asked to come back: in the order in which they were
/// refused, no faster than the host can serve them beside its new callers.
///
/// Answers the load of a burst, whose callers would otherwise return together
/// and be refused together. Pure: time is an argument.
class RetryAfterScheduler {
 public:
  /// @param usual wait of a single refused caller.
  /// @param spread part of it by which waits are spread to both sides.
  RetryAfterScheduler(absl::Duration usual, double spread);

  void OnAnswered(absl::Time now) { answered_.Add(now); }

  /// Gives one caller that was refused for load its place.
  /// @param draw a random number in [0, 1).
  /// @return how long it should wait.
  absl::Duration NextDelay(double draw, absl::Time now);
  /// @return how long a caller should wait who was refused for another reason:
  /// the usual wait, spread so that callers do not come back together.
  absl::Duration BaseDelay(double draw) const;

 private:
  const absl::Duration usual_;
  const double spread_;
  SlidingWindowCounter answered_;
  /// The place given last.
  absl::Time last_ = absl::InfinitePast();
};

}  // namespace cherrydyke
