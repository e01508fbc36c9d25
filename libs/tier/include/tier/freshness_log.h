#pragma once

#include "absl/time/time.h"
#include "membership/host_table.h"
#include "tier/fleet_gossip.h"
#include "tier/published_freshness.h"
#include "tier/publishing_times.h"

namespace cherrydyke {

/// Logs how current this host's published items are, and on whom it relies for
/// them: a line when either changes.
class FreshnessLog {
 public:
  FreshnessLog(const HostTable& hosts, const PublishedFreshness& freshness,
               const FleetGossip& gossip, const PublishingTimes& times)
      : hosts_(hosts), freshness_(freshness), gossip_(gossip), times_(times) {}

  /// @param is_reading whether this host reads the configuration service and
  /// gets responses.
  void Update(bool is_reading, absl::Time now);

 private:
  void UpdateReadsAlways(absl::Time now);
  void UpdateRole(bool is_reading, absl::Time now);
  void UpdatePeersProof(absl::Time now);
  void UpdateBehind(absl::Time now);
  void UpdateAge(absl::Time now);

  const HostTable& hosts_;
  const PublishedFreshness& freshness_;
  const FleetGossip& gossip_;
  const PublishingTimes times_;
  DisseminationRole role_ = DisseminationRole::kFollower;
  HostId source_;
  bool reads_always_ = false;
  bool peers_prove_nothing_ = false;
  bool is_behind_ = false;
  bool is_outdated_ = false;
};

}  // namespace cherrydyke
