#pragma once

#include <deque>
#include <string>
#include <tuple>

#include "absl/time/time.h"

namespace cherrydyke {

/// What a call shows of the time that a service and the path to it take.
struct CallDuration {
  absl::Duration least;
  /// Infinite for a call that was not answered.
  absl::Duration most;

  /// @param wait how long the service was to hold the call while nothing
  /// changes: an earlier answer was held for an unknown part of its time.
  static CallDuration Answered(absl::Duration elapsed, absl::Duration wait);
  static CallDuration Unanswered(absl::Duration elapsed, absl::Duration wait);

  bool is_exact() const { return least == most; }
  bool is_answered() const { return most != absl::InfiniteDuration(); }
  /// @return milliseconds: `42`, `<300` if at most known, `600+` if not
  /// answered.
  std::string ToString() const;

  friend bool operator==(const CallDuration& a, const CallDuration& b) {
    return std::tie(a.least, a.most) == std::tie(b.least, b.most);
  }
};

/// The last calls' durations, and whether calls are slow now, with hysteresis:
/// single slow calls, and single fast ones between them, change nothing.
///
/// Calls that were not answered count for neither: lost and slow calls look
/// alike until an answer comes.
class CallDurations {
 public:
  /// Calls are slow after `kCallsUntilSlow` in a row that took `kSlow` or more,
  /// and fast again after `kCallsUntilFast` in a row that took less than
  /// `kFast`.
  static constexpr absl::Duration kSlow = absl::Milliseconds(250);
  static constexpr absl::Duration kFast = absl::Milliseconds(150);
  static constexpr int kCallsUntilSlow = 2;
  static constexpr int kCallsUntilFast = 4;
  static constexpr size_t kMaxKept = 8;

  /// @return whether calls became slow or fast again with this one.
  bool Add(const CallDuration& duration);

  bool are_slow() const { return are_slow_; }
  /// @return the oldest first.
  const std::deque<CallDuration>& last() const { return last_; }
  std::string ToString() const;

 private:
  std::deque<CallDuration> last_;
  bool are_slow_ = false;
  /// Calls in a row that speak for the other state.
  int against_ = 0;
};

}  // namespace cherrydyke
