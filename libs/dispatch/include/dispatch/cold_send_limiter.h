#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/sliding_window_counter.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// Limits the requests that this host sends to one cold target. All sends of
/// the last second count, also those made while the target was warm: otherwise
/// a target that becomes cold could get a full second's quota on top of them.
class ColdSendLimiter {
 public:
  ColdSendLimiter();

  /// @param quota this host's share of the fleet-wide limit, in sends per
  /// second.
  /// @return whether one more request may be sent while the target is cold.
  bool MaySend(int quota, absl::Time now);
  void OnSent(absl::Time now) { sent_.Add(now); }

 private:
  SlidingWindowCounter sent_;
};

}  // namespace cherrydyke
