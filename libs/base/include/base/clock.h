#pragma once

#include "absl/time/time.h"

namespace cherrydyke {

/// Source of monotonic time. The values count from an arbitrary origin and are
/// comparable only within one host.
class Clock {
 public:
  virtual ~Clock() = default;

  /// @return the current instant; never decreases, and advances while the
  /// process is stopped or the host is suspended.
  virtual absl::Time Now() const = 0;
};

/// Reads the kernel's boot-time clock.
class BootClock : public Clock {
 public:
  absl::Time Now() const override;
};

/// A clock that moves only when told to, for tests of decision logic.
class ManualClock : public Clock {
 public:
  absl::Time Now() const override { return now_; }
  void Advance(absl::Duration step) { now_ += step; }

 private:
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

}  // namespace cherrydyke
