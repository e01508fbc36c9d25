#include "tier/poll_schedule.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// Changes further apart than this count as isolated.
constexpr absl::Duration kBatchResetTime = absl::Seconds(2);
/// Pause after a failure, doubled each time up to the maximum, with a jitter of
/// half to either side, so that one of the hosts calls soon after the service
/// has recovered.
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

absl::Duration PollSchedule::PauseAfterFailure(absl::Time now,
                                               double random_fraction) {
  failures_ = failures_.AfterFailure(now);
  const int doublings = std::min(failures_.count() - 1, kMaxDoublings);
  const absl::Duration pause =
      std::min(kMaxFailurePause, kMinFailurePause * (1 << doublings));
  return pause * (1 + kJitterRatio * (2 * random_fraction - 1));
}

}  // namespace cherrydyke
