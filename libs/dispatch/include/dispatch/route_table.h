#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// The routes and services of one version of the configuration. Immutable, so
/// that a request keeps the version it began with.
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

  /// @return the services that some route sends to, each once.
  std::vector<ServiceName> ServicesInUse() const;

  /// @param host as the caller sent it: any case, perhaps with a port.
  /// @param path without its query.
  /// @return the route of the host with the longest prefix of the path, or
  /// null.
  const Route* Find(absl::string_view host, absl::string_view path) const;

 private:
  int64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<ServiceName, ServiceSpec> services_;
  /// Index into `routes_` by host, a space and the prefix.
  absl::flat_hash_map<std::string, size_t> by_prefix_;
};

/// Spreads the requests of one route over its weighted services evenly: each
/// service is chosen when it is furthest behind its share.
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
