#pragma once

#include <map>
#include <random>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "catalogue/host_list.h"
#include "wire/messages.h"

namespace cherrydyke {

/// Identifies a daemon: the entry or the gate of a host.
struct DaemonId {
  HostId host;
  DaemonKind kind = DaemonKind::kEntry;

  friend bool operator==(const DaemonId& a, const DaemonId& b) {
    return std::tie(a.host, a.kind) == std::tie(b.host, b.kind);
  }
  friend bool operator<(const DaemonId& a, const DaemonId& b) {
    return std::tie(a.host, a.kind) < std::tie(b.host, b.kind);
  }
};

/// A daemon's view of the other daemons, from the host list and their
/// heartbeats: a failure detector and the choice of heartbeat peers. Pure: time
/// and randomness are arguments.
class PeerTable {
 public:
  struct Options {
    /// A peer without a heartbeat for this long counts as failed.
    absl::Duration liveness_timeout = absl::Milliseconds(1500);
    /// Heartbeat recipients per round in the own failure domain.
    size_t domain_fanout = 8;
    /// Heartbeat recipients per round in other failure domains.
    size_t remote_fanout = 2;
    /// Daemons of a failure domain that watch the platform.
    size_t watchers = 2;
  };

  PeerTable(DaemonId self, FailureDomainName failure_domain, Options options)
      : self_(std::move(self)),
        failure_domain_(std::move(failure_domain)),
        options_(options) {}

  /// Replaces the peers; forgets heartbeats of hosts that are no longer listed.
  void OnHostList(const HostList& list);

  void OnHeartbeat(const Heartbeat& heartbeat, absl::Time now);

  /// @return whether this daemon should watch the platform: whether it is among
  /// the first `watchers` live daemons of its failure domain by rendezvous
  /// hashing.
  bool ShouldWatch(absl::Time now) const;

  /// @return the recipients of the next round of heartbeats. In the own failure
  /// domain these are the next daemons on the ring, so that each daemon gets
  /// heartbeats from the same daemons every round; if the domain exceeds
  /// `domain_fanout`, half of them are random. In other domains all are random.
  std::vector<DaemonId> HeartbeatPeers(std::mt19937_64& random) const;

  /// @return at most `limit` peers of all failure domains, chosen at random.
  std::vector<DaemonId> SamplePeers(size_t limit,
                                    std::mt19937_64& random) const;

  /// @return whether the peer sent a heartbeat within the liveness timeout.
  bool IsLive(const DaemonId& peer, absl::Time now) const;

  /// @return live peers of the own failure domain.
  std::vector<DaemonId> LiveDomainPeers(absl::Time now) const;

  /// @return live peers of one kind in all failure domains.
  std::vector<DaemonId> LivePeers(DaemonKind kind, absl::Time now) const;

 private:
  const DaemonId self_;
  const FailureDomainName failure_domain_;
  const Options options_;
  std::vector<DaemonId> domain_peers_;
  std::vector<DaemonId> remote_peers_;
  /// Time of each peer's last heartbeat.
  std::map<DaemonId, absl::Time> last_heard_;
};

}  // namespace cherrydyke
