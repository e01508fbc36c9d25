#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {

/// Where to find the fleet.
struct FleetAddress {
  /// The platform's `IP:PORT`, for the host list.
  Endpoint platform;
  int entry_port = 7400;
  int gate_port = 7401;
};

/// One daemon as the host list places it.
struct DaemonAddress {
  HostId host;
  std::string failure_domain;
  /// `entry` or `gate`.
  std::string kind;
  Endpoint http;
};

/// Reads the host list. @return every entry and gate that it names.
Result<std::vector<DaemonAddress>> ListDaemons(const FleetAddress& fleet);

/// Asks every daemon for its status. @return an array with `host`, `kind`,
/// `reachable` and `status` for each.
nlohmann::json ReadStatuses(const std::vector<DaemonAddress>& daemons);

/// Tables of the statuses for people.
std::string RevisionTable(const nlohmann::json& statuses);
std::string TargetTable(const nlohmann::json& statuses);

/// Collects the spans of one request from every daemon.
nlohmann::json CollectSpans(const std::vector<DaemonAddress>& daemons,
                            const std::string& request_id);

/// Asks one daemon to stop gracefully. @return whether it agreed.
bool RequestDrain(const DaemonAddress& daemon);

}  // namespace cherrydyke
