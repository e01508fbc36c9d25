#include "tier/source_outage.h"

#include <algorithm>
#include <utility>

#include "tier/publishing_times.h"

namespace cherrydyke {
namespace {

/// Part of the contact time for which a host uses no expired entries, as
/// requests take time to arrive.
constexpr absl::Duration kContactMargin = absl::Milliseconds(200);

}  // namespace

void SourceOutage::OnReadFailed(absl::Time started_at, absl::Time now) {
  failing_since_ = std::min(failing_since_, started_at);
  last_failed_start_ = started_at;
  last_failed_at_ = now;
}

bool SourceOutage::OnRead(absl::Time proven_until, absl::Time now) {
  const bool was_ended_by_peer = OnProven(proven_until);
  const absl::Time began = std::max(failing_since_, proven_until);
  failing_since_ = absl::InfiniteFuture();
  // Others may have read since the last failure, while this host did not.
  if (now - began < kMinOutage || last_failed_at_ <= proven_until) {
    return was_ended_by_peer;
  }
  EndOutage(now);
  return true;
}

bool SourceOutage::OnProven(absl::Time proven_until) {
  if (proven_until <= proven_until_) return false;
  const absl::Time proven_before = std::exchange(proven_until_, proven_until);
  if (proven_until - proven_before >= kMinOutage) silence_end_ = proven_until;
  const absl::Time began = std::max(failing_since_, proven_before);
  const bool has_ended = proven_before != absl::InfinitePast() &&
                         last_failed_at_ > proven_before &&
                         proven_until - began >= kMinOutage;
  if (last_failed_at_ <= proven_until) failing_since_ = absl::InfiniteFuture();
  if (has_ended) EndOutage(proven_until);
  return has_ended;
}

void SourceOutage::EndOutage(absl::Time ended_at) {
  // If only this host's path was lost, it may have been back since the last
  // call that failed, and the time in which the host need not know what others
  // do began then.
  const absl::Time latest_end = last_failed_start_ +
                                PublishingTimes::kContactTime - kContactMargin -
                                kExpiredEntryGrace;
  recovered_at_ = std::max(recovered_at_, std::min(ended_at, latest_end));
}

bool SourceOutage::OnPeerRecovered(absl::Time recovered_at) {
  const absl::Time latest_start = recovered_at - kMinOutage;
  if (proven_until_ > latest_start && silence_end_ < latest_start) return false;
  recovered_at_ = std::max(recovered_at_, recovered_at);
  return true;
}

void SourceOutage::OnRestored(absl::Time now) {
  const bool was_away =
      now - last_failed_start_ < PublishingTimes::kContactTime;
  if (was_away) return EndOutage(now);
  recovered_at_ = std::max(recovered_at_, now);
}

}  // namespace cherrydyke
