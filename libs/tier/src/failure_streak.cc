#include "tier/failure_streak.h"

namespace cherrydyke {

FailureStreak FailureStreak::AfterFailure(absl::Time now) const {
  FailureStreak next =
      now - last_failure_at_ > expiry_ ? FailureStreak(expiry_) : *this;
  next.last_failure_at_ = now;
  ++next.count_;
  return next;
}

FailureStreak FailureStreak::AfterSuccessOfAnother(absl::Time called_at) const {
  FailureStreak next = *this;
  if (count_ == 0 || was_ended_by_another_) return next;
  if (called_at <= last_failure_at_) return next;
  next.count_ = 0;
  next.was_ended_by_another_ = true;
  return next;
}

}  // namespace cherrydyke
