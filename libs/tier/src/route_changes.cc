#include "tier/route_changes.h"

#include <map>
#include <string>
#include <utility>

namespace cherrydyke {
namespace {

using RouteKey = std::pair<std::string, std::string>;

RouteKey KeyOf(const Route& route) { return {route.host, route.prefix}; }

// The first route of a host and prefix is the one that gets its requests.
std::map<RouteKey, const Route*> ByKey(const RouteTable& table) {
  std::map<RouteKey, const Route*> routes;
  for (const Route& route : table.routes()) {
    routes.try_emplace(KeyOf(route), &route);
  }
  return routes;
}

}  // namespace

void RouteChanges::OnRoutes(const RouteTable* before, const RouteTable& table,
                            absl::Time now) {
  const std::map<RouteKey, const Route*> routes = ByKey(table);
  const std::map<RouteKey, const Route*> routes_before =
      before == nullptr ? std::map<RouteKey, const Route*>() : ByKey(*before);
  std::map<RouteKey, RouteChange> changes;
  const RouteChange change = {table.version(),
                              before == nullptr ? 0 : before->version(),
                              LineAllowance(now, window_)};
  for (const auto& [key, route] : routes) {
    const auto found = routes_before.find(key);
    if (found == routes_before.end() || !(*found->second == *route)) {
      changes.emplace(key, change);
    }
  }
  for (const auto& [key, route] : routes_before) {
    if (routes.count(key) == 0) changes.emplace(key, change);
  }
  for (size_t i = 0; i < changes_.size(); ++i) {
    if (changes_[i].lines.IsOver(now)) continue;
    changes.try_emplace(KeyOf(index_.routes()[i]), changes_[i]);
  }
  std::vector<Route> changed;
  changes_.clear();
  for (const auto& [key, entry] : changes) {
    Route route;
    std::tie(route.host, route.prefix) = key;
    changed.push_back(std::move(route));
    changes_.push_back(entry);
  }
  index_ = RouteTable(table.version(), std::move(changed), {});
}

RouteChange* RouteChanges::Find(absl::string_view host, absl::string_view path,
                                size_t matched_prefix, absl::Time now) {
  if (changes_.empty()) return nullptr;
  const Route* const found = index_.Find(host, path);
  if (found == nullptr || found->prefix.size() < matched_prefix) return nullptr;
  RouteChange& change =
      changes_[static_cast<size_t>(found - index_.routes().data())];
  return change.lines.IsOver(now) ? nullptr : &change;
}

}  // namespace cherrydyke
