#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {

/// Addresses by which the daemons of a fleet are found.
struct FleetAddress {
  /// The platform's `IP:PORT`, from which the host list is read.
  Endpoint platform;
  int entry_port = 7400;
  int gate_port = 7401;
};

/// One daemon that runs on a host of the host list.
struct DaemonAddress {
  HostId host;
  std::string failure_domain;
  /// `entry` or `gate`.
  std::string kind;
  Endpoint http;
};

/// Reads the host list from the platform.
///
/// @return the entry and the gate daemon of every listed entry host.
Result<std::vector<DaemonAddress>> ListDaemons(const FleetAddress& fleet);

/// Requests the status of every daemon, one after another.
///
/// @return an array with `host`, `failure_domain`, `kind`, `reachable` and
///     `status` for each daemon. `reachable` is false unless the daemon
///     returned a JSON object.
nlohmann::json ReadStatuses(const std::vector<DaemonAddress>& daemons);

/// Formats statuses from ReadStatuses() as a table of daemons with the
/// revisions that they use, followed by the configuration changes that they
/// refused.
std::string RevisionTable(const nlohmann::json& statuses);

/// Formats statuses from ReadStatuses() as a table of targets.
std::string TargetTable(const nlohmann::json& statuses);

/// Collects the spans of one request from every daemon. Daemons that do not
/// respond are skipped.
///
/// @return an array of spans, each with its host as the attribute `at`.
nlohmann::json CollectSpans(const std::vector<DaemonAddress>& daemons,
                            const std::string& request_id);

/// Requests a graceful shutdown of one daemon.
///
/// @return whether the daemon accepted the request.
bool RequestDrain(const DaemonAddress& daemon);

}  // namespace cherrydyke
