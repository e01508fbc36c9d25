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
      connector_(std::make_unique<TcpConnector>(settings.address), cuts_),
      platform_(MakePartitionedPlatform(
          MakeHttpPlatform(settings.platform, settings.address),
          settings.platform, cuts_)) {}

Result<std::unique_ptr<ControlPlane>> Daemon::MakeControl(
    ControlPlane::Listeners listeners) {
  const int port = kind_ == DaemonKind::kEntry ? settings_.ports.entry_gossip
                                               : settings_.ports.gate_gossip;
  auto gossip = UdpTransport::Open(settings_.address, port);
  if (const Error* error = GetError(gossip)) return *error;
  auto sync = Listener::Open(settings_.address, port);
  if (const Error* error = GetError(sync)) return *error;
  Transports transports{connector_,
                        std::make_unique<CutDatagramTransport>(
                            GetValue(std::move(gossip)), cuts_),
                        GetValue(std::move(sync))};
  return std::make_unique<ControlPlane>(
      settings_, ControlPlane::Self{kind_, incarnation_}, clock_, *platform_,
      std::move(transports), metrics_, std::move(listeners));
}

int Daemon::Run() {
  if (const Status started = Start(); GetError(started) != nullptr) {
    LogError("cannot start", {{"reason", GetError(started)->message}});
    return 1;
  }
  PrintReady(Listening());
  WaitForStopSignal();
  LogInfo("stopping gracefully");
  Shutdown();
  return 0;
}

}  // namespace cherrydyke
