#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "membership/host_table.h"
#include "membership/locality.h"

namespace cherrydyke {

/// One host's part of what all hosts together may use, in whole units, so that
/// the parts never add up to more than the whole.
///
/// @param whole what all hosts may use.
/// @param hosts every host that may share, this one included; at least 1.
/// @param rank this host's place in an order of them that all agree on: what
/// cannot be divided evenly goes to the first ones.
/// @return units of this host; may be 0.
int DivideShare(double whole, int hosts, size_t rank);

/// This host's place among the hosts that may use a target, kept by whoever
/// uses the target and brought up to date by `FleetShares`.
struct FleetRank {
  /// Hosts that stand before this one.
  size_t before = 0;
  /// Hosts that were looked at for it, and in which order of them.
  size_t counted = 0;
  int order = 0;
};

/// A target of a service, as a place to borrow a connection from.
struct BorrowCandidate {
  TargetId target;
  FailureDomainName failure_domain;
  /// Whether this host wants a connection there, rather than only others.
  bool is_wanted = false;
};

/// This host's parts of the limits that the fleet shares at each target, worked
/// out from the hosts that it knows, without asking any. Hosts near a target
/// come first: those of its failure domain, then those of its region. Pure.
class FleetShares {
 public:
  FleetShares(Locality locality, const HostTable& hosts);

  /// Takes the hosts as they are known by now.
  void Refresh(absl::Time now);

  /// Brings a place up to date. Costs some instructions for each host that has
  /// become known since it was last done: hosts are never forgotten, so places
  /// only grow, and are counted anew only if a host has moved.
  void Update(FleetRank& rank, const TargetId& target,
              const FailureDomainName& domain);

  /// @return units of a limit at a target that the target itself enforces as
  /// well: while others are not known, the parts may add up to more.
  int ShareOf(double whole, const FleetRank& rank) const;

  /// @return the last place that this host may have: those that are not known
  /// may all stand nearer.
  size_t WorstCaseRank(const FleetRank& rank) const;

  /// Chooses where a host that has no share of a target's connections may open
  /// one all the same. Shares are divided as if every host could use its
  /// nearest target; when that one fails its hosts, they need the others. The
  /// hosts of each failure domain are counted at their nearest target that is
  /// left, and a connection is lent where the target has room for all of those.
  ///
  /// Shares that hosts hold at targets farther away are not set aside, as only
  /// hedges use them. Should a target get too many connections all the same, it
  /// turns the last ones away.
  ///
  /// @param targets those of the service that hosts can use.
  /// @param connections what all hosts may have at each of them.
  /// @return index of the nearest wanted target that has room, if there is one.
  /// Hosts spread evenly over equally near ones.
  std::optional<size_t> ChooseBorrowTarget(
      const std::vector<BorrowCandidate>& targets, double connections) const;

  /// @return units of a limit at a target that only the hosts keep.
  int StrictShareOf(double whole, const FleetRank& rank) const;

  /// @return the most hosts that may share a limit.
  int hosts() const { return fleet_size_; }

 private:
  /// A host, as places are counted.
  struct Member {
    size_t domain = 0;
    uint64_t hash = 0;
  };

  /// @return the hosts to which each of the targets is the nearest; hosts are
  /// divided evenly among equally near ones.
  std::vector<double> CountNearestHosts(
      const std::vector<BorrowCandidate>& targets) const;
  /// @return the number of a failure domain.
  size_t DomainIndex(const FailureDomainName& domain);

  const Locality locality_;
  const uint64_t own_hash_;
  const HostTable& hosts_;
  /// The others, in the order in which they became known.
  std::vector<Member> members_;
  /// Where each of them stands.
  std::map<HostId, FailureDomainName> host_domains_;
  /// Changes when the members' order does.
  int order_generation_ = 1;
  std::vector<FailureDomainName> domains_;
  /// How many of the members stand in each of them.
  std::vector<int> domain_sizes_;
  int fleet_size_ = 1;
};

}  // namespace cherrydyke
