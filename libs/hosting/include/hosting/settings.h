#pragma once

#include <string>
#include <variant>

#include "base/ids.h"
#include "kernel/settings_reader.h"

namespace cherrydyke {

/// Listening ports. They are the same on every host, so that the host list
/// needs to contain addresses only.
struct Ports {
  int entry_http = 7400;
  int gate_http = 7401;
  int gate_link = 7410;
  int entry_gossip = 7420;
  int gate_gossip = 7421;
};

/// How an entry chooses replicas and limits hedges and retries.
struct RoutingSettings {
  std::string replica_picker = "pick_of_two";
  /// Maximum number of hedges per primary sub-request; 0 disables hedging.
  double hedge_ratio = 0.04;
  /// Maximum number of retries per primary sub-request.
  double retry_ratio = 0.1;
  /// A hedge is sent after 1.5 times this quantile of sub-request latency.
  double hedge_quantile = 0.9;
};

struct AdmissionSettings {
  /// Maximum number of requests that an entry runs concurrently.
  int max_concurrent = 128;
  /// Fraction of them reserved for owners that use less than their share.
  double owner_reserve = 0.5;
};

/// Settings of one entry or gate.
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
  /// How long a daemon that shuts down continues to accept requests, in
  /// seconds, because the load balancer still sends to it.
  double drain_lag_s = 3;
  /// Whether the HTTP server offers fault injection for tests.
  bool allow_faults = false;
};

/// Reads and validates a TOML settings file.
/// @return the settings, or all errors found.
std::variant<DaemonSettings, SettingsErrors> ReadSettings(
    const std::string& file_name);

/// Parses and validates settings, as `ReadSettings` does.
/// @param file_name name used in errors.
std::variant<DaemonSettings, SettingsErrors> ParseSettings(
    const std::string& file_name, const std::string& text);

}  // namespace cherrydyke
