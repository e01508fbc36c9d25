#include "hosting/daemon.h"

#include "hosting/program.h"
#include "telemetry/log.h"

namespace cherrydyke {

Daemon::Daemon(const DaemonSettings& settings, DaemonKind kind,
               size_t max_spans)
    : settings_(settings),
      kind_(kind),
      incarnation_(NewIncarnation()),
      spans_(max_spans),
      connector_(std::make_unique<TcpConnector>(settings.address),
                 partitioned_addresses_),
      platform_(MakePartitionedPlatform(
          MakeHttpPlatform(settings.platform, settings.address),
          settings.platform, partitioned_addresses_)) {}

Result<std::unique_ptr<ControlPlane>> Daemon::MakeControlPlane(
    ControlPlane::Callbacks callbacks) {
  const int port = kind_ == DaemonKind::kEntry ? settings_.ports.entry_gossip
                                               : settings_.ports.gate_gossip;
  auto gossip = UdpTransport::Open(settings_.address, port);
  if (const Error* error = GetError(gossip)) return *error;
  auto sync = Listener::Open(settings_.address, port);
  if (const Error* error = GetError(sync)) return *error;
  Transports transports{
      connector_,
      std::make_unique<PartitionInjectingDatagramTransport>(
          GetValue(std::move(gossip)), partitioned_addresses_),
      GetValue(std::move(sync))};
  return std::make_unique<ControlPlane>(
      settings_, ControlPlane::Identity{kind_, incarnation_}, clock_,
      *platform_, std::move(transports), metrics_, std::move(callbacks));
}

int Daemon::Run() {
  if (const Status start_status = Start(); GetError(start_status) != nullptr) {
    LogError("daemon failed to start",
             {{"reason", GetError(start_status)->message}});
    return 1;
  }
  PrintReady(ListenAddresses());
  WaitForStopSignal();
  LogInfo("received a stop signal; shutting down gracefully");
  Shutdown();
  return 0;
}

}  // namespace cherrydyke
