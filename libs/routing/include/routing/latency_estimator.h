#pragma once

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace cherrydyke {

/// Estimates one quantile of a latency from the last complete window of
/// samples, so that the estimate follows changes. Thread-safe.
class LatencyEstimator {
 public:
  /// @param quantile in (0, 1).
  /// @param window_size samples in a window.
  /// @param initial estimate until the first window is complete.
  LatencyEstimator(double quantile, int window_size, absl::Duration initial);
  ~LatencyEstimator();

  void Observe(absl::Duration latency);
  absl::Duration Estimate() const;

 private:
  struct Window;
  void StartNewWindow() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const double quantile_;
  const int window_size_;
  mutable absl::Mutex mutex_;
  absl::Duration estimate_ ABSL_GUARDED_BY(mutex_);
  std::unique_ptr<Window> current_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
