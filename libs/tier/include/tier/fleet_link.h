#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dispatch/crash_tracker.h"
#include "engine/datagram_socket.h"
#include "engine/http_caller.h"
#include "engine/http_server.h"
#include "membership/host_table.h"
#include "telemetry/log_budget.h"
#include "tier/fleet_message.h"
#include "tier/published_items.h"

namespace cherrydyke {

/// The link to the other hosts: who is there, what has crashed targets, and,
/// for a host that cannot read the configuration service, what was published.
class FleetLink {
 public:
  struct Options {
    KnownHost self;
    /// Port of datagrams and of transfers, the same on all hosts.
    int port = 0;
  };
  /// What the link asks of its owner, and tells it.
  struct Hooks {
    /// News from peers were merged.
    std::function<void(bool config, bool targets)> changed;
    /// More hosts became known.
    std::function<void()> hosts_changed;
    /// @return whether this host reads the configuration service with success.
    std::function<bool()> reads;
    /// @return how long ago the configuration service answered again after it
    /// had not.
    std::function<absl::Duration()> regained_age;
    /// A peer tells the same of its news.
    std::function<void(absl::Duration age)> regained;
    /// @return what this host saw of targets since it was last asked.
    std::function<std::vector<TargetHealthReport>(size_t limit)> take_evidence;
    /// Crashes that others counted quarantine a request from now on.
    std::function<void(uint64_t fingerprint)> quarantined;
    /// A peer of the own failure domain tells what it saw.
    std::function<void(const std::vector<TargetHealthReport>&)> evidence;
  };

  FleetLink(engine::EventLoop& loop, Options options, HostTable& hosts,
            CrashTracker& crashes, PublishedItems& config,
            PublishedItems& targets);

  Status Start(Hooks hooks);

  /// Tells others at once, as after a crash was seen.
  void Gossip();

  /// Tells those whom this host passes on news to, as after it read some.
  void PassOn();

  /// @return lines left out since the last call, by kind.
  std::map<std::string, int> TakeDroppedLines() {
    return log_budget_.TakeDropped();
  }

 private:
  void NextRound();
  /// Tells some hosts of the failure domain what this one saw of targets.
  void TellEvidence();
  /// @return those whom this host passes on news to.
  std::vector<HostId> Audience() const;
  void Send(const std::vector<HostId>& targets, std::vector<HostAge> ages,
            std::vector<TargetHealthReport> evidence = {});
  void OnDatagram(const std::string& datagram);
  void ServeTransfer(engine::ServerExchange& exchange);
  void FetchFrom(const HostId& peer);
  Endpoint EndpointOf(const HostId& host) const;
  bool IsBehind(const FleetMessage& message) const;

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const Options options_;
  HostTable& hosts_;
  CrashTracker& crashes_;
  PublishedItems& config_;
  PublishedItems& targets_;
  engine::DatagramSocket datagrams_;
  engine::HttpServer transfers_;
  std::map<HostId, std::unique_ptr<engine::HttpCaller>> callers_;
  std::mt19937_64 random_;
  LogBudget log_budget_;
  Hooks hooks_;
  absl::Time behind_since_ = absl::InfiniteFuture();
  bool fetching_ = false;
  int round_ = 0;
  /// Bytes that may be sent of evidence at present.
  double evidence_bytes_ = 0;
  /// As of the last division of limits.
  int sharing_hosts_ = 0;
  int known_hosts_ = 1;
};

}  // namespace cherrydyke
