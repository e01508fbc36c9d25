#pragma once

#include <cstddef>
#include <map>

#include "base/ids.h"

namespace cherrydyke {

/// Distance between two failure domains, nearest first.
enum class Distance { kSameDomain, kSameRegion, kOtherRegion };
constexpr size_t kDistanceCount = 3;

/// The location of a host, and the region of each failure domain.
struct Locality {
  HostId host;
  FailureDomainName failure_domain;
  std::map<FailureDomainName, RegionName> regions;

  /// @return the region, or "" if the failure domain is unknown.
  RegionName RegionOf(const FailureDomainName& domain) const;
  Distance DistanceBetween(const FailureDomainName& a,
                           const FailureDomainName& b) const;

  friend bool operator==(const Locality& a, const Locality& b) {
    return a.host == b.host && a.failure_domain == b.failure_domain &&
           a.regions == b.regions;
  }
};

}  // namespace cherrydyke
