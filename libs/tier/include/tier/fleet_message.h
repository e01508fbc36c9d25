#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "dispatch/crash_ledger.h"
#include "membership/host_table.h"

namespace cherrydyke {

/// What hosts tell each other by datagram.
struct FleetMessage {
  HostId host;
  FailureDomainName failure_domain;
  /// Hosts that the sender has ever known.
  int known_hosts = 1;
  /// Whether the sender reads the configuration service, and gets answers.
  bool reads = false;
  Revision config_revision = 0;
  Revision targets_revision = 0;
  std::vector<HostAge> hosts;
  std::vector<CrashCount> crashes;

  friend bool operator==(const FleetMessage& a, const FleetMessage& b) {
    return std::tie(a.host, a.failure_domain, a.known_hosts, a.reads,
                    a.config_revision, a.targets_revision, a.hosts,
                    a.crashes) ==
           std::tie(b.host, b.failure_domain, b.known_hosts, b.reads,
                    b.config_revision, b.targets_revision, b.hosts, b.crashes);
  }
};

/// @return the message as a datagram.
std::string EncodeFleetMessage(const FleetMessage& message);
/// @return the message, or an error for anything else.
Result<FleetMessage> DecodeFleetMessage(const std::string& datagram);

}  // namespace cherrydyke
