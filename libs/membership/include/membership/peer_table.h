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

/// One daemon of the system: the entry or the gate of a host.
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

/// What one daemon knows of the others, from the host list and from their
/// heartbeats. Pure: time and randomness are arguments.
class PeerTable {
 public:
  struct Options {
    /// A peer not heard for this long counts as silent.
    absl::Duration liveness_timeout = absl::Milliseconds(1500);
    /// Peers of the own failure domain that each round of heartbeats reaches.
    size_t domain_fanout = 8;
    /// Peers of other failure domains that each round reaches.
    size_t remote_fanout = 2;
    /// Daemons of a failure domain that read the platform.
    size_t watchers = 2;
  };

  PeerTable(DaemonId self, FailureDomainName failure_domain, Options options)
      : self_(std::move(self)),
        failure_domain_(std::move(failure_domain)),
        options_(options) {}

  void OnHostList(const HostList& list);

  void OnHeartbeat(const Heartbeat& heartbeat, absl::Time now);

  /// @return whether this daemon should read the platform: it is among the
  /// first of the live daemons in its failure domain.
  bool ShouldWatch(absl::Time now) const;

  /// @return the peers that the next round of heartbeats goes to: those next
  /// on the ring of the failure domain, so that each peer hears the same
  /// daemons each round, and random ones elsewhere.
  std::vector<DaemonId> HeartbeatPeers(std::mt19937_64& random) const;

  /// @return at most `limit` peers of all failure domains, chosen at random.
  std::vector<DaemonId> SamplePeers(size_t limit,
                                    std::mt19937_64& random) const;

  /// @return whether the peer was heard within the silence limit.
  bool IsLive(const DaemonId& peer, absl::Time now) const;

  /// @return peers of the own failure domain heard within the silence limit.
  std::vector<DaemonId> LiveDomainPeers(absl::Time now) const;

  /// @return peers of one kind, anywhere, heard within the silence limit.
  std::vector<DaemonId> LivePeers(DaemonKind kind, absl::Time now) const;

 private:
  const DaemonId self_;
  const FailureDomainName failure_domain_;
  const Options options_;
  std::vector<DaemonId> domain_peers_;
  std::vector<DaemonId> remote_peers_;
  /// When each peer was heard last.
  std::map<DaemonId, absl::Time> last_heard_;
};

}  // namespace cherrydyke
