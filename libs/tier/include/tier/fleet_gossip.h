#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "dispatch/crash_tracker.h"
#include "engine/async_http_client.h"
#include "engine/datagram_socket.h"
#include "engine/http_server.h"
#include "membership/host_table.h"
#include "telemetry/log_rate_limiter.h"
#include "tier/gossip_message.h"
#include "tier/pending_proofs.h"
#include "tier/published_freshness.h"
#include "tier/published_items.h"
#include "tier/transit_time.h"

namespace cherrydyke {

/// Exchanges state with the other hosts: membership, crash counts, health
/// reports of targets, and published items for hosts that do not read the
/// configuration service themselves. Gossip goes by datagram; a host whose
/// published items are older than a peer's fetches the changes by HTTP. Hosts
/// of earlier builds count as being in the first era of the service.
class FleetGossip {
 public:
  struct Options {
    KnownHost self;
    /// UDP port of gossip and TCP port of the hosts' HTTP servers, the same on
    /// all hosts.
    int port = 0;
  };
  struct Callbacks {
    /// Published items from a peer were merged.
    std::function<void(bool config, bool targets)> on_published_changed;
    /// The number of known hosts, or of those that share limits, changed.
    std::function<void()> on_hosts_changed;
    /// @return whether this host reads the configuration service and gets
    /// responses.
    std::function<bool()> is_reading;
    /// @return time since the configuration service last recovered from an
    /// outage, as far as this host knows.
    std::function<absl::Duration()> source_recovery_age;
    /// A peer reported its own `source_recovery_age`.
    std::function<void(absl::Duration age)> on_source_recovered;
    /// @return health reports of targets collected since the last call.
    std::function<std::vector<TargetHealthReport>(size_t limit)>
        take_health_reports;
    /// A request became quarantined because of crashes counted by other hosts.
    std::function<void(uint64_t fingerprint)> on_quarantined;
    /// A host of the same failure domain sent health reports of targets.
    std::function<void(const std::vector<TargetHealthReport>&)>
        on_health_reports;
  };

  FleetGossip(engine::EventLoop& loop, Options options, HostTable& hosts,
              CrashTracker& crashes, PublishedItems& config,
              PublishedItems& targets, PublishedFreshness& freshness);

  /// Path of the requests that `ServeTransfer` handles.
  static constexpr char kTransferPath[] = "/published/";

  /// Binds the port and starts the gossip rounds.
  /// @return an error if the port cannot be bound.
  Status Start(Callbacks callbacks);

  /// Responds to a peer that fetches published items.
  void ServeTransfer(engine::ServerExchange& exchange);

  /// Sends gossip at once instead of in the next round, as after a crash.
  void Gossip();

  /// Sends gossip to the downstream hosts at once, as after published items
  /// changed.
  void NotifyDownstream();

  /// @return log lines dropped since the last call, by kind.
  std::map<std::string, int> TakeDroppedLines() {
    return log_rate_limiter_.TakeDroppedCounts();
  }

  /// @return since when this host knows that a peer has newer published items;
  /// the infinite future if it knows of none.
  absl::Time behind_since() const { return pending_proofs_.behind_since(); }
  /// @return that peer, or "".
  HostId ahead_peer() const { return pending_proofs_.peer(); }

  /// @return the latest era of which a peer has items.
  const SourceEra& latest_peer_era() const { return latest_peer_era_; }

  /// Published items were merged: uses the proofs of peers whose items this
  /// host has by now.
  void ApplyProofs();

  /// Fetches published items newer than the own ones, unless a fetch has just
  /// begun, the peer has just failed to send them or it is in an earlier era. A
  /// fetch that is late goes on beside the next ones.
  void FetchFrom(const HostId& peer);

 private:
  /// What a host asks for: the changes after these versions.
  struct TransferRequest {
    PublishedVersion config;
    PublishedVersion targets;
    bool compress = false;

    friend bool operator==(const TransferRequest& a, const TransferRequest& b) {
      return std::tie(a.config, a.targets, a.compress) ==
             std::tie(b.config, b.targets, b.compress);
    }
  };
  /// A transfer from a peer under way.
  struct Fetch {
    HostId peer;
    absl::Time started_at;
    /// What the peer is asked for.
    PublishedVersion config_from;
    PublishedVersion targets_from;
  };
  struct EncodedTransfer {
    TransferRequest request;
    /// Versions of configuration and targets known when it was encoded.
    std::pair<PublishedVersion, PublishedVersion> known;
    absl::Time encoded_at = absl::InfinitePast();
    std::string body;
  };

  void RunGossipRound();
  /// @return the response body, which is kept for the next host that asks for
  /// the same.
  const std::string& EncodeTransfer(const TransferRequest& request);
  /// Sends health reports of targets to random hosts of the own failure domain.
  void SendHealthReports();
  /// @return the hosts to which this one disseminates published items.
  std::vector<HostId> DownstreamHosts() const;
  void Send(const std::vector<HostId>& recipients,
            std::vector<HostLastSeen> ages,
            std::vector<TargetHealthReport> health_reports = {});
  void OnDatagram(const std::string& datagram);
  /// Keeps the proofs of a message, which are older by the time that it was on
  /// its way.
  void AddProofs(const GossipMessage& message);
  Endpoint EndpointOf(const HostId& host) const;
  bool CanFetchFrom(const HostId& peer) const;
  /// Merges a peer's response.
  void OnTransfer(const Fetch& fetch,
                  const Result<engine::HttpResponse>& response);
  /// @return the version up to which this host misses no change.
  PublishedVersion KnownUntil() const;

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const Options options_;
  HostTable& hosts_;
  CrashTracker& crashes_;
  PublishedItems& config_;
  PublishedItems& targets_;
  PublishedFreshness& freshness_;
  PendingProofs pending_proofs_;
  TransitTimes transit_times_;
  absl::Time echo_requested_at_ = absl::InfinitePast();
  engine::DatagramSocket datagram_socket_;
  std::map<HostId, std::unique_ptr<engine::AsyncHttpClient>> transfer_clients_;
  std::mt19937_64 random_;
  LogRateLimiter log_rate_limiter_;
  Callbacks callbacks_;
  EncodedTransfer last_transfer_;
  /// Transfers under way by number, and until when peers that failed to send
  /// their items are not asked again.
  std::map<int64_t, Fetch> fetches_;
  int64_t last_fetch_ = 0;
  std::map<HostId, absl::Time> excluded_until_;
  /// Eras that peers have last told.
  std::map<HostId, SourceEra> peer_eras_;
  SourceEra latest_peer_era_;
  int round_ = 0;
  /// Token bucket of health report traffic.
  double health_report_allowance_bytes_ = 0;
  /// Fleet sizes at the last call of `on_hosts_changed`.
  int sharing_hosts_ = 0;
  int known_hosts_ = 1;
};

}  // namespace cherrydyke
