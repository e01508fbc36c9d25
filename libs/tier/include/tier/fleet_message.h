#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "dispatch/crash_tracker.h"
#include "dispatch/target_health_report.h"
#include "membership/host_table.h"

namespace cherrydyke {

/// What hosts tell each other by datagram.
struct FleetMessage {
  HostNews news;
  Revision config_revision = 0;
  Revision targets_revision = 0;
  std::vector<CrashCount> crashes;
  /// What the sender saw of targets lately.
  std::vector<TargetHealthReport> evidence;

  friend bool operator==(const FleetMessage& a, const FleetMessage& b) {
    return std::tie(a.news, a.config_revision, a.targets_revision, a.crashes,
                    a.evidence) == std::tie(b.news, b.config_revision,
                                            b.targets_revision, b.crashes,
                                            b.evidence);
  }
};

/// @return the message as a datagram.
std::string EncodeFleetMessage(const FleetMessage& message);
/// @return the message, or an error for anything else.
Result<FleetMessage> DecodeFleetMessage(const std::string& datagram);

}  // namespace cherrydyke
