#include "dispatch/retry_budget.h"

namespace cherrydyke {
namespace {

/// Resolution of the windows: a twentieth of the usual ten seconds.
constexpr absl::Duration kBucket = absl::Milliseconds(500);
/// Part of the usual that a host's own requests allow in the first window after
/// its start, as an earlier lifetime may have used up the window. If all hosts
/// had used everything and started again at once, nothing would be left, yet
/// right then requests need their second sends: the fleet model's bound breaks
/// at two thirds and holds at a half.
constexpr double kFirstWindowPart = 0.5;

}  // namespace

RetryBudget::Use& RetryBudget::UseOf(const ServiceName& service) {
  // Requests are counted over a shorter window than extras, because a bucket
  // that the window cuts counts whole.
  const Use empty{SlidingWindowCounter(bounds_.retry_window - kBucket, kBucket),
                  SlidingWindowCounter(bounds_.retry_window, kBucket)};
  return uses_.try_emplace(service, empty).first->second;
}

void RetryBudget::OnRequest(const ServiceName& service, absl::Time now) {
  UseOf(service).requests.Add(now);
}

double RetryBudget::Allowance(Use& use, absl::Time now) const {
  const double requests = static_cast<double>(use.requests.Count(now));
  if (now < slack_from_) {
    return policy_.budget_part * kFirstWindowPart * bounds_.retry_ratio *
           requests;
  }
  return policy_.budget_part *
         (bounds_.retry_ratio * requests + bounds_.retry_slack / hosts_);
}

bool RetryBudget::TryAcquire(const ServiceName& service, RetryPriority use,
                             absl::Time now) {
  Use& state = UseOf(service);
  double allowance = Allowance(state, now);
  if (use == RetryPriority::kOptional) allowance *= policy_.helpful_part;
  if (static_cast<double>(state.extras.Count(now)) + 1 > allowance) {
    return false;
  }
  state.extras.Add(now);
  return true;
}

}  // namespace cherrydyke
