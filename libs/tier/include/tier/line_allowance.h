#pragma once

#include <cstdint>

#include "absl/time/time.h"

namespace cherrydyke {

/// Log lines about requests after a change: some at any distance from it, so
/// that lines are bounded by the changes, whatever the traffic.
///
/// Pure: time is an argument.
class LineAllowance {
 public:
  static constexpr int kSlots = 8;
  static constexpr int kLinesPerSlot = 4;

  /// @param window time after the change for which lines are due.
  LineAllowance(absl::Time changed_at, absl::Duration window)
      : changed_at_(changed_at), window_(window) {}

  absl::Time changed_at() const { return changed_at_; }
  bool IsOver(absl::Time now) const { return now - changed_at_ >= window_; }
  /// @return whether a line is due; counts it.
  bool Take(absl::Time now) {
    if (IsOver(now)) return false;
    const auto slot =
        static_cast<int>((now - changed_at_) / (window_ / kSlots));
    if (slot != slot_) {
      slot_ = slot;
      taken_ = 0;
    }
    return taken_++ < kLinesPerSlot;
  }

 private:
  absl::Time changed_at_;
  absl::Duration window_;
  int slot_ = 0;
  int taken_ = 0;
};

}  // namespace cherrydyke
