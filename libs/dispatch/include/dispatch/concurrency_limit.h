#pragma once

#include "absl/time/time.h"

namespace cherrydyke {

/// How many requests one host may have at one target at once, those that wait
/// for a connection included. Learned from whether answers come in time: it
/// rises while they do and falls when they are late, so that what is accepted
/// is served in time and the rest is refused at once.
///
/// Answers the load of more requests than the targets of a service bear. Pure:
/// time is an argument.
class ConcurrencyLimit {
 public:
  /// Begins as high as the connections allow.
  /// @param connections that this host may have to the target.
  explicit ConcurrencyLimit(int connections);

  void SetConnections(int connections);
  /// Begins anew with one request, as with a target that asked for time.
  void ResetToMinimum();

  /// A request was answered.
  /// @param spent time since it was given to the target, waiting included.
  /// @param useful time after which answers are late.
  void OnAnswered(absl::Duration spent, absl::Duration useful, absl::Time now);
  /// A request was given up without an answer.
  void OnCancelled(absl::Duration spent, absl::Duration useful, absl::Time now);

  /// @param outstanding requests that are at the target or wait for it.
  bool HasRoom(int outstanding) const {
    return outstanding < static_cast<int>(limit_);
  }

 private:
  double most_;
  double limit_;
  absl::Time reduced_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
