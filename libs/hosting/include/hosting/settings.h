#pragma once

#include <string>
#include <variant>

#include "base/ids.h"
#include "kernel/settings_reader.h"

namespace cherrydyke {

/// Ports, the same on every host, so that the host list needs only addresses.
struct Ports {
  int entry_http = 7400;
  int gate_http = 7401;
  int gate_link = 7410;
  int entry_gossip = 7420;
  int gate_gossip = 7421;
};

/// How an entry chooses replicas and bounds extra work.
struct RoutingSettings {
  std::string replica_picker = "pick_of_two";
  /// Hedges allowed for each primary sub-request; 0 turns hedging off.
  double hedge_ratio = 0.04;
  /// Retries allowed for each primary sub-request.
  double retry_ratio = 0.1;
  /// A hedge is sent after 1.5 times this quantile of sub-request latency.
  double hedge_quantile = 0.9;
};

struct AdmissionSettings {
  /// Requests that an entry runs at once.
  int max_concurrent = 128;
  /// Part of them kept for owners that use less than their part.
  double owner_reserve = 0.5;
};

/// Everything that one entry or gate is told from outside.
struct DaemonSettings {
  HostId host_id;
  FailureDomainName failure_domain;
  std::string address;
  Ports ports;
  Endpoint platform;
  std::string target_protocol = "http";
  std::string log_level = "info";
  RoutingSettings routing;
  AdmissionSettings admission;
  /// Seconds for which a stopping daemon goes on accepting, because the
  /// balancer still sends to it.
  double drain_lag_s = 3;
  /// Whether the HTTP face offers faults for tests.
  bool allow_faults = false;
};

/// Reads and checks a TOML settings file.
std::variant<DaemonSettings, SettingsErrors> ReadSettings(
    const std::string& file_name);

/// As `ReadSettings`, from text.
std::variant<DaemonSettings, SettingsErrors> ParseSettings(
    const std::string& file_name, const std::string& text);

}  // namespace cherrydyke
