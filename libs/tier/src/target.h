#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "tier/target_set.h"

namespace cherrydyke {

/// One target as this host knows it.
struct TargetSet::Target : private engine::ConnectionPool::Listener {
  Target(TargetSet& owner, TargetInfo target_info, Distance target_distance,
         absl::Duration assumed_round_trip);

  bool IsCold(absl::Time now) const { return now < cold_until; }
  TargetLifetime lifetime() const {
    return {info.id, info.endpoint, info.born_ms};
  }

  TargetSet& set;
  TargetInfo info;
  /// Under which hosts tell each other of it.
  const uint32_t id_hash;
  const Distance distance;
  /// Time to the target and back, as far as its place tells.
  const absl::Duration round_trip;
  TargetHealth health;
  ColdAllowance cold_allowance;
  absl::Time cold_until = absl::InfinitePast();
  /// Requests that this host may send in a second while the target is cold.
  int cold_share_per_s = 0;
  /// This host's place among those that share the target's limits.
  FleetRank rank;
  int connection_limit = 1;
  /// Until then this host has one connection beyond its share of none.
  absl::Time borrowed_until = absl::InfinitePast();
  /// Whether a connection may be kept open that only a hedge would use.
  bool may_keep_idle_connection = true;
  ConcurrencyLimit concurrency{connection_limit};
  /// When a target that is no longer listed is dropped.
  absl::Time expires_at = absl::InfiniteFuture();
  /// Another target has its address.
  bool has_wrong_address = false;
  /// It has said so in an answer.
  bool leaving = false;
  /// Until then it wants nothing.
  absl::Time backoff_until = absl::InfinitePast();
  /// As `opens_at`, for a host that told this one.
  absl::Time peer_backoff_until = absl::InfinitePast();
  /// When this host first heard of this lifetime.
  const absl::Time first_listed_at;
  std::unique_ptr<engine::ConnectionPool> pool;

  /// A connection broke while a request ran: finds out whether the target
  /// crashed.
  /// @param on_crash called if it did.
  void OnConnectionLost(std::function<void()> on_crash);

 private:
  void OnConnectFailed(bool refused) override;
  void OnClosedBeforeResponse() override;
  void OnConnected() override;
  void ReportCrash();
  /// Drops lost requests that are explained, and looks for evidence of the
  /// others.
  void ProbeForCrash();

  /// Requests whose connections broke lately, not yet explained.
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
