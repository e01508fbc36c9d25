#include "dispatch/retry_budget.h"

namespace cherrydyke {
namespace {

/// Resolution of the sliding windows: 1/20 of the default window of 10 s.
constexpr absl::Duration kBucket = absl::Milliseconds(500);
/// Fraction of the ratio that is available in the first window after the start,
/// as an earlier incarnation of the host may have used the budget of that
/// window. If all hosts restart at once, zero would allow no retries just when
/// they are needed; in the fleet model the fleet-wide limit holds at 1/2 and is
/// exceeded at 2/3.
constexpr double kFirstWindowFraction = 0.5;

}  // namespace

RetryBudget::ServiceUsage& RetryBudget::UsageOf(const ServiceName& service) {
  // A bucket that is only partly within the window counts in full. The window
  // for requests is therefore shorter by a bucket than that for extra sends.
  const ServiceUsage empty{
      SlidingWindowCounter(limits_.retry_window - kBucket, kBucket),
      SlidingWindowCounter(limits_.retry_window, kBucket)};
  return usage_.try_emplace(service, empty).first->second;
}

void RetryBudget::OnRequest(const ServiceName& service, absl::Time now) {
  UsageOf(service).requests.Add(now);
}

double RetryBudget::Allowance(ServiceUsage& usage, absl::Time now) const {
  const double requests = static_cast<double>(usage.requests.Count(now));
  if (now < slack_available_at_) {
    return policy_.budget_part * kFirstWindowFraction * limits_.retry_ratio *
           requests;
  }
  return policy_.budget_part *
         (limits_.retry_ratio * requests + limits_.retry_slack / hosts_);
}

bool RetryBudget::TryAcquire(const ServiceName& service, RetryPriority priority,
                             absl::Time now) {
  ServiceUsage& usage = UsageOf(service);
  double allowance = Allowance(usage, now);
  if (priority == RetryPriority::kOptional) allowance *= policy_.helpful_part;
  if (static_cast<double>(usage.extras.Count(now)) + 1 > allowance) {
    return false;
  }
  usage.extras.Add(now);
  return true;
}

}  // namespace cherrydyke
