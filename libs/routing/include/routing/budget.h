#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace cherrydyke {

/// Token bucket that limits extra requests to a fraction of primary requests,
/// so that retries and hedges cannot multiply the load when every replica is
/// slow. Thread-safe.
class RatioBudget {
 public:
  /// @param ratio tokens added for each primary request.
  /// @param burst capacity of the bucket, in tokens; it starts full.
  RatioBudget(double ratio, double burst)
      : ratio_(ratio), burst_(burst), tokens_(burst) {}

  void RecordPrimary(int units = 1) {
    const absl::MutexLock lock(&mutex_);
    tokens_ += ratio_ * units;
    if (tokens_ > burst_) tokens_ = burst_;
  }

  /// Takes a token if there is one.
  /// @return whether an extra request may be sent.
  bool TryTake() {
    const absl::MutexLock lock(&mutex_);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  const double ratio_;
  const double burst_;
  absl::Mutex mutex_;
  double tokens_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
