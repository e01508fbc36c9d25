#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "dispatch/route_table.h"

namespace cherrydyke {

/// The regions that may receive the data of one request, which runs by the
/// configuration of its start while newer ones come into force.
///
/// What a newer configuration excludes is excluded at once; what it adds is
/// used by later requests only. If it no longer has the route, the regions of
/// the start stay allowed: the request is then the last of its kind.
class RegionLimits {
 public:
  /// Allows all regions.
  RegionLimits() = default;
  /// @param in_force the host's routes, which change during the request; must
  /// outlive it.
  /// @param route of `*in_force` by which the request runs.
  /// @param host, path of the request, by which its route is found again.
  RegionLimits(const std::shared_ptr<const RouteTable>& in_force,
               const Route& route, std::string host, std::string path);

  /// @return the regions that the configuration in force allows; empty for all.
  const std::vector<RegionName>& InForce() const;

  /// @return whether a target in the region may receive the request.
  bool Allows(const RegionName& region) const;

 private:
  const std::shared_ptr<const RouteTable>* in_force_ = nullptr;
  std::shared_ptr<const RouteTable> at_start_;
  std::vector<RegionName> regions_at_start_;
  std::string host_;
  std::string path_;
};

}  // namespace cherrydyke
