#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "dispatch/crash_detector.h"
#include "tier/target_set.h"

namespace cherrydyke {

/// State of one instance of a target on this host.
struct TargetSet::Target : private engine::ConnectionPool::Listener {
  Target(TargetSet& owner, TargetInfo target_info, Distance target_distance,
         absl::Duration assumed_round_trip);

  bool IsCold(absl::Time now) const { return now < cold_until; }
  TargetInstance instance() const {
    return {info.id, info.endpoint, info.start_time_ms};
  }

  TargetSet& set;
  TargetInfo info;
  /// Identifies the target in health reports exchanged between hosts.
  const uint32_t id_hash;
  /// Identifies this instance in crash reports exchanged between hosts.
  const uint32_t instance_hash;
  const Distance distance;
  /// Network round trip assumed from the target's distance.
  const absl::Duration round_trip;
  TargetHealth health;
  ColdSendLimiter cold_limiter;
  StatedRateLimiter stated_rate;
  absl::Time cold_until = absl::InfinitePast();
  /// Requests per second that this host may send while the target is cold.
  int cold_share_per_s = 0;
  /// This host's rank among those that share the target's limits.
  FleetRank rank;
  int connection_limit = 1;
  /// Until when this host, whose share is zero, may use one connection.
  absl::Time borrowed_until = absl::InfinitePast();
  /// Whether a connection may be kept open for hedges alone.
  bool may_keep_idle = true;
  ConcurrencyLimit concurrency{connection_limit};
  /// When the target is removed; finite once it is no longer listed.
  absl::Time expires_at = absl::InfiniteFuture();
  /// Whether another target has its address.
  bool has_wrong_address = false;
  /// Whether it was reported as withdrawn.
  bool is_withdrawn = false;
  /// Whether it announced its shutdown in a response.
  bool leaving = false;
  /// End of the backoff that it asked for.
  absl::Time backoff_until = absl::InfinitePast();
  /// End of a backoff that it asked another host for, as that host reported.
  absl::Time peer_backoff_until = absl::InfinitePast();
  /// When this instance was first listed here.
  const absl::Time first_listed_at;
  std::unique_ptr<engine::ConnectionPool> pool;

  /// Finds out whether the target crashed under an attempt without a response.
  void OnUnanswered(AttemptLoss loss, absl::Time sent_at,
                    CrashDetector::OnVerdict on_verdict);
  /// @return whether the last attempt to connect failed.
  bool is_unreachable() const {
    return unreachable_since_ != absl::InfiniteFuture();
  }
  void OnResponse();
  /// The path to all targets works again after it was lost: this target's
  /// silence since then is explained.
  void OnPathRestored(absl::Time lost_at);
  /// The instance is no longer listed, or another one was found in its place.
  void OnInstanceEnded();
  /// The entry was published again after another instance was found in its
  /// place.
  void OnListedAgain() { crash_detector_.OnListedAgain(); }

 private:
  void OnConnectFailed(bool refused) override;
  void OnClosedBeforeResponse() override;
  void OnConnected() override;
  void OnLateConnected() override;
  /// Polls the crash detector and probes the target while it needs evidence.
  void ProbeForCrash();

  CrashDetector crash_detector_;
  bool probing_for_crash_ = false;
  engine::TimerScope timers_{set.loop_};
  /// Since when connection attempts fail; infinite if they do not.
  absl::Time unreachable_since_ = absl::InfiniteFuture();
};

}  // namespace cherrydyke
