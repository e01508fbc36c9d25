#include <memory>

#include "absl/time/clock.h"
#include "gate/gate_service.h"
#include "hosting/daemon.h"
#include "hosting/program.h"
#include "kernel/registry.h"
#include "nlohmann/json.hpp"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

constexpr absl::Duration kReportPeriod = absl::Milliseconds(100);
constexpr absl::Duration kLeaseUpdatePeriod = absl::Milliseconds(50);
constexpr absl::Duration kPeerCheckPeriod = absl::Milliseconds(500);
constexpr absl::Duration kPeerConnectTimeout = absl::Milliseconds(200);
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(20);
constexpr absl::Duration kMaxDrainTime = absl::Seconds(10);
constexpr size_t kMaxSpans = 50'000;
constexpr size_t kMaxQuarantineNotices = 16;

/// The gate process: creates the components of a gate and connects them.
class GateDaemon : public Daemon {
 public:
  explicit GateDaemon(const DaemonSettings& settings)
      : Daemon(settings, DaemonKind::kGate, kMaxSpans),
        protocol_(
            Registry<TargetProtocol>::Get().Create(settings.target_protocol)),
        leases_(settings.host_id, settings.failure_domain, clock_),
        http_({}) {}

 private:
  Status Start() override;
  NamedEndpoints ListenAddresses() const override;
  Status StartControl();
  ControlPlane::Callbacks MakeListeners();
  void UpdateLeases();
  void CheckUnresponsivePeers();
  void AddRoutes();
  std::string StatusJson();
  void Shutdown() override;

  std::unique_ptr<TargetProtocol> protocol_;
  SynchronizedTargetLeases leases_;
  std::unique_ptr<ControlPlane> control_;
  std::unique_ptr<GateService> service_;
  std::unique_ptr<LinkServer> links_;
  std::thread peer_checker_;
  std::atomic<bool> stopping_{false};
  HttpServer http_;
};

ControlPlane::Callbacks GateDaemon::MakeListeners() {
  ControlPlane::Callbacks listeners;
  listeners.on_catalogue = [this](const Catalogue& catalogue) {
    service_->OnCatalogue(catalogue);
  };
  listeners.on_hosts = [this](const HostList& hosts) {
    leases_.Update([&](TargetLeases& leases, absl::Time now) {
      leases.OnHostList(hosts, now);
    });
    service_->OnHosts(hosts);
  };
  listeners.on_heartbeat = [this](const Heartbeat& heartbeat,
                                  absl::Time echo_sent_at) {
    service_->OnQuarantineNotices(heartbeat.quarantines);
    const bool is_domain_peer =
        heartbeat.kind == DaemonKind::kGate &&
        heartbeat.host != settings_.host_id &&
        heartbeat.failure_domain == settings_.failure_domain;
    if (!is_domain_peer) return;
    service_->OnLeasesAcquired(
        leases_.Update([&](TargetLeases& leases, absl::Time now) {
          leases.OnPeerHeartbeat(heartbeat.host, heartbeat.incarnation,
                                 heartbeat.hosts_revision,
                                 heartbeat.settled_revision, echo_sent_at, now);
        }));
  };
  listeners.on_platform_contact = [this](absl::Time request_sent_at) {
    leases_.Update([&](TargetLeases& leases, absl::Time /*now*/) {
      leases.OnPlatformContact(request_sent_at);
    });
  };
  listeners.complete_heartbeat = [this](Heartbeat& heartbeat) {
    heartbeat.settled_revision = leases_.settled_revision();
    heartbeat.quarantines = service_->QuarantineNotices(kMaxQuarantineNotices);
  };
  return listeners;
}

Status GateDaemon::StartControl() {
  const Ports& ports = settings_.ports;
  auto control = MakeControlPlane(MakeListeners());
  if (const Error* error = GetError(control)) return *error;
  control_ = GetValue(std::move(control));
  auto link = Listener::Open(settings_.address, ports.gate_link);
  if (const Error* error = GetError(link)) return *error;
  service_ = std::make_unique<GateService>(
      GateService::Identity{settings_.host_id, settings_.failure_domain,
                            settings_.address, incarnation_},
      GateService::Environment{
          clock_, *protocol_, leases_, spans_, metrics_,
          [this](absl::Duration delay, std::function<void()> task) {
            control_->thread().PostAfter(delay, std::move(task));
          },
          [this] { control_->BroadcastHeartbeat(); }});
  links_ = std::make_unique<LinkServer>(
      GetValue(std::move(link)), connector_,
      [this](const std::shared_ptr<Link>& from, Message message) {
        service_->OnLinkMessage(from, std::move(message));
      },
      [this](const Error& error) {
        metrics_.counter("cherrydyke_link_faults_total").Add();
        LogWarning("closed link that sent an invalid message",
                   {{"reason", error.message}});
      });
  return OkStatus();
}

Status GateDaemon::Start() {
  if (const Status started = StartControl(); GetError(started) != nullptr) {
    return started;
  }
  control_->thread().Every(kLeaseUpdatePeriod, [this] { UpdateLeases(); });
  control_->thread().Every(kReportPeriod,
                           [this] { links_->Broadcast(service_->Reports()); });
  control_->Start();
  peer_checker_ = std::thread([this] { CheckUnresponsivePeers(); });
  AddRoutes();
  const Result<int> port =
      http_.Start(settings_.address, settings_.ports.gate_http);
  if (const Error* error = GetError(port)) return *error;
  return OkStatus();
}

void GateDaemon::UpdateLeases() {
  service_->OnLeasesAcquired(leases_.Update([](TargetLeases&, absl::Time) {}));
}

// Connects to gates of the same failure domain that are in the host list but
// not live. A refused connection proves that no process of that gate is
// running, because a gate keeps its port open for as long as it may send to
// targets.
void GateDaemon::CheckUnresponsivePeers() {
  while (!stopping_) {
    absl::SleepFor(kPeerCheckPeriod);
    const std::shared_ptr<const HostList> hosts = control_->hosts();
    for (const Host& host : hosts->hosts) {
      const bool is_domain_peer =
          host.kind == HostKind::kEntry &&
          host.failure_domain == settings_.failure_domain &&
          host.id != settings_.host_id;
      if (!is_domain_peer || stopping_) continue;
      bool live = false;
      control_->thread().RunAndWait([&] {
        live = control_->IsLive({host.id, DaemonKind::kGate});
      });
      if (live) continue;
      const auto connection = connector_.Connect(
          MakeEndpoint(host.address, settings_.ports.gate_link),
          kPeerConnectTimeout);
      const auto* failure = std::get_if<ConnectFailure>(&connection);
      if (failure == nullptr || *failure != ConnectFailure::kRefused) continue;
      leases_.Update([&](TargetLeases& leases, absl::Time now) {
        leases.OnPeerDead(host.id, now);
      });
    }
  }
}

void GateDaemon::AddRoutes() {
  AddOperatorRoutes(
      http_, {metrics_, spans_, partitioned_addresses_, settings_.allow_faults,
              [this] {
                return control_->synced() && !stopping_ &&
                       service_->in_service();
              },
              [this] { return StatusJson(); }, RequestStop});
  metrics_.Gauge("cherrydyke_gate_in_flight",
                 [this] { return service_->InFlight(); });
  metrics_.Gauge("cherrydyke_live_peers",
                 [this] { return control_->live_peers(); });
}

std::string GateDaemon::StatusJson() {
  nlohmann::ordered_json status = {
      {"program", "cherrydyke-gate"},
      {"host", settings_.host_id},
      {"failure_domain", settings_.failure_domain},
      {"incarnation", ToHex(incarnation_)},
      {"in_service", service_->in_service()},
      {"draining", stopping_.load()},
      {"catalogue_revision", control_->catalogue()->revision},
      {"catalogue_age_ms",
       absl::ToInt64Milliseconds(control_->catalogue_age())},
      {"hosts_revision", control_->hosts()->revision},
      {"settled_revision", leases_.settled_revision()},
      {"fenced", leases_.Fenced()},
      {"peers", control_->live_peers()},
      {"in_flight", service_->InFlight()}};
  nlohmann::ordered_json targets = nlohmann::ordered_json::array();
  for (const TargetReport& report : service_->Reports().reports) {
    targets.push_back({{"target", report.target},
                       {"state", ToString(report.phase)},
                       {"limit", report.limit},
                       {"in_flight", report.in_flight},
                       {"queued", report.queued},
                       {"latency_us", report.latency_us},
                       {"index_versions", report.versions}});
  }
  status["targets"] = std::move(targets);
  nlohmann::ordered_json refused = nlohmann::ordered_json::array();
  for (const RefusedChange& change : control_->refused_changes()) {
    refused.push_back({{"key", change.change.key},
                       {"revision", change.change.revision},
                       {"reason", change.reason}});
  }
  status["refused_changes"] = std::move(refused);
  return status.dump();
}

// Refuses new requests first, so that entries use other gates, then waits for
// requests in flight. The link port closes after that, because other gates take
// a closed port as proof that no request of this gate is running.
void GateDaemon::Shutdown() {
  stopping_ = true;
  service_->BeginDrain();
  links_->Broadcast(service_->Reports());
  const absl::Time drain_deadline = clock_.Now() + kMaxDrainTime;
  while (service_->InFlight() > 0 && clock_.Now() < drain_deadline) {
    absl::SleepFor(kDrainPollInterval);
  }
  peer_checker_.join();
  control_->Stop();
  service_->Stop();
  links_->Stop();
  http_.Stop();
}

Daemon::NamedEndpoints GateDaemon::ListenAddresses() const {
  const std::string& address = settings_.address;
  return {{"http", MakeEndpoint(address, settings_.ports.gate_http)},
          {"link", MakeEndpoint(address, settings_.ports.gate_link)}};
}

}  // namespace
}  // namespace cherrydyke

int main(int argc, char** argv) {
  cherrydyke::RegisterHttpTargetProtocol();
  return cherrydyke::RunDaemonMain(
      argc, argv, "cherrydyke-gate",
      "Runs sub-requests at the targets of its failure domain assigned to it",
      [](const cherrydyke::DaemonSettings& settings) {
        return cherrydyke::GateDaemon(settings).Run();
      });
}
