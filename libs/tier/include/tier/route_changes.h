#pragma once

#include <cstdint>
#include <vector>

#include "absl/strings/string_view.h"
#include "dispatch/route_table.h"
#include "tier/line_allowance.h"

namespace cherrydyke {

/// The last change of a route that this host put in force.
struct RouteChange {
  int64_t version = 0;
  int64_t version_before = 0;
  LineAllowance lines;
};

/// Routes that were added, removed or changed within a window of time.
///
/// Pure: time is an argument.
class RouteChanges {
 public:
  explicit RouteChanges(absl::Duration window) : window_(window) {}

  /// A route table comes into force.
  /// @param before the one in force until now, or null.
  void OnRoutes(const RouteTable* before, const RouteTable& table,
                absl::Time now);

  /// @param matched_prefix length of the prefix of the route that handles the
  /// path, 0 for none: changes of shorter prefixes don't concern it.
  /// @return the change of the route that handles the path, or would by another
  /// version; null if there was none within the window.
  RouteChange* Find(absl::string_view host, absl::string_view path,
                    size_t matched_prefix, absl::Time now);

  bool empty() const { return changes_.empty(); }

 private:
  absl::Duration window_;
  /// The changed routes, which find a path's change as a table finds its route.
  RouteTable index_;
  /// In the order of the routes in the index.
  std::vector<RouteChange> changes_;
};

}  // namespace cherrydyke
