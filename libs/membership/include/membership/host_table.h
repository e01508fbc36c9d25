#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// How long ago a host was heard, by the one who tells it.
struct HostLastSeen {
  HostId host;
  FailureDomainName failure_domain;
  int64_t age_ms = 0;

  friend bool operator==(const HostLastSeen& a, const HostLastSeen& b) {
    return std::tie(a.host, a.failure_domain, a.age_ms) ==
           std::tie(b.host, b.failure_domain, b.age_ms);
  }
};

/// A host and where it stands.
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

/// How a host comes by what was published.
enum class DisseminationRole : uint8_t {
  /// Others tell it.
  kFollower,
  /// Enough hosts before it ask the configuration service in vain.
  kStandby,
  /// It asks the configuration service and gets no answers.
  kRetryingReader,
  /// As `kRetryingReader`, and a reader of another failure domain tells it.
  kForwarder,
  /// A reader of its failure domain, in another group, tells it, and it tells
  /// its group.
  kRelay,
  /// It reads the configuration service, and gets answers.
  kReader,
};

/// What a host says of itself.
struct MembershipUpdate {
  KnownHost from;
  /// Hosts that it has ever known.
  int known_hosts = 1;
  DisseminationRole role = DisseminationRole::kFollower;
  /// What it has heard of others.
  std::vector<HostLastSeen> hosts;

  friend bool operator==(const MembershipUpdate& a, const MembershipUpdate& b) {
    return std::tie(a.from, a.known_hosts, a.role, a.hosts) ==
           std::tie(b.from, b.known_hosts, b.role, b.hosts);
  }
};

/// The hosts of the fleet as one host knows them: from its seeds at first, then
/// from what hosts tell each other. Nobody keeps a list.
///
/// Limits that the whole fleet shares are divided by every host ever known in
/// this lifetime, not by the live ones: a host that is cut off still acts.
///
/// One host of a failure domain reads the configuration service for all of it,
/// however many there are. The hosts form groups by a hash, so that hosts which
/// know the others in part agree on most of them: the reader tells its own
/// group and the first hosts of the others, and the first of each group relays
/// to the rest. The next host takes over when the one before it says that it
/// gets no answers, or says nothing, one after the other; where several ask in
/// vain, the rest wait for their word. More than one may read for a while: that
/// costs calls, not truth. Readers also tell the first hosts of other failure
/// domains, so that a reader whose connection to the service is dead learns
/// that it lags, and a failure domain that gets no answers at all is told.
/// Pure: time and randomness are arguments.
class HostTable {
 public:
  struct Options {
    /// Hosts assumed to share limits until the fleet had time to find itself:
    /// after a loss of power all start at once, and none knows how many.
    int initial_hosts = 100;
    /// From the first peer heard, or from the start of a host without seeds,
    /// until the known hosts are taken for all. A host that hears none of its
    /// seeds never takes itself for the only one: others may act elsewhere.
    absl::Duration convergence_time = absl::Seconds(3);
    /// All failure domains that hosts stand in. One of which no host is heard
    /// is taken to have at least as many as the largest one that is known: it
    /// may be cut off, and its hosts act.
    std::vector<FailureDomainName> domains = {};
    /// A failure domain counts as heard for this long: as long as a host takes
    /// to settle, so that one that has settled inside a cut knows of it.
    absl::Duration domain_timeout = absl::Seconds(3);
    /// A host not heard by anybody for this long is not gossiped with.
    absl::Duration liveness_timeout = absl::Seconds(20);
    /// Hosts that each round of gossip reaches.
    size_t fanout = 2;
    /// Hosts named in one message beside those of the own failure domain, so
    /// that it fits a datagram.
    size_t digest_remote_hosts = 50;
    /// Hosts of the own failure domain named in one message: who reads for whom
    /// rests on their order.
    size_t digest_domain_hosts = 25;
    /// A host of the own failure domain not heard by anybody for this long has
    /// no place in that order. Where each message names a seventh of them, one
    /// that lives is heard of within it.
    absl::Duration domain_peer_timeout = absl::Seconds(60);
    /// Rounds of gossip between messages to hosts anywhere, which name other
    /// hosts: bytes between regions are dear, and who is there changes slowly.
    int rounds_per_digest = 4;
    /// A host that has just started names hosts in every round.
    absl::Duration bootstrap_time = absl::Seconds(4);
    /// A host that has learned of another does so too for this long, so that
    /// all divide their limits anew before the newcomer uses its part.
    absl::Duration change_dissemination_time = absl::Seconds(2);
    /// Hosts of one group, about; at most twice as many.
    size_t group_size = 16;
    /// A reader or relay not heard for this long no longer counts as one: two
    /// rounds of gossip and what a datagram takes.
    absl::Duration reader_timeout = absl::Milliseconds(1300);
    /// A reader of another group counts for this much longer: another host of
    /// that group takes over first.
    absl::Duration takeover_grace = absl::Milliseconds(1000);
    /// A host that has read once waits this long for the word of one that reads
    /// for it.
    absl::Duration reader_discovery_time = absl::Milliseconds(700);
    /// Hosts of a group take over from one that gives up this long after each
    /// other, all later ones together.
    absl::Duration takeover_step = absl::Milliseconds(250);
    int max_takeover_steps = 4;
    /// First hosts of another group or failure domain that a reader tells.
    size_t representatives_per_group = 2;
    /// Hosts of a failure domain that ask the configuration service while it
    /// answers none of them.
    int candidates = 3;
    /// Time without news after which all hosts ask: those that do may be the
    /// ones that the service turns away.
    absl::Duration max_standby_time = absl::Seconds(10);
  };

  /// @param self this host.
  /// @param seeds addresses of some hosts, possibly stale.
  /// @param started when the host started.
  HostTable(KnownHost self, std::vector<HostId> seeds, Options options,
            absl::Time started);

  /// Replaces the seeds after a change of the settings.
  void SetSeeds(std::vector<HostId> seeds);

  /// @return whether the sender knows fewer hosts than this one and should be
  /// told: one that has just started uses little of what the fleet shares until
  /// it knows the fleet.
  bool OnMembershipUpdate(const MembershipUpdate& news, absl::Time now);

  /// @return whether this host should read the configuration service itself.
  /// @param is_blank whether it knows nothing that was published.
  bool ShouldRead(bool is_blank, absl::Time now) const;

  /// @return whether this round of gossip goes to hosts anywhere and names
  /// others.
  /// @param round counts the rounds of this lifetime, from 0.
  bool ShouldSendDigest(int round, absl::Time now) const;

  /// @return hosts anywhere that the next round of gossip goes to.
  std::vector<HostId> GossipPeers(absl::Time now,
                                  std::mt19937_64& random) const;

  /// @param reads whether this host reads and gets answers.
  DisseminationRole Role(bool reads, absl::Time now) const;

  /// @return whether a host of the own failure domain was lately heard to read.
  bool HasDomainReader(absl::Time now) const;

  /// @return the hosts that one of this role passes on what was published to.
  std::vector<HostId> Recipients(DisseminationRole role, absl::Time now) const;

  /// @return at most `limit` other live hosts of the own failure domain, chosen
  /// at random.
  std::vector<HostId> SampleDomainPeers(size_t limit, absl::Time now,
                                        std::mt19937_64& random) const;

  /// @return what to tell others of hosts.
  std::vector<HostLastSeen> BuildDigest(absl::Time now,
                                        std::mt19937_64& random) const;

  /// @return the most hosts that may share a limit.
  int FleetSizeUpperBound(absl::Time now) const;

  /// @return how many hosts were ever known, this one included.
  int known_hosts() const { return static_cast<int>(peers_.size()) + 1; }

  /// @return every host ever known, this one included, sorted.
  std::vector<KnownHost> KnownHosts() const;

  /// @return hosts heard by somebody within the silence limit.
  std::vector<HostId> LivePeers(absl::Time now) const;

 private:
  struct Peer {
    FailureDomainName failure_domain;
    /// When somebody heard it last.
    absl::Time heard;
    /// What it last said here of itself.
    DisseminationRole role = DisseminationRole::kFollower;
    absl::Time said = absl::InfinitePast();
  };

  /// A host's place in the order in which those of a failure domain read.
  struct Place {
    /// Number of its group.
    uint64_t group = 0;
    HostId host;

    friend bool operator==(const Place& a, const Place& b) {
      return a.group == b.group && a.host == b.host;
    }
    friend bool operator<(const Place& a, const Place& b) {
      return std::tie(a.group, a.host) < std::tie(b.group, b.host);
    }
  };
  /// @return the live hosts of a failure domain, this one included, in order.
  std::vector<Place> LiveHosts(const FailureDomainName& domain,
                               absl::Time now) const;
  /// @return the first hosts of each group.
  std::vector<Place> GroupRepresentatives(
      const std::vector<Place>& places) const;
  /// @return this host's own place.
  Place OwnRank(const std::vector<Place>& places) const;
  /// @return whether a known host stands in the own failure domain.
  bool IsDomainPeer(const HostId& peer) const;
  /// A live host of the own failure domain, as seen from this one.
  struct DomainPeer {
    const Peer* peer = nullptr;
    bool is_earlier = false;
    bool is_same_group = false;
  };
  std::vector<DomainPeer> DomainPeers(absl::Time now) const;
  /// @return whether the peer said within the time that it has this role.
  static bool Says(const Peer& peer, DisseminationRole role,
                   absl::Duration silence, absl::Time now);
  bool ShouldRead(const std::vector<DomainPeer>& mates, bool is_blank,
                  absl::Time now) const;
  /// @return whether an earlier host of the group tells this one.
  bool HasGroupSource(const std::vector<DomainPeer>& mates,
                      absl::Time now) const;
  /// @return whether a host of another group reads.
  /// @param only_earlier whether it must stand before this one.
  bool HasReaderInOtherGroup(const std::vector<DomainPeer>& mates,
                             bool only_earlier, absl::Time now) const;
  bool HasReaderInOtherDomain(absl::Time now) const;
  /// @return whether it can be left to others to ask a service that does not
  /// answer.
  bool ShouldStandBy(const std::vector<DomainPeer>& mates,
                     absl::Time now) const;
  /// @return hosts assumed in failure domains of which none is heard, beyond
  /// those that are known there.
  int UnreachableHostsEstimate(absl::Time now) const;
  bool HasConverged(absl::Time now) const;

  const KnownHost self_;
  std::vector<HostId> seeds_;
  const Options options_;
  const absl::Time started_;
  std::map<HostId, Peer> peers_;
  int max_reported_hosts_ = 0;
  /// When a host became known that was not before.
  absl::Time last_host_added_at_ = absl::InfinitePast();
  absl::Time first_contact_at_ = absl::InfiniteFuture();
  /// When somebody last said that it is told what was published.
  absl::Time update_source_seen_at_;
  /// When a host that told others last said that it no longer does.
  absl::Time update_source_lost_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
