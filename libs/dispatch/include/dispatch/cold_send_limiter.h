#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/sliding_window_counter.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// Counts the sends to one target of the last second, warm ones included, so
/// that a target that turns cold is not given a second's worth twice.
class ColdSendLimiter {
 public:
  ColdSendLimiter();

  /// @return whether one more request may be sent while the target is cold.
  bool MaySend(int share, absl::Time now);
  void OnSent(absl::Time now) { sent_.Add(now); }

 private:
  SlidingWindowCounter sent_;
};

}  // namespace cherrydyke
