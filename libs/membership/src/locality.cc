#include "membership/locality.h"

namespace cherrydyke {

RegionName Locality::RegionOf(const FailureDomainName& domain) const {
  const auto found = regions.find(domain);
  return found == regions.end() ? "" : found->second;
}

Distance Locality::DistanceBetween(const FailureDomainName& a,
                                   const FailureDomainName& b) const {
  if (a == b) return Distance::kSameDomain;
  return RegionOf(a) == RegionOf(b) ? Distance::kSameRegion
                                    : Distance::kOtherRegion;
}

}  // namespace cherrydyke
