#pragma once

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "dispatch/policy.h"
#include "dispatch/sliding_window_counter.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// Importance of an extra send, that is a retry or a hedge, to its request.
enum class RetryPriority {
  /// The request cannot be answered without it.
  kRequired,
  /// It makes a sufficient answer faster or more complete.
  kOptional,
};

/// This host's share of the fleet-wide limit on extra sends to a service:
/// hedges, retries and any other send beyond the first of a request.
///
/// In any window the fleet may make `retry_ratio` x requests + `retry_slack`
/// extra sends. A host uses the ratio of its own requests, and the slack
/// divided by the number of hosts that may share it, so the shares never exceed
/// the fleet-wide limit. The slack is not available in the first window after
/// the start, as an earlier incarnation of the host may have just used its
/// share. Pure: time is an argument.
class RetryBudget {
 public:
  RetryBudget(FleetLimits limits, absl::Time started, Policy policy = {})
      : limits_(limits),
        policy_(policy),
        slack_available_at_(started + limits.retry_window) {}

  /// @param hosts upper bound of the hosts that share the slack, at least 1.
  void SetHostCount(int hosts) { hosts_ = hosts; }

  /// Counts a request to the service. Its first send is not an extra send.
  void OnRequest(const ServiceName& service, absl::Time now);

  /// Takes one extra send from the budget. Required sends may use the whole
  /// budget; optional ones only a fraction, so that hedges do not starve
  /// retries.
  /// @return whether it may be sent.
  bool TryAcquire(const ServiceName& service, RetryPriority priority,
                  absl::Time now);

 private:
  struct ServiceUsage {
    SlidingWindowCounter requests;
    SlidingWindowCounter extras;
  };
  ServiceUsage& UsageOf(const ServiceName& service);
  double Allowance(ServiceUsage& usage, absl::Time now) const;

  const FleetLimits limits_;
  const Policy policy_;
  const absl::Time slack_available_at_;
  int hosts_ = 1;
  absl::flat_hash_map<ServiceName, ServiceUsage> usage_;
};

}  // namespace cherrydyke
