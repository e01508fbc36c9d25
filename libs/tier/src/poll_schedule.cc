#include "tier/poll_schedule.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// Pause after a single change, and the longest one while they go on: short
/// against the seconds in which they must be in force.
constexpr absl::Duration kMinBatchPause = absl::Milliseconds(60);
constexpr absl::Duration kMaxBatchPause = absl::Milliseconds(240);
/// Changes further apart than this come one by one.
constexpr absl::Duration kBatchResetTime = absl::Seconds(2);
/// Pause after failures: doubled each time, up to the longest, and spread by
/// half to both sides, so that one of the hosts calls soon after the service is
/// back.
constexpr absl::Duration kMinFailurePause = absl::Milliseconds(100);
constexpr absl::Duration kMaxFailurePause = absl::Seconds(1);
constexpr int kMaxDoublings = 6;
constexpr double kJitterRatio = 0.5;

}  // namespace

absl::Duration PollSchedule::PauseAfterChanges(absl::Time now) {
  const bool continues = now - last_change_at_ < kBatchResetTime;
  last_change_at_ = now;
  batch_pause_ =
      continues ? std::min(batch_pause_ * 2, kMaxBatchPause) : kMinBatchPause;
  return batch_pause_;
}

absl::Duration PollSchedule::PauseAfterFailure(double draw) {
  const absl::Duration pause =
      std::min(kMaxFailurePause,
               kMinFailurePause * (1 << std::min(failures_, kMaxDoublings)));
  ++failures_;
  return pause * (1 + kJitterRatio * (2 * draw - 1));
}

}  // namespace cherrydyke
