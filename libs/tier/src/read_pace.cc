#include "tier/read_pace.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// Pause after a single change, and the longest one while they go on: short
/// against the seconds in which they must be in force.
constexpr absl::Duration kFirstBatchPause = absl::Milliseconds(60);
constexpr absl::Duration kLongestBatchPause = absl::Milliseconds(240);
/// Changes further apart than this come one by one.
constexpr absl::Duration kCalmTime = absl::Seconds(2);
/// Pause after failures: doubled each time, up to the longest, and spread by
/// half to both sides, so that one of the hosts calls soon after the service is
/// back.
constexpr absl::Duration kFirstFailurePause = absl::Milliseconds(100);
constexpr absl::Duration kLongestFailurePause = absl::Seconds(1);
constexpr int kMostDoublings = 6;
constexpr double kSpread = 0.5;

}  // namespace

absl::Duration PollSchedule::PauseAfterChanges(absl::Time now) {
  const bool goes_on = now - changed_at_ < kCalmTime;
  changed_at_ = now;
  batch_pause_ = goes_on ? std::min(batch_pause_ * 2, kLongestBatchPause)
                         : kFirstBatchPause;
  return batch_pause_;
}

absl::Duration PollSchedule::PauseAfterFailure(double draw) {
  const absl::Duration pause =
      std::min(kLongestFailurePause,
               kFirstFailurePause * (1 << std::min(failures_, kMostDoublings)));
  ++failures_;
  return pause * (1 + kSpread * (2 * draw - 1));
}

}  // namespace cherrydyke
