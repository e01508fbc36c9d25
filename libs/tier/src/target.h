#pragma once

#include <functional>
#include <memory>
#include <vector>

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
  const Distance distance;
  /// Network round trip assumed from the target's distance.
  const absl::Duration round_trip;
  TargetHealth health;
  ColdSendLimiter cold_limiter;
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
  /// Whether it announced its shutdown in a response.
  bool leaving = false;
  /// End of the backoff that it asked for.
  absl::Time backoff_until = absl::InfinitePast();
  /// End of a backoff that it asked another host for, as that host reported.
  absl::Time peer_backoff_until = absl::InfinitePast();
  /// When this instance was first listed here.
  const absl::Time first_listed_at;
  std::unique_ptr<engine::ConnectionPool> pool;

  /// A connection was lost while a request ran: probes whether the target
  /// crashed.
  /// @param on_crash called if it did.
  void OnConnectionLost(std::function<void()> on_crash);

 private:
  void OnConnectFailed(bool refused) override;
  void OnClosedBeforeResponse() override;
  void OnConnected() override;
  void ReportCrash();
  /// Drops lost requests that a crash can no longer explain and probes the
  /// target for the others.
  void ProbeForCrash();

  /// A request whose connection was lost for a reason not yet known.
  struct LostRequest {
    absl::Time at;
    std::function<void()> on_crash;
  };
  std::vector<LostRequest> lost_requests_;
  bool probing_for_crash_ = false;
  engine::TimerScope timers_{set.loop_};
  bool unreachable_ = false;
};

}  // namespace cherrydyke
