#pragma once

#include <cstddef>
#include <map>

#include "base/ids.h"

namespace cherrydyke {

/// How far two failure domains are from each other.
enum class Distance { kSameDomain, kSameRegion, kOtherRegion };
constexpr size_t kDistanceCount = 3;

/// Where a host stands, among all failure domains.
struct Locality {
  HostId host;
  FailureDomainName failure_domain;
  /// Region of each failure domain.
  std::map<FailureDomainName, RegionName> regions;

  /// @return the region, or "" for a failure domain that is not known.
  RegionName RegionOf(const FailureDomainName& domain) const;
  Distance DistanceBetween(const FailureDomainName& a,
                           const FailureDomainName& b) const;

  friend bool operator==(const Locality& a, const Locality& b) {
    return a.host == b.host && a.failure_domain == b.failure_domain &&
           a.regions == b.regions;
  }
};

}  // namespace cherrydyke
