#pragma once

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace cherrydyke {

/// Learns one quantile of a latency from the newest one or two windows of
/// samples, so that it follows changes. Thread-safe.
class LatencyEstimator {
 public:
  /// @param quantile in (0, 1).
  /// @param window samples after which older ones are forgotten.
  /// @param initial stated until there are enough samples.
  LatencyEstimator(double quantile, int window, absl::Duration initial);
  ~LatencyEstimator();

  void Observe(absl::Duration latency);
  absl::Duration Estimate() const;

 private:
  struct Window;
  void Rotate() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const double quantile_;
  const int window_;
  mutable absl::Mutex mutex_;
  absl::Duration settled_ ABSL_GUARDED_BY(mutex_);
  std::unique_ptr<Window> current_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
