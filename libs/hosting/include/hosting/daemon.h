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

/// Base class of the daemons: settings, identity, connections to peers and
/// platform, metrics and spans.
class Daemon {
 public:
  /// @param max_spans maximum number of spans kept for `/v1/spans`.
  Daemon(const DaemonSettings& settings, DaemonKind kind, size_t max_spans);
  virtual ~Daemon() = default;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Starts the daemon, prints the ready line, waits for a stop signal and
  /// shuts down gracefully.
  /// @return the exit code.
  int Run();

 protected:
  using NamedEndpoints = std::vector<std::pair<std::string, Endpoint>>;

  virtual Status Start() = 0;
  virtual void Shutdown() = 0;
  /// @return the endpoints that the daemon listens on, for the ready line.
  virtual NamedEndpoints ListenAddresses() const = 0;

  /// Opens the gossip port of this kind of daemon over UDP and TCP and creates
  /// the control plane on it.
  /// @return the control plane, or an error if the port cannot be opened.
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
