#pragma once

#include "absl/time/time.h"

namespace cherrydyke {

/// When a reader of the configuration service calls it next. Each call costs,
/// and changes must be in force within seconds: changes that come one after the
/// other are fetched together, the further apart the longer they go on, and a
/// service that does not answer is asked less and less often.
///
/// Answers the load of storms of changes and of a service that is slow or away.
/// Pure: time and randomness are arguments.
class PollSchedule {
 public:
  /// @return the pause after a call that brought changes.
  absl::Duration PauseAfterChanges(absl::Time now);
  /// @return the pause after a call that was not answered.
  /// @param draw a random number in [0, 1), so that hosts do not call together.
  absl::Duration PauseAfterFailure(double draw);
  /// A call was answered.
  void OnSuccess() { failures_ = 0; }

  int failures() const { return failures_; }

 private:
  absl::Time last_change_at_ = absl::InfinitePast();
  absl::Duration batch_pause_;
  int failures_ = 0;
};

}  // namespace cherrydyke
