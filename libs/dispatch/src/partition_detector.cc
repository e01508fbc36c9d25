#include "dispatch/partition_detector.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {
namespace {

/// Fewer silent targets are no sign of a partition: a request often waits for
/// several targets that pause at the same time.
constexpr size_t kMinSilentTargets = 3;
/// Part of the recently used targets that must be silent.
constexpr double kMinSilentPart = 0.5;
/// How long a target counts as recently used.
constexpr absl::Duration kRecentTime = absl::Seconds(2);
/// Time between the starts of two rounds of probes.
constexpr absl::Duration kProbePeriod = absl::Milliseconds(400);
/// Connected probes of one round that show that the path works.
constexpr int kMinConnectedProbes = 2;
/// A partition that follows another within this time needs twice as many good
/// rounds to end, up to a maximum.
constexpr absl::Duration kFlapTime = absl::Seconds(10);
constexpr int kMaxGoodRounds = 4;
/// Time after a partition in which connection attempts made during it may still
/// fail.
constexpr absl::Duration kSettlingTime = absl::Milliseconds(500);

}  // namespace

void PartitionDetector::OnSent(uint32_t target, absl::Time now) {
  sent_at_[target] = now;
}

void PartitionDetector::OnResponse(absl::Time now) {
  last_contact_at_ = now;
  if (state_ != PathState::kConnected) return Restore(now);
  silent_.clear();
  unconnected_.clear();
}

void PartitionDetector::OnUnanswered(uint32_t target, absl::Time now) {
  silent_.insert(target);
  if (state_ != PathState::kConnected || silent_.size() < kMinSilentTargets) {
    return;
  }
  ForgetOldSends(now);
  if (static_cast<double>(silent_.size()) >=
      kMinSilentPart * static_cast<double>(sent_at_.size())) {
    Suspect(now);
  }
}

void PartitionDetector::OnUnconnected(uint32_t target, bool any_connected,
                                      absl::Time now) {
  unconnected_.insert(target);
  // Requests on connections that live on tell whether the path works.
  if (state_ != PathState::kConnected || any_connected) return;
  const auto without_response =
      std::count_if(unconnected_.begin(), unconnected_.end(),
                    [&](uint32_t other) { return !silent_.contains(other); });
  if (silent_.size() + static_cast<size_t>(without_response) >=
      kMinSilentTargets) {
    Suspect(now);
  }
}

void PartitionDetector::Suspect(absl::Time now) {
  state_ = PathState::kSuspected;
  silent_since_ = now;
  if (now - restored_at_ > kFlapTime) {
    needed_good_rounds_ = 1;
  }
  good_rounds_ = 0;
  late_probes_connected_ = 0;
}

void PartitionDetector::Restore(absl::Time now) {
  if (state_ == PathState::kPartitioned) {
    restored_at_ = now;
    needed_good_rounds_ = std::min(2 * needed_good_rounds_, kMaxGoodRounds);
  }
  state_ = PathState::kConnected;
  silent_since_ = absl::InfiniteFuture();
  silent_.clear();
  unconnected_.clear();
}

bool PartitionDetector::StartProbeRound(absl::Time now) {
  if (state_ == PathState::kConnected || round_running_ ||
      now - round_started_at_ < kProbePeriod) {
    return false;
  }
  round_started_at_ = now;
  round_running_ = true;
  probes_connected_ = 0;
  probes_failed_ = 0;
  return true;
}

void PartitionDetector::OnProbeEnded(bool connected, absl::Time now) {
  ++(connected ? probes_connected_ : probes_failed_);
  if (!connected) return;
  last_contact_at_ = now;
  if (state_ == PathState::kSuspected) Restore(now);
}

void PartitionDetector::OnLateProbeConnected(absl::Time now) {
  last_contact_at_ = now;
  if (state_ == PathState::kSuspected) return Restore(now);
  ++late_probes_connected_;
}

void PartitionDetector::OnRoundEnded(absl::Time now) {
  round_running_ = false;
  const int late = std::exchange(late_probes_connected_, 0);
  if (state_ == PathState::kSuspected) {
    if (probes_failed_ > 0) state_ = PathState::kPartitioned;
    return;
  }
  if (state_ != PathState::kPartitioned) return;
  const int connected = probes_connected_ + late;
  const bool good = connected >= kMinConnectedProbes ||
                    (connected > 0 && probes_failed_ <= late);
  good_rounds_ = good ? good_rounds_ + 1 : 0;
  if (good_rounds_ >= needed_good_rounds_) Restore(now);
}

void PartitionDetector::ForgetOldSends(absl::Time now) {
  absl::erase_if(sent_at_, [now](const auto& entry) {
    return now - entry.second > kRecentTime;
  });
}

bool PartitionDetector::IsPathTrusted(absl::Time now) const {
  return state_ == PathState::kConnected && now - restored_at_ >= kSettlingTime;
}

PartitionEvidence PartitionDetector::evidence() const {
  return {silent_.size(),    unconnected_.size(), sent_at_.size(),
          probes_connected_, probes_failed_,      last_contact_at_};
}

}  // namespace cherrydyke
