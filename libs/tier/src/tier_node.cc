#include "tier/tier_node.h"

#include <utility>

#include "telemetry/log.h"

namespace cherrydyke {
namespace {

/// Entries that lapsed while the configuration service was away are back this
/// soon after its return, if their targets live.
constexpr absl::Duration kLapsedEntryTime = absl::Milliseconds(2200);
/// How long a stopping host goes on taking requests, until whoever directs
/// callers has asked twice for its readiness and callers know that it leaves.
constexpr absl::Duration kLeaveTime = absl::Milliseconds(2600);
/// Kept free at the end of the time to stop.
constexpr absl::Duration kStopReserve = absl::Milliseconds(400);
/// How often it is decided who reads the configuration service.
constexpr absl::Duration kReaderCheckPeriod = absl::Milliseconds(250);
/// How often a line tells what the host has done so far.
constexpr absl::Duration kLoadLogPeriod = absl::Seconds(10);
constexpr absl::Duration kStopStep = absl::Milliseconds(100);

/// After a loss of all hosts targets are full of their connections, and turn
/// new ones away, until they time them out.
constexpr absl::Duration kProveTime = absl::Seconds(10);

engine::ClientOptions TargetOptions(const CallerFace& face,
                                    absl::Time started) {
  engine::ClientOptions options;
  options.id_header = face.id_header();
  options.prove_until = started + kProveTime;
  return options;
}

HostTable::Options HostOptions(const Locality& locality) {
  HostTable::Options options;
  for (const auto& [domain, region] : locality.regions) {
    options.domains.push_back(domain);
  }
  return options;
}

}  // namespace

TierNode::TierNode(engine::EventLoop& loop, TierSettings settings,
                   TierFaces faces)
    : loop_(loop),
      settings_(std::move(settings)),
      faces_(faces),
      hosts_({settings_.locality.host, settings_.locality.failure_domain},
             settings_.seeds, HostOptions(settings_.locality), loop.Now()),
      crashes_(NewIncarnation()),
      targets_(loop, settings_.locality, settings_.bounds,
               TargetOptions(faces.callers, loop.Now()), hosts_,
               settings_.policy),
      queries_({loop, faces.callers, targets_, crashes_, metrics_,
                settings_.policy, [this] { fleet_.Gossip(); }}),
      fleet_(loop,
             {{settings_.locality.host, settings_.locality.failure_domain},
              settings_.fleet_port},
             hosts_, crashes_, config_items_, target_items_),
      callers_(
          loop, [this] { return limits_; },
          [this](std::shared_ptr<engine::ServerExchange> exchange) {
            queries_.OnRequest(std::move(exchange));
          }),
      readiness_(
          loop, [] { return engine::ServerLimits(); },
          [this](const std::shared_ptr<engine::ServerExchange>& exchange) {
            ServeReadiness(*exchange);
          }),
      metrics_server_(
          loop, [] { return engine::ServerLimits(); },
          [this](const std::shared_ptr<engine::ServerExchange>& exchange) {
            ServeMetrics(*exchange);
          }) {}

Status TierNode::Start() {
  RegisterGauges();
  if (Status s = readiness_.Listen(settings_.ready_endpoint); GetError(s)) {
    return s;
  }
  if (!settings_.metrics_endpoint.empty()) {
    const Status listening = metrics_server_.Listen(settings_.metrics_endpoint);
    // Callers matter more than figures.
    if (const Error* error = GetError(listening)) {
      LogError("no metrics", {{"error", error->message}});
    }
  }
  if (Status s = callers_.Listen(settings_.caller_endpoint); GetError(s)) {
    return s;
  }
  const Status linked = fleet_.Start(
      {[this](bool config, bool targets) { Apply(config, targets); },
       [this] { targets_.OnHostsChanged(); },
       [this] { return faces_.source.IsReading(); },
       [this] { return loop_.Now() - regained_at_; },
       [this](absl::Duration age) {
         regained_at_ = std::max(regained_at_, loop_.Now() - age);
       },
       [this](size_t limit) { return targets_.TakeEvidence(limit); },
       [this](uint64_t fingerprint) { queries_.OnQuarantined(fingerprint); },
       [this](const std::vector<TargetHealthReport>& evidence) {
         targets_.OnEvidence(evidence);
       }});
  if (GetError(linked)) return linked;
  faces_.source.Start(config_items_, target_items_, *this);
  timers_.Every(kReaderCheckPeriod, [this] { ChooseReader(); });
  timers_.Every(kLoadLogPeriod, [this] { LogLoad(); });
  return OkStatus();
}

void TierNode::RegisterGauges() {
  metrics_.Gauge("cherrydyke_requests_running",
                 [this] { return static_cast<double>(queries_.running()); });
  metrics_.Gauge("cherrydyke_targets",
                 [this] { return static_cast<double>(targets_.size()); });
  metrics_.Gauge("cherrydyke_target_connections", [this] {
    return static_cast<double>(targets_.open_connections());
  });
  metrics_.Gauge("cherrydyke_caller_connections", [this] {
    return static_cast<double>(callers_.connections());
  });
  metrics_.Gauge("cherrydyke_known_hosts", [this] {
    return static_cast<double>(hosts_.SharingHosts(loop_.Now()));
  });
  metrics_.Gauge("cherrydyke_crash_suspects",
                 [this] { return static_cast<double>(crashes_.size()); });
  metrics_.Gauge("cherrydyke_config_version",
                 [this] { return static_cast<double>(queries_.version()); });
}

void TierNode::OnPublished(bool config, bool targets) {
  Apply(config, targets);
  ChooseReader();
  // Those for whom this host reads take it from here.
  fleet_.PassOn();
}

void TierNode::Apply(bool config, bool targets) {
  const bool was_ready = IsReady();
  if (targets) ApplyTargets();
  if (config) ApplyConfig();
  // Where all started while the configuration service was away, others wait for
  // the first word of one that knows.
  if (IsReady() && !was_ready) fleet_.Gossip();
}

void TierNode::LogLoad() {
  const SendCounts& sends = targets_.counts();
  const auto& [same_domain, same_region, other_region] = sends.by_distance;
  int64_t left_out = TakeDroppedLines();
  for (const auto& dropped :
       {queries_.TakeDroppedLines(), targets_.TakeDroppedLines(),
        fleet_.TakeDroppedLines()}) {
    for (const auto& [kind, lines] : dropped) left_out += lines;
  }
  const ServiceCounts services = targets_.CountServices();
  LogInfo("load",
          {{"running", queries_.running()},
           {"caller_connections", callers_.connections()},
           {"target_connections", targets_.open_connections()},
           {"sends_same_domain", same_domain},
           {"sends_same_region", same_region},
           {"sends_other_region", other_region},
           {"sends_extra", sends.extra},
           {"sends_suspect", sends.suspect},
           {"sends_cold", sends.cold},
           {"over_budget", sends.over_budget},
           {"borrowed", sends.borrowed},
           {"passed_over", sends.passed_over.ToString()},
           {"services", services.in_use},
           {"services_without_alternative", services.without_alternative},
           {"lines_left_out", left_out}});
}

void TierNode::ApplyConfig() {
  Result<OperatorConfig> decoded = faces_.decoder.DecodeConfig(config_items_);
  if (const Error* error = GetError(decoded)) {
    LogError("configuration refused",
             {{"error", error->message}, {"revision", config_items_.newest()}});
    return;
  }
  OperatorConfig& config = GetValue(decoded);
  if (config.routes == nullptr) return;
  LogInfo("configuration in force",
          {{"version", config.routes->version()},
           {"revision", config_items_.newest()},
           {"routes", config.routes->routes().size()},
           {"services", config.routes->services().size()},
           {"evacuated", config.evacuated.size()}});
  limits_ = config.limits;
  targets_.SetOrders({config.routes->services(), std::move(config.evacuated)});
  targets_.Expect(config.routes->ServicesInUse());
  queries_.SetRoutes(std::move(config.routes));
}

void TierNode::ApplyTargets() {
  const bool lapsed = loop_.Now() - regained_at_ < kLapsedEntryTime;
  targets_.SetTargets(faces_.decoder.DecodeTargets(target_items_),
                      lapsed ? kLapsedEntryTime : absl::ZeroDuration());
  LogInfo("targets changed",
          {{"targets", targets_.size()}, {"revision", target_items_.newest()}});
}

void TierNode::ChooseReader() {
  const bool is_blank =
      config_items_.newest() == 0 || target_items_.newest() == 0;
  const bool was_reading = faces_.source.IsReading();
  faces_.source.SetReading(hosts_.ShouldRead(is_blank, loop_.Now()));
  // Those who would take over as well hear at once that this host does.
  if (faces_.source.IsReading() && !was_reading) fleet_.PassOn();
}

void TierNode::OnSourceRegained() { regained_at_ = loop_.Now(); }

bool TierNode::IsReady() const {
  return !stopping_since_ && queries_.has_routes() && targets_.size() > 0;
}

void TierNode::ServeReadiness(engine::ServerExchange& exchange) {
  engine::HttpResponse response;
  response.status = IsReady() ? 200 : 503;
  exchange.Respond(std::move(response));
}

void TierNode::ServeMetrics(engine::ServerExchange& exchange) {
  engine::HttpResponse response;
  response.status = 200;
  response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  response.body = metrics_.Render();
  exchange.Respond(std::move(response));
}

void TierNode::BeginStop() {
  if (stopping_since_) return;
  stopping_since_ = loop_.Now();
  LogInfo("stopping", {{"running", queries_.running()},
                       {"connections", callers_.connections()}});
  callers_.CloseAfterAnswers();
  ContinueStop();
}

void TierNode::ContinueStop() {
  const absl::Duration stopped = loop_.Now() - *stopping_since_;
  if (stopped >= kLeaveTime) {
    callers_.CloseIdle();
    const bool out_of_time = stopped >= settings_.stop_grace - kStopReserve;
    if (queries_.running() == 0 || out_of_time) {
      LogInfo("stopped", {{"running", queries_.running()},
                          {"after_ms", absl::ToInt64Milliseconds(stopped)}});
      return loop_.Stop();
    }
  }
  timers_.RunAfter(kStopStep, [this] { ContinueStop(); });
}

}  // namespace cherrydyke
