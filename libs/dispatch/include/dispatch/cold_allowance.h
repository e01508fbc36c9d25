#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/sliding_count.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// This host's part of what a cold target bears in a second.
///
/// @param per_second requests that all hosts together may send.
/// @param target the target's name, by which a part too small to divide is
/// given to some of the hosts only.
/// @param self this host.
/// @param hosts every host that may share, this one included.
/// @return requests that this host may send in any second; may be 0.
int ColdShare(double per_second, const TargetId& target, const HostId& self,
              const std::vector<HostId>& hosts);

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
