#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// Routes and services of one version of the configuration. Immutable: a
/// request uses the same version from start to end.
class RouteTable {
 public:
  RouteTable() = default;
  RouteTable(int64_t version, std::vector<Route> routes,
             std::vector<ServiceSpec> services);

  int64_t version() const { return version_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::map<ServiceName, ServiceSpec>& services() const {
    return services_;
  }

  /// @return the services that routes send to, without duplicates.
  std::vector<ServiceName> ServicesInUse() const;

  /// @param host as sent by the caller, in any case and with or without a port.
  /// @param path without the query string.
  /// @return the route of the host with the longest matching prefix, or null.
  const Route* Find(absl::string_view host, absl::string_view path) const;

 private:
  int64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<ServiceName, ServiceSpec> services_;
  /// Index into `routes_`; the key is the host, a space and the prefix.
  absl::flat_hash_map<std::string, size_t> by_prefix_;
};

/// Smooth weighted round-robin over the services of one route: chooses the
/// service that is furthest behind its share.
class WeightedRoundRobin {
 public:
  /// @param services with positive weights.
  /// @return an index into `services`.
  size_t Next(const std::vector<WeightedService>& services);

 private:
  std::vector<WeightedService> services_;
  std::vector<double> credit_;
};

}  // namespace cherrydyke
