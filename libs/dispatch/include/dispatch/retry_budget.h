#pragma once

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "dispatch/policy.h"
#include "dispatch/sliding_window_counter.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// How much an extra send matters to its request.
enum class RetryPriority {
  /// Without it the request cannot be answered.
  kRequired,
  /// It would make a sufficient answer faster or more complete.
  kOptional,
};

/// This host's part of the fleet-wide limit on extra arrivals at a service:
/// hedges, retries and every other send beyond a request's first.
///
/// In any window the fleet may send `ratio` x requests + `slack`. A host uses
/// the ratio of its own requests and the slack divided by the hosts that may
/// share it, so the parts never add up to more than the whole. The slack is not
/// used in the first window after the start: an earlier lifetime of the host
/// may have used its part just before. Pure.
class RetryBudget {
 public:
  RetryBudget(FleetLimits bounds, absl::Time started, Policy policy = {})
      : bounds_(bounds),
        policy_(policy),
        slack_from_(started + bounds.retry_window) {}

  /// @param hosts the most hosts that may share the slack, at least 1.
  void SetHostCount(int hosts) { hosts_ = hosts; }

  /// Counts a request for the service and its free first arrival.
  void OnRequest(const ServiceName& service, absl::Time now);

  /// Takes one extra send. Needed ones may use the whole budget, helpful ones
  /// leave a part of it, so that hedges do not starve retries.
  /// @return whether it may be sent.
  bool TryAcquire(const ServiceName& service, RetryPriority use,
                  absl::Time now);

 private:
  struct Use {
    SlidingWindowCounter requests;
    SlidingWindowCounter extras;
  };
  Use& UseOf(const ServiceName& service);
  double Allowance(Use& use, absl::Time now) const;

  const FleetLimits bounds_;
  const Policy policy_;
  const absl::Time slack_from_;
  int hosts_ = 1;
  absl::flat_hash_map<ServiceName, Use> uses_;
};

}  // namespace cherrydyke
