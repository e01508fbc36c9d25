#pragma once

#include "absl/time/time.h"

namespace cherrydyke {

/// Adaptive limit on the requests that one host has outstanding at one target,
/// including those that wait for a connection. Additive increase while answers
/// are in time, multiplicative decrease when they are late: under overload,
/// accepted requests are served in time and the others are refused
/// immediately.
///
/// Pure: time is an argument.
class ConcurrencyLimit {
 public:
  /// Starts at the maximum.
  /// @param connections that this host may open to the target.
  explicit ConcurrencyLimit(int connections);

  void SetConnections(int connections);
  /// Falls back to one request, for a target whose backoff has just ended.
  void ResetToMinimum();

  /// Records an answer.
  /// @param latency since the request was assigned to the target, including the
  /// wait for a connection.
  /// @param max_latency beyond which answers are late.
  void OnAnswered(absl::Duration latency, absl::Duration max_latency,
                  absl::Time now);
  /// Records a request that was cancelled before it was answered. The
  /// parameters are those of `OnAnswered`.
  void OnCancelled(absl::Duration latency, absl::Duration max_latency,
                   absl::Time now);

  /// @param outstanding requests of this host that run at the target or wait.
  /// @return whether one more request may be sent.
  bool HasRoom(int outstanding) const {
    return outstanding < static_cast<int>(limit_);
  }

 private:
  double max_limit_;
  double limit_;
  absl::Time decreased_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
