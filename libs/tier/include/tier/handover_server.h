#pragma once

#include <functional>
#include <memory>

#include "absl/time/time.h"
#include "dispatch/config_versions.h"
#include "dispatch/policy.h"
#include "engine/event_loop.h"
#include "engine/http_server.h"
#include "telemetry/log_rate_limiter.h"
#include "telemetry/metrics.h"
#include "tier/handover_origin.h"

namespace cherrydyke {

/// Takes over requests that other hosts cannot send to targets. A request that
/// it accepts is handled like one of this host's own callers: the same routes,
/// limits and quarantine apply, and the answer goes to the other host.
class HandoverServer {
 public:
  struct Callbacks {
    /// @return this host's offer, without the number of running requests.
    std::function<HandoverOffer()> offer;
    /// @return how late the host's timers fire.
    std::function<absl::Duration()> lateness;
    /// Handles an accepted request.
    std::function<void(std::shared_ptr<engine::ServerExchange>, HandoverOrigin)>
        handle;
    /// Called with a host whose configuration is newer than this host's.
    std::function<void(const HostId&)> on_newer_configuration;
  };

  HandoverServer(engine::EventLoop& loop, Metrics& metrics,
                 const ConfigVersions& versions, Policy policy,
                 Callbacks callbacks);

  /// @return whether the request is one for `Serve`.
  static bool Handles(const engine::HttpRequest& request);
  void Serve(const std::shared_ptr<engine::ServerExchange>& exchange);

  /// @return requests of other hosts that have no response yet.
  int running() const { return *running_; }
  /// @return log lines dropped since the last call, by kind.
  std::map<std::string, int> TakeDroppedLines() {
    return log_rate_limiter_.TakeDroppedCounts();
  }

 private:
  void ServeOffer(engine::ServerExchange& exchange) const;
  void ServeRequest(const std::shared_ptr<engine::ServerExchange>& exchange);
  /// @param config_version of this host, if the sender is to learn it.
  void Reject(engine::ServerExchange& exchange, const std::string& reason,
              int64_t config_version = 0);

  engine::EventLoop& loop_;
  Metrics& metrics_;
  const ConfigVersions& versions_;
  const Policy policy_;
  const Callbacks callbacks_;
  LogRateLimiter log_rate_limiter_;
  std::shared_ptr<int> running_ = std::make_shared<int>(0);
};

}  // namespace cherrydyke
