#include "tier/publishing_times.h"

#include <algorithm>

#include "tier/poll_schedule.h"

namespace cherrydyke {

PublishingTimes PublishingTimes::For(absl::Duration bound) {
  PublishingTimes times;
  times.bound = bound;
  times.watch = kWatchRatio * bound;
  times.failure_pause = PollSchedule().PauseAfterFailure(absl::UnixEpoch(), 1);
  // A host whose peers prove nothing opens a connection, loses the response to
  // its first call, and needs another connection and call.
  const absl::Duration own_read = times.Decision() + times.LostCall() +
                                  times.failure_pause + 3 * kRoundTrip;
  times.max_peer_age =
      std::clamp((1 - kReserveRatio) * bound - kDatagramsOnWay - own_read,
                 kLeastPeerAgeRatio * bound, kMostPeerAgeRatio * bound);
  times.min_peer_age = times.max_peer_age - kPeerAgeSpreadRatio * bound;
  // The call that began before the path came back is lost, and so is the first
  // packet of a connection.
  times.max_retry_pause = (1 - kReserveRatio) * kContactTime -
                          times.LostCall() - times.Decision() - times.connect -
                          kRoundTrip;
  times.min_retry_pause = kMinRetryPauseRatio * times.max_retry_pause;
  // A host whose peers tell nothing gives up a response that trickles, and
  // calls again.
  times.receive =
      std::clamp((1 - kReserveRatio) * bound - PollSchedule::kMaxBatchPause -
                     times.failure_pause - 3 * kRoundTrip - kWithoutProcessor,
                 times.response, kMaxReceive);
  // A change that just misses a response waits until that one has arrived, for
  // half a round trip and the pause, and then for a call.
  const absl::Duration beside_path =
      PollSchedule::kMaxBatchPause + kWithoutProcessor;
  times.max_response = std::max(
      times.response, ((1 - kReserveRatio) * bound - beside_path) * 2 / 3);
  times.outage_response =
      std::max(times.max_response, (bound - beside_path) * 2 / 3);
  // A connection, and a call on it.
  times.patience = 2 * times.max_response;
  times.max_patience = std::max(times.patience, kMaxPatience);
  times.behind_log = kBehindLogRatio * bound;
  times.outdated_log = kOutdatedLogRatio * bound;
  times.retention = kContactTime + bound;
  return times;
}

absl::Duration PublishingTimes::PeerAge(double fraction) const {
  return min_peer_age + fraction * (max_peer_age - min_peer_age);
}

absl::Duration PublishingTimes::RetryPause(double fraction) const {
  return min_retry_pause + fraction * (max_retry_pause - min_retry_pause);
}

}  // namespace cherrydyke
