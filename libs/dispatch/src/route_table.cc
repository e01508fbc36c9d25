#include "dispatch/route_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace cherrydyke {

RouteTable::RouteTable(int64_t version, std::vector<Route> routes,
                       std::vector<ServiceSpec> services)
    : version_(version), routes_(std::move(routes)) {
  for (ServiceSpec& service : services) {
    const ServiceName name = service.name;
    services_.emplace(name, std::move(service));
  }
  for (size_t index = 0; index < routes_.size(); ++index) {
    const Route& route = routes_[index];
    by_prefix_.try_emplace(absl::StrCat(route.host, " ", route.prefix), index);
  }
}

std::vector<ServiceName> RouteTable::ServicesInUse() const {
  std::set<ServiceName> names;
  for (const Route& route : routes_) {
    names.insert(route.shards.begin(), route.shards.end());
    for (const WeightedService& backend : route.backends) {
      names.insert(backend.service);
    }
  }
  return {names.begin(), names.end()};
}

const Route* RouteTable::Find(absl::string_view host,
                              absl::string_view path) const {
  host = host.substr(0, host.find(':'));
  std::string key = absl::StrCat(absl::AsciiStrToLower(host), " ");
  const size_t path_begins = key.size();
  absl::StrAppend(&key, path);
  size_t slash = key.rfind('/');
  while (slash != std::string::npos && slash >= path_begins) {
    key.resize(slash + 1);
    if (const auto found = by_prefix_.find(key); found != by_prefix_.end()) {
      return &routes_[found->second];
    }
    if (slash == path_begins) break;
    slash = key.rfind('/', slash - 1);
  }
  return nullptr;
}

size_t WeightedRoundRobin::Next(const std::vector<WeightedService>& services) {
  if (services != services_) {
    services_ = services;
    credit_.assign(services.size(), 0);
  }
  double total = 0;
  for (const WeightedService& service : services) total += service.weight;
  for (size_t index = 0; index < services.size(); ++index) {
    credit_[index] += services[index].weight / total;
  }
  const auto best = std::max_element(credit_.begin(), credit_.end());
  *best -= 1;
  return static_cast<size_t>(best - credit_.begin());
}

}  // namespace cherrydyke
