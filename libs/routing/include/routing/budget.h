#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace cherrydyke {

/// Bounds extra work to a fraction of primary work, so that retries and hedges
/// cannot multiply load when everything is slow. Thread-safe.
class RatioBudget {
 public:
  /// @param ratio extra units allowed for each primary unit.
  /// @param burst extra units that may be saved up.
  RatioBudget(double ratio, double burst)
      : ratio_(ratio), burst_(burst), tokens_(burst) {}

  void RecordPrimary(int units = 1) {
    const absl::MutexLock lock(&mutex_);
    tokens_ += ratio_ * units;
    if (tokens_ > burst_) tokens_ = burst_;
  }

  /// @return whether one extra unit may be sent.
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
