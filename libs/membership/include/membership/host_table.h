#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "membership/reader_allowance.h"

namespace cherrydyke {

/// An entry of a gossip digest: a host and the time since it was last seen.
struct HostLastSeen {
  HostId host;
  FailureDomainName failure_domain;
  /// Milliseconds since the host was last seen, as known to the sender.
  int64_t age_ms = 0;

  friend bool operator==(const HostLastSeen& a, const HostLastSeen& b) {
    return std::tie(a.host, a.failure_domain, a.age_ms) ==
           std::tie(b.host, b.failure_domain, b.age_ms);
  }
};

/// A host and its failure domain.
struct KnownHost {
  HostId host;
  FailureDomainName failure_domain;

  friend bool operator==(const KnownHost& a, const KnownHost& b) {
    return std::tie(a.host, a.failure_domain) ==
           std::tie(b.host, b.failure_domain);
  }
  friend bool operator<(const KnownHost& a, const KnownHost& b) {
    return std::tie(a.host, a.failure_domain) <
           std::tie(b.host, b.failure_domain);
  }
};

/// A host's role in the dissemination of the published configuration and
/// targets.
enum class DisseminationRole : uint8_t {
  /// Receives updates from other hosts.
  kFollower,
  /// Does not call the configuration service, because enough hosts that precede
  /// it are retrying without success.
  kStandby,
  /// Calls the configuration service and gets no responses.
  kRetryingReader,
  /// As `kRetryingReader`, but receives updates from a reader of another
  /// failure domain.
  kForwarder,
  /// Receives updates from a reader in another group of its failure domain and
  /// forwards them to its own group.
  kRelay,
  /// Calls the configuration service and gets responses.
  kReader,
};

/// @return its name in log lines.
const char* ToString(DisseminationRole role);

/// A peer because of whose role a host does not read the configuration service.
struct UpdateSource {
  HostId host;
  DisseminationRole role = DisseminationRole::kFollower;
  /// Time since its last message.
  absl::Duration heard_ago;
};

/// What a host sends about itself and about the hosts that it knows.
struct MembershipUpdate {
  KnownHost from;
  /// Number of hosts that the sender has ever known, itself included.
  int known_hosts = 1;
  DisseminationRole role = DisseminationRole::kFollower;
  /// Digest of other hosts; may be partial or empty.
  std::vector<HostLastSeen> hosts;

  friend bool operator==(const MembershipUpdate& a, const MembershipUpdate& b) {
    return std::tie(a.from, a.known_hosts, a.role, a.hosts) ==
           std::tie(b.from, b.known_hosts, b.role, b.hosts);
  }
};

/// One host's view of the fleet's membership, learned from seeds and by gossip.
/// There is no central list of hosts.
///
/// Fleet-wide limits are divided by the number of hosts ever known in this
/// process's lifetime rather than by the live ones, because a host behind a
/// network partition still sends requests.
///
/// As many hosts as the allowance covers read the configuration service all the
/// time. Beyond it, one host of a failure domain, the reader, calls the service
/// for all hosts of the domain. Hosts are assigned to groups by hash, so that
/// hosts with partial views of the membership agree on most groups. The reader
/// sends updates to its own group and to the representatives (the first hosts)
/// of the other groups; the first host of each group relays them to the rest.
/// When a reader or relay reports failed calls or times out, the next hosts in
/// order take over one after the other. When several hosts are retrying without
/// success, the rest stand by until one of them reports success. Several hosts
/// may read at the same time for a while, which costs extra calls but does not
/// affect correctness.
///
/// Readers also send updates to the representatives of other failure domains,
/// so that a reader whose connection to the service is dead detects that it
/// lags, and a failure domain that cannot reach the service still gets updates.
///
/// Pure: time and randomness are arguments.
class HostTable {
 public:
  struct Options {
    /// Fleet size assumed until membership has converged: after a power loss
    /// all hosts start at once, and none knows how many there are.
    int initial_hosts = 100;
    /// Membership counts as converged this long after a peer's digest first
    /// listed this host or, on a host without seeds that has heard from none,
    /// after its start. A host that has seeds but reaches none never converges:
    /// other hosts may be serving elsewhere.
    absl::Duration convergence_time = absl::Seconds(3);
    /// All failure domains that have hosts. A domain without a recently seen
    /// host is assumed to have as many hosts as the largest known domain: it
    /// may be partitioned, and its hosts still send requests.
    std::vector<FailureDomainName> domains = {};
    /// A failure domain of which no host was seen for this long counts as
    /// unreachable. Equal to the convergence time, so that a host which
    /// converges inside a partition has detected it by then.
    absl::Duration domain_timeout = absl::Seconds(3);
    /// A host that no host has seen for this long gets no gossip.
    absl::Duration liveness_timeout = absl::Seconds(20);
    /// Peers per gossip round.
    size_t fanout = 2;
    /// Hosts of other failure domains in one digest; bounded so that the
    /// message fits a datagram.
    size_t digest_remote_hosts = 50;
    /// Hosts of the own failure domain in one digest: the order of these hosts
    /// decides which of them are readers and relays.
    size_t digest_domain_hosts = 25;
    /// A host of the own failure domain that no host has seen for this long is
    /// removed from that order. Even if each digest holds only a seventh of the
    /// domain's hosts, a live one is reported within this time.
    absl::Duration domain_peer_timeout = absl::Seconds(60);
    /// Gossip rounds per round that sends digests to random peers: traffic
    /// between regions is expensive, and membership changes slowly.
    int rounds_per_digest = 4;
    /// After its start, a host sends digests in every round for this long.
    absl::Duration bootstrap_time = absl::Seconds(4);
    /// After it has learned of a new host, a host sends digests in every round
    /// for this long, so that all hosts recompute their shares before the new
    /// host uses its own.
    absl::Duration change_dissemination_time = absl::Seconds(2);
    /// Approximate number of hosts per group; the actual number may be up to
    /// twice as large.
    size_t group_size = 16;
    /// A reader or relay that has sent nothing for this long counts as failed:
    /// two gossip rounds plus the delay of a datagram.
    absl::Duration reader_timeout = absl::Milliseconds(1300);
    /// Added to `reader_timeout` for a reader in another group, so that another
    /// host of that group takes over first.
    absl::Duration takeover_grace = absl::Milliseconds(1000);
    /// After its start, a host that already has published data waits this long
    /// for updates from an active reader before it reads itself.
    absl::Duration reader_discovery_time = absl::Milliseconds(700);
    /// Delay between the takeover attempts of successive hosts of a group.
    absl::Duration takeover_step = absl::Milliseconds(250);
    /// Hosts beyond this many steps take over at the same time.
    int max_takeover_steps = 4;
    /// Hosts of each other group or failure domain that a reader sends updates
    /// to.
    size_t representatives_per_group = 2;
    /// Hosts of a failure domain that keep calling a configuration service
    /// which responds to none of them.
    int max_retrying_readers = 3;
    /// Time without updates after which standby hosts call the service too: it
    /// may be rejecting only the hosts that retry.
    absl::Duration max_standby_time = absl::Seconds(10);
    /// Hosts that read the configuration service whatever their peers do.
    ReaderAllowance reader_allowance = {};
  };

  /// @param self this host.
  /// @param seeds addresses of some hosts, possibly stale.
  /// @param started when the host started.
  HostTable(KnownHost self, std::vector<HostId> seeds, Options options,
            absl::Time started);

  /// Replaces the seeds after a settings change.
  void SetSeeds(std::vector<HostId> seeds);

  /// Merges an update from another host.
  ///
  /// @return whether the sender knows fewer hosts than this one and should get
  /// a digest in reply: a newly started host uses only a small share of the
  /// fleet-wide limits until it knows the fleet.
  bool OnMembershipUpdate(const MembershipUpdate& update, absl::Time now);

  /// @param has_no_data whether this host has no published data yet.
  /// @return whether this host should read the configuration service itself.
  bool ShouldRead(bool has_no_data, absl::Time now) const;

  /// @return this host's place among the live hosts. A failure domain of which
  /// none is seen counts with those that were live when one was last seen: it
  /// may be partitioned, and its hosts read.
  FleetPlace Place(absl::Time now) const;

  /// @return whether this host reads the configuration service whatever its
  /// peers do. A host that has just started does not know how many others do.
  bool ReadsAlways(absl::Time now) const;

  const ReaderAllowance& reader_allowance() const {
    return options_.reader_allowance;
  }

  /// @param round number of the gossip round in this lifetime, from 0.
  /// @return whether this round sends digests to random peers.
  bool ShouldSendDigest(int round, absl::Time now) const;

  /// @return random peers, and a seed, for one gossip round; several seeds if
  /// no peer is known to be live.
  std::vector<HostId> GossipPeers(absl::Time now,
                                  std::mt19937_64& random) const;

  /// @param is_reading whether this host reads the configuration service and
  /// gets responses.
  /// @return this host's current role.
  DisseminationRole Role(bool is_reading, absl::Time now) const;

  /// @return the peer because of whose role this host does not read the
  /// configuration service, if there is one.
  std::optional<UpdateSource> FindUpdateSource(absl::Time now) const;

  /// @return whether another host of the own failure domain was an active
  /// reader within the reader timeout.
  bool HasDomainReader(absl::Time now) const;

  /// @return the hosts that a host of this role sends updates to.
  std::vector<HostId> Recipients(DisseminationRole role, absl::Time now) const;

  /// @return at most `limit` other live hosts of the own failure domain, chosen
  /// at random.
  std::vector<HostId> SampleDomainPeers(size_t limit, absl::Time now,
                                        std::mt19937_64& random) const;

  /// @return a random sample of the known hosts with the time since each was
  /// seen, to be sent to other hosts.
  std::vector<HostLastSeen> BuildDigest(absl::Time now,
                                        std::mt19937_64& random) const;

  /// @return an upper bound of the number of hosts that share a fleet-wide
  /// limit.
  int FleetSizeUpperBound(absl::Time now) const;

  /// @return how many hosts were ever known, this one included.
  int known_hosts() const { return static_cast<int>(peers_.size()) + 1; }

  /// @return every host ever known, this one included, sorted.
  std::vector<KnownHost> KnownHosts() const;

  /// @return when the last message of any host arrived.
  absl::Time last_message_at() const { return last_message_at_; }

  /// @return hosts that any host has seen within the liveness timeout.
  std::vector<HostId> LivePeers(absl::Time now) const;
  /// @return the same hosts with their failure domains.
  std::vector<KnownHost> LiveHosts(absl::Time now) const;

 private:
  struct Peer {
    FailureDomainName failure_domain;
    /// When any host last saw it.
    absl::Time last_seen;
    /// Role in its last message to this host.
    DisseminationRole role = DisseminationRole::kFollower;
    /// When its last message to this host arrived.
    absl::Time last_message = absl::InfinitePast();
  };

  /// A host's rank in the order in which the hosts of a failure domain become
  /// readers.
  struct ReaderRank {
    uint64_t group = 0;
    HostId host;

    friend bool operator==(const ReaderRank& a, const ReaderRank& b) {
      return a.group == b.group && a.host == b.host;
    }
    friend bool operator<(const ReaderRank& a, const ReaderRank& b) {
      return std::tie(a.group, a.host) < std::tie(b.group, b.host);
    }
  };
  /// @return the live hosts of a failure domain, sorted by rank; this host is
  /// included if it is in that domain.
  std::vector<ReaderRank> LiveHosts(const FailureDomainName& domain,
                                    absl::Time now) const;
  /// @return the first hosts of each group.
  std::vector<ReaderRank> GroupRepresentatives(
      const std::vector<ReaderRank>& ranks) const;
  ReaderRank OwnRank(const std::vector<ReaderRank>& ranks) const;
  /// @param peer a known host.
  /// @return whether it is in the own failure domain.
  bool IsDomainPeer(const HostId& peer) const;
  /// Another live host of the own failure domain, compared with this one.
  struct DomainPeer {
    HostId host;
    const Peer* peer = nullptr;
    /// Whether it ranks before this host.
    bool is_earlier = false;
    bool is_same_group = false;
  };
  std::vector<DomainPeer> DomainPeers(absl::Time now) const;
  /// @return whether the peer reported this role within the timeout.
  static bool HasRecentRole(const Peer& peer, DisseminationRole role,
                            absl::Duration timeout, absl::Time now);
  bool ShouldRead(const std::vector<DomainPeer>& peers, bool has_no_data,
                  absl::Time now) const;
  /// @return whether the peer is an earlier host of the own group that says
  /// that it sends updates to this host.
  bool IsGroupSource(const DomainPeer& peer, absl::Time now) const;
  bool HasGroupSource(const std::vector<DomainPeer>& peers,
                      absl::Time now) const;
  /// @param only_earlier whether to count only hosts that rank before this one.
  /// @return whether the peer reads in another group of the own failure domain.
  bool IsReaderInOtherGroup(const DomainPeer& peer, bool only_earlier,
                            absl::Time now) const;
  bool HasReaderInOtherGroup(const std::vector<DomainPeer>& peers,
                             bool only_earlier, absl::Time now) const;
  bool HasReaderInOtherDomain(absl::Time now) const;
  /// @return whether enough earlier hosts are retrying a configuration service
  /// that does not respond, so that this host need not call it.
  bool ShouldStandBy(const std::vector<DomainPeer>& peers,
                     absl::Time now) const;
  /// @return the number of hosts assumed in unreachable failure domains beyond
  /// those known there.
  int UnreachableHostsEstimate(absl::Time now) const;
  bool HasConverged(absl::Time now) const;

  const KnownHost self_;
  std::vector<HostId> seeds_;
  const Options options_;
  const absl::Time started_;
  std::map<HostId, Peer> peers_;
  /// The highest host count that any peer has reported.
  int max_reported_hosts_ = 0;
  absl::Time last_message_at_ = absl::InfinitePast();
  /// When this host last learned of a new host.
  absl::Time last_host_added_at_ = absl::InfinitePast();
  absl::Time first_contact_at_ = absl::InfiniteFuture();
  /// When a peer's digest first listed this host: that peer counts it.
  absl::Time known_to_peer_at_ = absl::InfiniteFuture();
  /// When a peer last reported a role in which it gets published updates.
  absl::Time update_source_seen_at_;
  /// When a reader or relay last reported that it no longer is one.
  absl::Time update_source_lost_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
