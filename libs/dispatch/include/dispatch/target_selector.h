#pragma once

#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "dispatch/retry_budget.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// A target chosen for one send.
struct SelectedTarget {
  TargetId target;
  /// When the send counts as overdue.
  absl::Duration overdue_after;
  /// Expected time until the answer.
  absl::Duration expected_latency;
  /// Expected time until the answer of the next best target; infinite if there
  /// is none.
  absl::Duration next_best_latency = absl::InfiniteDuration();
};

/// What a send needs of its target.
struct SelectionCriteria {
  ServiceName service;
  /// Targets that are not to be used again.
  const std::vector<TargetId>* exclude = nullptr;
  /// Regions whose targets may be used; null or empty for all.
  const std::vector<RegionName>* allowed_regions = nullptr;
  /// Set if the send is beyond the free first one.
  std::optional<RetryPriority> retry_priority;
  /// Whether the request fails unless this send is made, so that the work done
  /// for it is lost.
  bool is_last_chance = false;
  /// An extra send is pointless if its answer is expected after this time.
  absl::Time answer_needed_by = absl::InfiniteFuture();
};

/// Chooses targets and takes what a send costs from the limits that hold for
/// it. A choice returned is a send counted.
class TargetSelector {
 public:
  virtual ~TargetSelector() = default;
  /// @return a target, or nothing if none may be sent to now.
  virtual std::optional<SelectedTarget> Select(const SelectionCriteria& need,
                                               absl::Time now) = 0;
};

}  // namespace cherrydyke
