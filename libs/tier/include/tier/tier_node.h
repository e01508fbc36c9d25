#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/clock.h"
#include "tier/caller_face.h"
#include "tier/fleet_link.h"
#include "tier/published_source.h"
#include "tier/query_plane.h"
#include "tier/target_set.h"

namespace cherrydyke {

/// What a host of the tier is told at its start.
struct TierSettings {
  Locality locality;
  /// Where callers connect.
  Endpoint caller_endpoint;
  /// Where readiness is asked.
  Endpoint ready_endpoint;
  /// Where metrics are read; empty for nowhere.
  Endpoint metrics_endpoint;
  /// Port between hosts.
  int fleet_port = 0;
  std::vector<HostId> seeds;
  FleetLimits bounds;
  Policy policy;
  /// Time between the signal to stop and the kill.
  absl::Duration stop_grace = absl::Seconds(6);

  friend bool operator==(const TierSettings& a, const TierSettings& b) {
    return std::tie(a.locality, a.caller_endpoint, a.ready_endpoint,
                    a.metrics_endpoint, a.fleet_port, a.seeds, a.bounds,
                    a.policy, a.stop_grace) ==
           std::tie(b.locality, b.caller_endpoint, b.ready_endpoint,
                    b.metrics_endpoint, b.fleet_port, b.seeds, b.bounds,
                    b.policy, b.stop_grace);
  }
};

/// The translations that a tier needs; see `platform/`.
struct TierFaces {
  const CallerFace& callers;
  const PublishedDecoder& decoder;
  PublishedSource& source;
};

/// One host of the tier: everything between its callers and its targets, on
/// one loop.
class TierNode : private PublishedSource::Listener {
 public:
  TierNode(engine::EventLoop& loop, TierSettings settings, TierFaces faces);

  /// Starts to listen and to read the configuration.
  Status Start();

  /// Reports not ready, lets callers finish, then stops the loop.
  void BeginStop();

  /// Takes seeds from changed settings.
  void SetSeeds(const std::vector<HostId>& seeds) { hosts_.SetSeeds(seeds); }

 private:
  void OnPublished(bool config, bool targets) override;
  void OnSourceRegained() override;

  /// Decides whether this host reads the configuration service itself.
  void ChooseReader();
  /// Puts changed items in force.
  void Apply(bool config, bool targets);
  void ApplyConfig();
  void ApplyTargets();
  void LogLoad();
  bool IsReady() const;
  void ServeReadiness(engine::ServerExchange& exchange);
  void ServeMetrics(engine::ServerExchange& exchange);
  void ContinueStop();
  void RegisterGauges();

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const TierSettings settings_;
  const TierFaces faces_;
  Metrics metrics_;
  PublishedItems config_items_;
  PublishedItems target_items_;
  HostTable hosts_;
  CrashTracker crashes_;
  TargetSet targets_;
  QueryPlane queries_;
  FleetLink fleet_;
  engine::ServerLimits limits_;
  engine::HttpServer callers_;
  engine::HttpServer readiness_;
  engine::HttpServer metrics_server_;
  absl::Time regained_at_ = absl::InfinitePast();
  std::optional<absl::Time> stopping_since_;
};

}  // namespace cherrydyke
