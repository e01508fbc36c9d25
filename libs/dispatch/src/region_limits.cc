#include "dispatch/region_limits.h"

#include <utility>

#include "dispatch/handover_choice.h"

namespace cherrydyke {

RegionLimits::RegionLimits(const std::shared_ptr<const RouteTable>& in_force,
                           const Route& route, std::string host,
                           std::string path)
    : in_force_(&in_force),
      at_start_(in_force),
      regions_at_start_(route.allowed_regions),
      host_(std::move(host)),
      path_(std::move(path)) {}

const std::vector<RegionName>& RegionLimits::InForce() const {
  if (in_force_ == nullptr || *in_force_ == at_start_) {
    return regions_at_start_;
  }
  const Route* const route = (*in_force_)->Find(host_, path_);
  return route == nullptr ? regions_at_start_ : route->allowed_regions;
}

bool RegionLimits::Allows(const RegionName& region) const {
  return MayReceive(region, regions_at_start_) && MayReceive(region, InForce());
}

}  // namespace cherrydyke
