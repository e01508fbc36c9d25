#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/config_versions.h"
#include "dispatch/handover_choice.h"
#include "dispatch/handover_wait.h"
#include "dispatch/policy.h"
#include "engine/connection_pool.h"
#include "engine/http_server.h"
#include "membership/host_table.h"
#include "telemetry/log_rate_limiter.h"
#include "telemetry/metrics.h"
#include "tier/protocol_adapter.h"

namespace cherrydyke {

class HandoverPeers;

/// A caller's request that this host cannot send to targets.
struct OutgoingHandover {
  std::shared_ptr<engine::ServerExchange> exchange;
  std::string request_id;
  /// The version and the regions are set anew before each try and when it is
  /// sent.
  HandoverCriteria criteria;
  /// @return the regions that may receive the request by the configuration in
  /// force; empty for all.
  std::function<std::vector<RegionName>()> allowed_regions;
  /// The service that was chosen for the request; empty for a fan-out.
  ServiceName service;
  TriedTargets tried;
  bool idempotent = false;
  /// When the caller must have a response.
  absl::Time deadline;
  /// Called instead of a response if no peer has given one.
  std::function<void(RefusalReason reason, bool may_have_run)> on_failed;
};

/// Hands whole requests of callers to other hosts, which run them as those of
/// their own callers, and passes the responses on.
///
/// A request is handed to at most one host that may have begun it: if that one
/// gives no response, the request may have run. A host that takes none, or
/// cannot be connected to, has not begun it, and one other host is tried.
class HandoverClient {
 public:
  using VersionCallback =
      std::function<void(const HostId& peer, int64_t config_version)>;

  struct Dependencies {
    engine::EventLoop& loop;
    const ProtocolAdapter& protocol;
    const HostTable& hosts;
    ConfigVersions& versions;
    Metrics& metrics;
    Policy policy;
    Locality locality;
    /// Port of the hosts' HTTP servers.
    int fleet_port = 0;
    /// Called with the version of the configuration that a peer uses.
    VersionCallback on_version;
    /// Called when other peers take requests over than before, or one that was
    /// silent answers. It may be called while this host handles a request.
    std::function<void()> on_peers_changed;
  };

  explicit HandoverClient(Dependencies dependencies);
  ~HandoverClient();

  /// Looks for peers, as this host may soon have to hand requests over.
  void Prepare();

  /// Hands a request over. The response goes to its exchange.
  /// @return false if there is no host to hand it to; nothing was done then.
  bool Start(OutgoingHandover outgoing);

  /// @return until when a request may wait for a host that can take it over;
  /// nothing if it is to be refused at once.
  std::optional<absl::Time> WaitEnd(const UnplacedRequest& request);

  /// Ends all handovers without waiting for their peers, for a shutdown.
  void EndRunning();

  /// @return requests handed over that have no response yet.
  size_t running() const { return running_.size(); }
  /// @return log lines dropped since the last call, by kind.
  std::map<std::string, int> TakeDroppedLines() {
    return log_rate_limiter_.TakeDroppedCounts();
  }

 private:
  struct Handover;
  using HandoverPtr = std::shared_ptr<Handover>;

  /// @return false if there is no host to send it to.
  bool SendToPeer(const HandoverPtr& handover);
  void LogLackOfPeers(const OutgoingHandover& outgoing);
  void OnResult(const HandoverPtr& handover,
                const engine::ExchangeResult& result);
  /// @param version of the configuration by which the peer ran the request; 0
  /// if it did not tell.
  void OnVersion(const Handover& handover, int64_t version);
  /// The peer runs the request once a newer version is stated with it.
  void OnNewer(const HandoverPtr& handover, int64_t version);
  void OnRejected(const HandoverPtr& handover, const std::string& reason,
                  absl::Duration exclusion);
  /// The peer has not begun the request: tries another one or fails.
  void OnNotTaken(const HandoverPtr& handover, const std::string& reason);
  void OnDeadline(const HandoverPtr& handover);
  void OnCallerDisconnected(const HandoverPtr& handover);
  /// Ends a handover: logs and counts it.
  void Finish(const HandoverPtr& handover, const std::string& outcome);

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const ProtocolAdapter& protocol_;
  ConfigVersions& versions_;
  Metrics& metrics_;
  const Policy policy_;
  std::unique_ptr<HandoverPeers> peers_;
  const VersionCallback on_version_;
  LogRateLimiter log_rate_limiter_;
  std::set<HandoverPtr> running_;
};

}  // namespace cherrydyke
