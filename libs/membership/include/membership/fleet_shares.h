#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "membership/host_table.h"
#include "membership/locality.h"

namespace cherrydyke {

/// Divides a fleet-wide limit among hosts, in whole units, so that the shares
/// never add up to more than the limit.
///
/// @param limit what all hosts together may use; fractions are dropped.
/// @param hosts number of hosts that may share it, this one included; at least
/// 1.
/// @param rank this host's position in an order that all hosts agree on: the
/// first ones get one unit more if the limit does not divide evenly.
/// @return units of this host; may be 0.
int DivideShare(double limit, int hosts, size_t rank);

/// This host's rank among the hosts that may use a target. Stored by the user
/// of the target and updated by `FleetShares`.
struct FleetRank {
  /// Hosts that rank before this one.
  size_t preceding_hosts = 0;
  /// Known hosts that the rank takes into account, as a count from the start of
  /// the order in `order_generation`.
  size_t counted_hosts = 0;
  /// Generation of the order of known hosts in which they were counted.
  int order_generation = 0;
};

/// A target of a service at which a host without a share of its own may borrow
/// a connection.
struct BorrowCandidate {
  TargetId target;
  FailureDomainName failure_domain;
  /// Whether this host wants a connection to it. Other candidates only count as
  /// targets that other hosts may use.
  bool is_wanted = false;
};

/// Computes this host's shares of the fleet-wide limits at each target from its
/// own view of the membership, without communication. Hosts rank by distance to
/// the target: first those of its failure domain, then those of its region,
/// then all others; hosts at equal distance rank by rendezvous hashing. Pure.
class FleetShares {
 public:
  FleetShares(Locality locality, const HostTable& hosts);

  /// Takes over the known hosts and the fleet size from the host table.
  void Refresh(absl::Time now);

  /// Updates a rank to the known hosts of the last `Refresh`. The cost is
  /// linear in the hosts added since the rank was last updated: hosts are never
  /// forgotten, so a rank only grows; it is recomputed in full only if a host
  /// has changed its failure domain.
  void Update(FleetRank& rank, const TargetId& target,
              const FailureDomainName& domain);

  /// @return units of a limit that the target enforces as well: while some
  /// hosts do not know all others, the shares may add up to more than `limit`.
  int ShareOf(double limit, const FleetRank& rank) const;

  /// @return the highest rank that this host may have if all hosts that are
  /// assumed but not known rank before it.
  size_t WorstCaseRank(const FleetRank& rank) const;

  /// Chooses a target at which a host that has no share of the target's
  /// connections may open one nevertheless. Shares assume that every host can
  /// use its nearest target; when that fails, its hosts need other targets.
  /// The hosts of each failure domain are counted at their nearest candidate,
  /// and a connection may be borrowed where `connections` covers all the hosts
  /// counted there.
  ///
  /// Shares that hosts hold at more distant targets are not reserved, as only
  /// hedged requests use them. If a target gets too many connections
  /// nevertheless, it rejects the excess ones.
  ///
  /// @param targets the targets of the service that hosts can use.
  /// @param connections fleet-wide connection limit of each target.
  /// @return index of the nearest wanted target with spare capacity, or nothing
  /// if there is none. Hosts spread evenly over equidistant targets.
  std::optional<size_t> ChooseBorrowTarget(
      const std::vector<BorrowCandidate>& targets, double connections) const;

  /// @return units of a limit that only the hosts enforce: computed from the
  /// worst-case rank, so that unknown hosts cannot make the shares add up to
  /// more than `limit`.
  int StrictShareOf(double limit, const FleetRank& rank) const;

  /// @return an upper bound of the number of hosts that share a limit.
  int hosts() const { return fleet_size_; }

 private:
  /// Another known host.
  struct Member {
    /// Index in `domains_`.
    size_t domain = 0;
    uint64_t hash = 0;
  };

  /// @return for each target the number of hosts to which it is the nearest;
  /// hosts count evenly at equidistant targets.
  std::vector<double> CountNearestHosts(
      const std::vector<BorrowCandidate>& targets) const;
  /// @return the index of a failure domain in `domains_`, where it is added if
  /// it is new.
  size_t DomainIndex(const FailureDomainName& domain);

  const Locality locality_;
  const uint64_t own_hash_;
  const HostTable& hosts_;
  /// The other known hosts, in the order in which they became known.
  std::vector<Member> members_;
  std::map<HostId, FailureDomainName> host_domains_;
  /// Incremented when the order of `members_` is rebuilt.
  int order_generation_ = 1;
  std::vector<FailureDomainName> domains_;
  /// Number of members in each of `domains_`.
  std::vector<int> domain_sizes_;
  int fleet_size_ = 1;
};

}  // namespace cherrydyke
