#include "tier/publishing_times.h"

#include "tier/poll_schedule.h"

namespace cherrydyke {

PublishingTimes PublishingTimes::For(absl::Duration bound) {
  PublishingTimes times;
  times.bound = bound;
  times.watch = kWatchRatio * bound;
  times.failure_pause = PollSchedule().PauseAfterFailure(1);
  times.min_peer_age = kMinPeerAgeRatio * bound;
  times.max_peer_age = kMaxPeerAgeRatio * bound;
  times.behind_log = kBehindLogRatio * bound;
  times.outdated_log = kOutdatedLogRatio * bound;
  return times;
}

absl::Duration PublishingTimes::PeerAge(double fraction) const {
  return min_peer_age + fraction * (max_peer_age - min_peer_age);
}

absl::Duration PublishingTimes::RetryPause(double fraction) const {
  return min_retry_pause + fraction * (max_retry_pause - min_retry_pause);
}

}  // namespace cherrydyke
