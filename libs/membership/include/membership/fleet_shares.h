#pragma once

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

/// This host's parts of the limits that the fleet shares at each target, worked
/// out from the hosts that it knows, without asking any. Hosts near a target
/// come first. Pure.
class FleetShares {
 public:
  FleetShares(Locality locality, const HostTable& hosts)
      : locality_(std::move(locality)), hosts_(hosts) {}

  /// Takes the hosts as they are known by now.
  void Refresh(absl::Time now);

  /// @return this host's place among those known that may use a target: those
  /// of the target's failure domain first, then those of its region. Costs a
  /// hash for each known host.
  size_t Rank(const TargetId& target, const FailureDomainName& domain) const;

  /// @return units of a limit at a target that the target itself enforces as
  /// well: while others are not known, the parts may add up to more.
  int ShareOf(double whole, size_t rank) const;

  /// @return units of a limit at a target that only the hosts keep.
  int StrictShareOf(double whole, size_t rank) const;

  /// @return the most hosts that may share a limit.
  int hosts() const { return sharing_; }

 private:
  const Locality locality_;
  const HostTable& hosts_;
  std::vector<KnownHost> known_;
  int sharing_ = 1;
};

}  // namespace cherrydyke
