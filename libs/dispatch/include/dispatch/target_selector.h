#pragma once

#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "dispatch/region_limits.h"
#include "dispatch/retry_budget.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// The target selected for one send.
struct SelectedTarget {
  TargetId target;
  /// Time after the send from which it counts as overdue.
  absl::Duration overdue_after;
  /// Expected time from the send to the answer.
  absl::Duration expected_latency;
  /// The same for the next best target; infinite if there is none.
  absl::Duration next_best_latency = absl::InfiniteDuration();
};

/// Requirements of one send.
struct SelectionCriteria {
  ServiceName service;
  /// Targets that the request must not be sent to again.
  const std::vector<TargetId>* exclude = nullptr;
  /// Allowed regions of the target; null for all.
  const RegionLimits* regions = nullptr;
  /// Set if this is an extra send, which counts against the retry budget.
  std::optional<RetryPriority> retry_priority;
  /// Whether the request fails without this send, so that the work already done
  /// for it would be lost.
  bool is_last_chance = false;
  /// An extra send is useless if its answer is expected after this time.
  absl::Time answer_needed_by = absl::InfiniteFuture();
};

/// Selects targets for sends. Each target returned counts as a send against the
/// limits that apply to it.
class TargetSelector {
 public:
  virtual ~TargetSelector() = default;
  /// @return the selected target, or nothing if no target is eligible now.
  virtual std::optional<SelectedTarget> Select(
      const SelectionCriteria& criteria, absl::Time now) = 0;
};

}  // namespace cherrydyke
