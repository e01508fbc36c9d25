#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "tier/target_set.h"

namespace cherrydyke {

/// One target as this host knows it.
struct TargetSet::Target : private engine::ConnectionPool::Listener {
  Target(TargetSet& owner, TargetInfo target_info, Distance from_here,
         absl::Duration trip);

  bool IsCold(absl::Time now) const { return now < cold_until; }
  TargetInstance lifetime() const {
    return {info.id, info.endpoint, info.start_time_ms};
  }

  TargetSet& set;
  TargetInfo info;
  /// Under which hosts tell each other of it.
  const uint32_t hash;
  const Distance distance;
  /// Time to the target and back, as far as its place tells.
  const absl::Duration round_trip;
  TargetHealth health;
  ColdSendLimiter cold;
  absl::Time cold_until = absl::InfinitePast();
  /// Requests that this host may send in a second while the target is cold.
  int cold_share = 0;
  /// This host's place among those that share the target's limits.
  FleetRank rank;
  int connection_limit = 1;
  /// Until then this host has one connection beyond its share of none.
  absl::Time borrowed_until = absl::InfinitePast();
  /// Whether a connection may be kept open that only a hedge would use.
  bool may_keep_spare = true;
  ConcurrencyLimit concurrency{connection_limit};
  /// When a target that is no longer listed is dropped.
  absl::Time gone_at = absl::InfiniteFuture();
  /// Another target has its address.
  bool wrong = false;
  /// It has said so in an answer.
  bool leaving = false;
  /// Until then it wants nothing.
  absl::Time opens_at = absl::InfinitePast();
  /// As `opens_at`, for a host that told this one.
  absl::Time closed_elsewhere_until = absl::InfinitePast();
  /// When this host first heard of this lifetime.
  const absl::Time listed_at;
  std::unique_ptr<engine::ConnectionPool> pool;

  /// A connection broke while a request ran: finds out whether the target
  /// crashed.
  /// @param on_crash called if it did.
  void OnLostRequest(std::function<void()> on_crash);

 private:
  void OnConnectFailed(bool refused) override;
  void OnTurnedAway() override;
  void OnConnected() override;
  void ConfirmCrash();
  /// Drops lost requests that are explained, and looks for evidence of the
  /// others.
  void ExplainLost();

  /// Requests whose connections broke lately, not yet explained.
  struct Lost {
    absl::Time at;
    std::function<void()> on_crash;
  };
  std::vector<Lost> lost_;
  bool explaining_ = false;
  engine::TimerScope timers_{set.loop_};
  bool unreachable_ = false;
};

}  // namespace cherrydyke
