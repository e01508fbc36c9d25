#pragma once

#include "absl/time/time.h"

namespace cherrydyke {

/// Source of monotonic time. Values count from an arbitrary origin and can be
/// compared only within one host.
class Clock {
 public:
  virtual ~Clock() = default;

  /// @return the current time. It never decreases, and advances also while the
  /// process is stopped or the host is suspended.
  virtual absl::Time Now() const = 0;
};

/// Reads the kernel's boot-time clock.
class BootClock : public Clock {
 public:
  absl::Time Now() const override;
};

/// Clock that advances only by `Advance`, for tests of time-dependent logic.
class ManualClock : public Clock {
 public:
  absl::Time Now() const override { return now_; }
  void Advance(absl::Duration step) { now_ += step; }

 private:
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

}  // namespace cherrydyke
