#pragma once

#include <tuple>

#include "absl/time/time.h"

namespace cherrydyke {

/// Calls to a service that have failed in a row, as far as they tell something
/// of the next call.
///
/// A response to another host's call shows that the service is back, but not
/// that the path of this host is. It therefore ends a streak only once until a
/// call of this host succeeds or the streak expires: a host that the service
/// turns away alone starts its backoff anew once, not at each such response.
///
/// Immutable: each event returns the streak after it.
class FailureStreak {
 public:
  /// @param expiry time after the last failure from which the next one is of
  /// another outage.
  explicit FailureStreak(absl::Duration expiry) : expiry_(expiry) {}

  /// @return the streak after a failure.
  FailureStreak AfterFailure(absl::Time now) const;
  /// @return the streak after a call that succeeded.
  FailureStreak AfterSuccess() const { return FailureStreak(expiry_); }
  /// @return the streak after news of another host's call that succeeded.
  /// @param called_at a time not after the begin of that call.
  FailureStreak AfterSuccessOfAnother(absl::Time called_at) const;

  int count() const { return count_; }
  absl::Time last_failure_at() const { return last_failure_at_; }
  /// @return whether the last call failed, also if the streak was ended by
  /// another host's call.
  bool last_call_failed() const { return count_ > 0 || was_ended_by_another_; }

  friend bool operator==(const FailureStreak& a, const FailureStreak& b) {
    return a.Key() == b.Key();
  }
  friend bool operator!=(const FailureStreak& a, const FailureStreak& b) {
    return !(a == b);
  }

 private:
  std::tuple<absl::Duration, absl::Time, int, bool> Key() const {
    return {expiry_, last_failure_at_, count_, was_ended_by_another_};
  }

  absl::Duration expiry_;
  absl::Time last_failure_at_ = absl::InfinitePast();
  int count_ = 0;
  bool was_ended_by_another_ = false;
};

}  // namespace cherrydyke
