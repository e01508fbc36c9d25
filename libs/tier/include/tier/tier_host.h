#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/clock.h"
#include "dispatch/shutdown_schedule.h"
#include "tier/fleet_gossip.h"
#include "tier/freshness_log.h"
#include "tier/handover_client.h"
#include "tier/handover_server.h"
#include "tier/machine_resources.h"
#include "tier/protocol_adapter.h"
#include "tier/published_freshness.h"
#include "tier/published_source.h"
#include "tier/publishing_times.h"
#include "tier/request_handler.h"
#include "tier/source_call_log.h"
#include "tier/source_outage.h"
#include "tier/target_set.h"

namespace cherrydyke {

/// Settings of one host.
struct TierSettings {
  Locality locality;
  /// Listens for callers.
  Endpoint caller_endpoint;
  /// Serves readiness checks.
  Endpoint ready_endpoint;
  /// Serves metrics; empty to serve none.
  Endpoint metrics_endpoint;
  /// UDP and TCP port used between hosts.
  int fleet_port = 0;
  std::vector<HostId> seeds;
  FleetLimits bounds;
  Policy policy;
  /// Time between the termination signal and the kill.
  absl::Duration shutdown_grace = absl::Seconds(6);
  /// Time within which every published change must take effect on every host.
  absl::Duration change_deadline = absl::Seconds(4);
  /// Bounds what callers' connections may hold.
  MachineResources machine;

  friend bool operator==(const TierSettings& a, const TierSettings& b) {
    return std::tie(a.locality, a.caller_endpoint, a.ready_endpoint,
                    a.metrics_endpoint, a.fleet_port, a.seeds, a.bounds,
                    a.policy, a.shutdown_grace, a.change_deadline, a.machine) ==
           std::tie(b.locality, b.caller_endpoint, b.ready_endpoint,
                    b.metrics_endpoint, b.fleet_port, b.seeds, b.bounds,
                    b.policy, b.shutdown_grace, b.change_deadline, b.machine);
  }
};

/// The platform-specific parts of a host; see `platform/`.
struct TierAdapters {
  const ProtocolAdapter& protocol;
  const PublishedDecoder& decoder;
  PublishedSource& source;
};

/// One host of the tier: its servers, request handler, targets and gossip, all
/// on one event loop.
class TierHost : private PublishedSource::Listener {
 public:
  TierHost(engine::EventLoop& loop, TierSettings settings,
           TierAdapters adapters);

  /// Starts to listen and to read the configuration.
  /// @return an error if a required port cannot be bound.
  Status Start();

  /// Reports not ready, lets running requests finish, then stops the loop.
  void BeginShutdown();

  /// Replaces the seeds after a change of the settings.
  void SetSeeds(const std::vector<HostId>& seeds) { hosts_.SetSeeds(seeds); }

 private:
  void OnRead(absl::Time current_until, bool config, bool targets) override;
  void OnReadFailed(absl::Time started_at) override;
  void OnReadMissed() override;
  void OnCall(const SourceCall& call) override;

  void LogOutageEnd() const;
  void MeasureLateness();
  /// Decides whether this host reads the configuration service itself.
  void UpdateReaderRole();
  /// Applies changed published items.
  void ApplyPublished(bool config, bool targets);
  /// The service may have come back from an older copy: what it has lost stays
  /// in force until it is published again, or the retention ends.
  void FollowEra();
  void EndRetention();
  void ApplyConfig();
  void ApplyTargets();
  void LogLoad();
  bool IsReady() const;
  /// @return what this host offers to hosts that cannot reach targets.
  HandoverOffer MakeHandoverOffer() const;
  void ServeFleet(const std::shared_ptr<engine::ServerExchange>& exchange);
  void ServeReadiness(engine::ServerExchange& exchange);
  /// Logs and counts a connection that a limit has ended.
  void OnLimited(const engine::ServerGroup& group,
                 const engine::LimitedConnection& limited);
  void ServeMetrics(engine::ServerExchange& exchange);
  /// Ends what is due to end in the shutdown; stops the loop once all responses
  /// are written, or when the process has to exit.
  void ContinueShutdown();
  void RegisterGauges();
  /// @return time since this host was proven to have every published change,
  /// or since its start.
  absl::Duration PublishedAge() const;
  PublishedState MakePublishedState() const;
  /// @return time since this host knows that a peer has newer items; zero if it
  /// knows of none.
  absl::Duration TimeBehind() const;

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const TierSettings settings_;
  const TierAdapters adapters_;
  const PublishingTimes times_;
  Metrics metrics_;
  PublishedItems config_items_{RestorePolicy::ForConfig()};
  PublishedItems target_items_{RestorePolicy::ForTargets()};
  /// The era of the items that are in force.
  SourceEra era_;
  HostTable hosts_;
  PublishedFreshness freshness_;
  CrashTracker crashes_;
  TargetSet targets_;
  ConfigVersions versions_;
  HandoverClient handovers_;
  RequestHandler request_handler_;
  HandoverServer handover_server_;
  FleetGossip gossip_;
  FreshnessLog freshness_log_;
  engine::ServerLimits limits_;
  /// Of all servers that callers can reach.
  engine::ServerGroup caller_group_;
  /// Of the server for other hosts.
  engine::ServerGroup peer_group_;
  /// Serves requests of other hosts.
  engine::HttpServer fleet_server_;
  engine::HttpServer caller_server_;
  engine::HttpServer readiness_server_;
  engine::HttpServer metrics_server_;
  SourceOutage source_outage_;
  SourceCallLog source_call_log_{metrics_};
  absl::Time shutdown_started_at_ = absl::InfiniteFuture();
  std::optional<ShutdownSchedule> shutdown_;
  bool stopped_accepting_ = false;
  /// When `UpdateReaderRole` is to run next, and how late it last ran.
  absl::Time next_check_at_ = absl::InfiniteFuture();
  absl::Duration lateness_;
  /// The most since the last line with the host's counters.
  absl::Duration max_lateness_;
};

}  // namespace cherrydyke
