#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "adapters/platform.h"
#include "base/clock.h"
#include "hosting/control_plane.h"
#include "hosting/settings.h"
#include "telemetry/metrics.h"
#include "telemetry/span.h"
#include "wire/partition_injection.h"

namespace cherrydyke {

/// What every daemon of the system has: its settings and identity, its ways to
/// peers and platform, its metrics and spans.
class Daemon {
 public:
  /// @param max_spans spans kept for explanation.
  Daemon(const DaemonSettings& settings, DaemonKind kind, size_t max_spans);
  virtual ~Daemon() = default;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Starts, prints the ready line, waits for the stop signal and stops
  /// gracefully. @return the exit code.
  int Run();

 protected:
  using NamedEndpoints = std::vector<std::pair<std::string, Endpoint>>;

  virtual Status Start() = 0;
  virtual void Shutdown() = 0;
  /// @return what the daemon listens on, for the ready line.
  virtual NamedEndpoints ListenAddresses() const = 0;

  /// Opens the gossip port of this kind and makes the control plane on it.
  Result<std::unique_ptr<ControlPlane>> MakeControlPlane(
      ControlPlane::Callbacks callbacks);

  const DaemonSettings settings_;
  const DaemonKind kind_;
  const Incarnation incarnation_;
  BootClock clock_;
  Metrics metrics_;
  SpanStore spans_;
  PartitionedAddresses partitioned_addresses_;
  PartitionInjectingConnector connector_;
  std::unique_ptr<Platform> platform_;
};

}  // namespace cherrydyke
