#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/sliding_count.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// This host's part of what a target bears from all hosts together, in whole
/// units, so that the parts never add up to more than the whole.
///
/// @param whole what all hosts may use.
/// @param hosts every host that may share, this one included; at least 1.
/// @param rank this host's place in an order of them that all agree on: what
/// cannot be divided evenly goes to the first ones.
/// @return units of this host; may be 0.
int DivideShare(double whole, int hosts, size_t rank);

/// Counts the sends to one target of the last second, warm ones included, so
/// that a target that turns cold is not given a second's worth twice.
class ColdAllowance {
 public:
  ColdAllowance();

  /// @return whether one more request may be sent while the target is cold.
  bool MaySend(int share, absl::Time now);
  void OnSent(absl::Time now) { sent_.Add(now); }

 private:
  SlidingCount sent_;
};

}  // namespace cherrydyke
