#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dispatch/crash_ledger.h"
#include "engine/datagram_socket.h"
#include "engine/http_caller.h"
#include "engine/http_server.h"
#include "membership/host_table.h"
#include "tier/published_items.h"

namespace cherrydyke {

/// What hosts tell each other by datagram.
struct FleetMessage {
  HostId host;
  /// Hosts that the sender has ever known.
  int known_hosts = 1;
  Revision config_revision = 0;
  Revision targets_revision = 0;
  std::vector<HostAge> hosts;
  std::vector<CrashCount> crashes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, known_hosts, config_revision, targets_revision, hosts,
            crashes);
  }

  friend bool operator==(const FleetMessage& a, const FleetMessage& b) {
    return std::tie(a.host, a.known_hosts, a.config_revision,
                    a.targets_revision, a.hosts, a.crashes) ==
           std::tie(b.host, b.known_hosts, b.config_revision,
                    b.targets_revision, b.hosts, b.crashes);
  }
};

/// @return the message as a datagram.
std::string EncodeFleetMessage(const FleetMessage& message);
/// @return the message, or an error for anything else.
Result<FleetMessage> DecodeFleetMessage(const std::string& datagram);

/// The link to the other hosts: who is there, what has crashed targets, and,
/// for a host that cannot read the configuration service, what was published.
class FleetLink {
 public:
  struct Options {
    HostId host;
    /// Port of datagrams and of transfers, the same on all hosts.
    int port = 0;
    std::vector<HostId> seeds;
  };
  /// Called after news from peers were merged.
  using Changed = std::function<void(bool config, bool targets)>;
  /// Called when more hosts became known.
  using HostsChanged = std::function<void()>;

  FleetLink(engine::EventLoop& loop, Options options, HostTable& hosts,
            CrashLedger& crashes, PublishedItems& config,
            PublishedItems& targets);

  Status Start(Changed changed, HostsChanged hosts_changed);

  /// Tells others at once, as after a crash was seen.
  void Gossip();

 private:
  void OnDatagram(const std::string& datagram);
  void ServeTransfer(engine::ServerExchange& exchange);
  void FetchFrom(const HostId& peer);
  Endpoint EndpointOf(const HostId& host) const;
  bool IsBehind(const FleetMessage& message) const;

  engine::EventLoop& loop_;
  const Options options_;
  HostTable& hosts_;
  CrashLedger& crashes_;
  PublishedItems& config_;
  PublishedItems& targets_;
  engine::DatagramSocket datagrams_;
  engine::HttpServer transfers_;
  std::map<HostId, std::unique_ptr<engine::HttpCaller>> callers_;
  std::mt19937_64 random_;
  Changed changed_;
  HostsChanged hosts_changed_;
  absl::Time behind_since_ = absl::InfiniteFuture();
  bool fetching_ = false;
  int sharing_hosts_ = 0;
};

}  // namespace cherrydyke
