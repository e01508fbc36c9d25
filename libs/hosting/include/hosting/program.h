#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "hosting/settings.h"
#include "kernel/command_line.h"
#include "telemetry/metrics.h"
#include "telemetry/span.h"
#include "wire/partition_injection.h"

namespace cherrydyke {

/// Blocks SIGTERM and SIGINT for `WaitForStopSignal` and ignores SIGPIPE. Call
/// before any thread starts.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

/// Runs a daemon's `main`: reads the command line (`--config`, `--check`,
/// `--version`, `--help`), checks the settings and calls `run`.
/// @return the exit code; 2 for errors in the command line or the settings.
int RunDaemonMain(int argc, char** argv, const std::string& name,
                  const std::string& description,
                  const std::function<int(const DaemonSettings&)>& run);

/// Data and callbacks behind the HTTP endpoints for operators, which all
/// daemons have.
struct OperatorApi {
  Metrics& metrics;
  SpanStore& spans;
  PartitionedAddresses& partitioned_addresses;
  /// Whether to offer fault injection for tests.
  bool allow_faults = false;
  std::function<bool()> is_ready;
  /// @return the body of `/v1/status`.
  std::function<std::string()> status;
  /// Starts a graceful shutdown.
  std::function<void()> drain;
};

/// Adds `/livez`, `/readyz`, `/metrics`, `/v1/status`, `/v1/spans`,
/// `/v1/log_level` and `/v1/drain`, and `/debug/cut` if faults are allowed.
void AddOperatorRoutes(HttpServer& server, const OperatorApi& api);

/// Starts a graceful shutdown by sending SIGTERM to this process.
void RequestStop();

}  // namespace cherrydyke
