#include "tier/tier_host.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "telemetry/log.h"
#include "tier/poll_schedule.h"

namespace cherrydyke {
namespace {

/// Timers that are later than this after being punctual show that the host was
/// frozen, not that it is short of processor time; how soon the lateness is
/// measured again then.
constexpr absl::Duration kMinFreezeTime = absl::Milliseconds(500);
constexpr absl::Duration kLatenessRecheckPeriod = absl::Milliseconds(50);
/// How often the counters of the host are logged.
constexpr absl::Duration kLoadLogPeriod = absl::Seconds(10);
constexpr absl::Duration kShutdownPollPeriod = absl::Milliseconds(100);

/// How long after the start new connections to targets are verified before use:
/// after a failure of all hosts, targets hold the old connections until they
/// time out, and until then close new ones beyond their limits.
constexpr absl::Duration kVerifyNewConnectionsTime = absl::Seconds(10);

engine::ClientOptions TargetOptions(const ProtocolAdapter& protocol,
                                    absl::Time started) {
  engine::ClientOptions options;
  options.id_header = protocol.request_id_header();
  options.verify_new_connections_until = started + kVerifyNewConnectionsTime;
  return options;
}

// The limits of the port between hosts: a request that is handed over contains
// the caller's header and body.
engine::ServerLimits FleetServerLimits(const engine::ServerLimits& callers) {
  constexpr uint64_t kEnvelopeBytes = 64U << 10U;
  engine::ServerLimits limits;
  limits.max_body_bytes =
      callers.max_body_bytes + callers.max_header_bytes + kEnvelopeBytes;
  return limits;
}

HostTable::Options HostOptions(const TierSettings& settings) {
  HostTable::Options options;
  for (const auto& [domain, region] : settings.locality.regions) {
    options.domains.push_back(domain);
  }
  options.reader_allowance = ReaderAllowance(settings.policy.watch_calls_per_s,
                                             PollSchedule::MaxCallsPerSecond());
  return options;
}

PublishedFreshness::Options FreshnessOptions(const PublishingTimes& times,
                                             const HostId& host) {
  std::mt19937_64 random(NewIncarnation());
  std::uniform_real_distribution<double> fraction(0, 1);
  PublishedFreshness::Options options;
  options.max_peer_age = times.PeerAge(fraction(random));
  options.retry_pause = times.RetryPause(fraction(random));
  options.self = static_cast<uint32_t>(StableHash(host));
  return options;
}

}  // namespace

TierHost::TierHost(engine::EventLoop& loop, TierSettings settings,
                   TierAdapters adapters)
    : loop_(loop),
      settings_(std::move(settings)),
      adapters_(adapters),
      times_(PublishingTimes::For(settings_.change_deadline)),
      hosts_({settings_.locality.host, settings_.locality.failure_domain},
             settings_.seeds, HostOptions(settings_), loop.Now()),
      freshness_(FreshnessOptions(times_, settings_.locality.host), loop.Now()),
      targets_(loop, settings_.locality, settings_.bounds,
               TargetOptions(adapters.protocol, loop.Now()), hosts_,
               settings_.policy),
      handovers_({loop, adapters.protocol, hosts_, versions_, metrics_,
                  settings_.policy, settings_.locality, settings_.fleet_port,
                  [this](const HostId& peer, int64_t version) {
                    if (versions_.IsNews(version)) {
                      gossip_.FetchFrom(peer);
                    }
                  },
                  [this] { request_handler_.ResumeWaiting(); }}),
      request_handler_({loop, adapters.protocol, targets_, crashes_, handovers_,
                        versions_, metrics_, settings_.policy,
                        settings_.change_deadline,
                        [this] { return MakePublishedState(); },
                        [this] { gossip_.Gossip(); }}),
      handover_server_(
          loop, metrics_, versions_, settings_.policy,
          {[this] { return MakeHandoverOffer(); }, [this] { return lateness_; },
           [this](std::shared_ptr<engine::ServerExchange> exchange,
                  HandoverOrigin origin) {
             request_handler_.OnHandedOver(std::move(exchange),
                                           std::move(origin));
           },
           [this](const HostId& peer) { gossip_.FetchFrom(peer); }}),
      gossip_(loop,
              {{settings_.locality.host, settings_.locality.failure_domain},
               settings_.fleet_port},
              hosts_, crashes_, config_items_, target_items_, freshness_),
      freshness_log_(hosts_, freshness_, gossip_, times_),
      caller_group_(loop, CallerLimits(settings_.machine)),
      peer_group_(loop, PeerLimits(settings_.machine)),
      fleet_server_(
          loop, [this] { return FleetServerLimits(limits_); },
          [this](const std::shared_ptr<engine::ServerExchange>& exchange) {
            ServeFleet(exchange);
          },
          &peer_group_),
      caller_server_(
          loop, [this] { return limits_; },
          [this](std::shared_ptr<engine::ServerExchange> exchange) {
            request_handler_.OnRequest(std::move(exchange));
          },
          &caller_group_),
      readiness_server_(
          loop, [] { return engine::ServerLimits(); },
          [this](const std::shared_ptr<engine::ServerExchange>& exchange) {
            ServeReadiness(*exchange);
          },
          &caller_group_),
      metrics_server_(
          loop, [] { return engine::ServerLimits(); },
          [this](const std::shared_ptr<engine::ServerExchange>& exchange) {
            ServeMetrics(*exchange);
          },
          &caller_group_) {
  // Callers keep to the limits of the configuration.
  limits_.are_provisional = true;
  caller_server_.SetProvisionalRefusal([this] {
    return request_handler_.RefuseUnread(RefusalReason::kNoConfiguration);
  });
  caller_server_.SetOverloadRefusal(
      [this] { return request_handler_.RefuseUnread(RefusalReason::kMemory); });
  for (engine::ServerGroup* const group : {&caller_group_, &peer_group_}) {
    group->OnLimited([this, group](const engine::LimitedConnection& limited) {
      OnLimited(*group, limited);
    });
  }
}

Status TierHost::Start() {
  RegisterGauges();
  if (Status s = readiness_server_.Listen(settings_.ready_endpoint);
      GetError(s)) {
    return s;
  }
  if (!settings_.metrics_endpoint.empty()) {
    const Status listening = metrics_server_.Listen(settings_.metrics_endpoint);
    // A host without metrics can still serve callers.
    if (const Error* error = GetError(listening)) {
      LogError("metrics endpoint not available", {{"error", error->message}});
    }
  }
  if (Status s = caller_server_.Listen(settings_.caller_endpoint);
      GetError(s)) {
    return s;
  }
  const Status gossip_started = gossip_.Start(
      {[this](bool config, bool targets) { ApplyPublished(config, targets); },
       [this] { targets_.OnHostsChanged(); },
       [this] { return adapters_.source.IsReading(); },
       [this] { return loop_.Now() - source_outage_.recovered_at(); },
       [this](absl::Duration age) {
         if (source_outage_.OnProven(freshness_.current_until())) {
           LogOutageEnd();
         }
         source_outage_.OnPeerRecovered(loop_.Now() - age);
       },
       [this](size_t limit) { return targets_.TakeHealthReports(limit); },
       [this](uint64_t fingerprint) {
         request_handler_.OnQuarantined(fingerprint);
       },
       [this](const std::vector<TargetHealthReport>& health_reports) {
         targets_.OnHealthReports(health_reports);
       }});
  if (GetError(gossip_started)) return gossip_started;
  const Endpoint fleet_endpoint =
      absl::StrCat(settings_.locality.host, ":", settings_.fleet_port);
  if (Status s = fleet_server_.Listen(fleet_endpoint); GetError(s)) return s;
  adapters_.source.Start(config_items_, target_items_, *this);
  targets_.OnPathChange([this] { handovers_.Prepare(); },
                        [this] { request_handler_.OnPartitioned(); },
                        [this] { request_handler_.ResumeWaiting(); });
  targets_.OnWithdrawals([this](const std::vector<WithdrawalNotice>& notices) {
    request_handler_.OnWithdrawals(notices);
  });
  timers_.Every(times_.check_period, [this] {
    MeasureLateness();
    UpdateReaderRole();
  });
  timers_.Every(kLoadLogPeriod, [this] { LogLoad(); });
  return OkStatus();
}

void TierHost::RegisterGauges() {
  metrics_.Gauge("cherrydyke_requests_running", [this] {
    return static_cast<double>(request_handler_.running());
  });
  metrics_.Gauge("cherrydyke_requests_waiting", [this] {
    return static_cast<double>(request_handler_.waiting());
  });
  metrics_.Gauge("cherrydyke_targets",
                 [this] { return static_cast<double>(targets_.size()); });
  metrics_.Gauge("cherrydyke_target_connections", [this] {
    return static_cast<double>(targets_.open_connections());
  });
  metrics_.Gauge("cherrydyke_caller_connections", [this] {
    return static_cast<double>(caller_server_.connection_count());
  });
  metrics_.Gauge("cherrydyke_caller_bytes", [this] {
    return static_cast<double>(caller_group_.budget().bytes());
  });
  metrics_.Gauge("cherrydyke_known_hosts", [this] {
    return static_cast<double>(hosts_.FleetSizeUpperBound(loop_.Now()));
  });
  metrics_.Gauge("cherrydyke_partitioned",
                 [this] { return targets_.IsPartitioned() ? 1.0 : 0.0; });
  metrics_.Gauge("cherrydyke_crash_suspects",
                 [this] { return static_cast<double>(crashes_.size()); });
  metrics_.Gauge("cherrydyke_config_version",
                 [this] { return static_cast<double>(versions_.in_force()); });
  // One read covers configuration and targets, so both have the same age.
  metrics_.Gauge("cherrydyke_published_age_seconds",
                 [this] { return absl::ToDoubleSeconds(PublishedAge()); });
  metrics_.Gauge("cherrydyke_published_behind_seconds",
                 [this] { return absl::ToDoubleSeconds(TimeBehind()); });
  metrics_.Gauge("cherrydyke_published_revision", [this] {
    return static_cast<double>(
        std::min(config_items_.known_until(), target_items_.known_until())
            .revision);
  });
  metrics_.Gauge("cherrydyke_store_era",
                 [this] { return static_cast<double>(era_.stated); });
  metrics_.Gauge("cherrydyke_store_eras_inferred",
                 [this] { return static_cast<double>(era_.inferred); });
  metrics_.Gauge("cherrydyke_published_items_retained", [this] {
    return static_cast<double>(config_items_.retained() +
                               target_items_.retained());
  });
  metrics_.Gauge("cherrydyke_published_items_dropped", [this] {
    return static_cast<double>(config_items_.dropped() +
                               target_items_.dropped());
  });
  metrics_.Gauge("cherrydyke_store_watcher", [this] {
    return hosts_.ReadsAlways(loop_.Now()) ? 1.0 : 0.0;
  });
  metrics_.Gauge("cherrydyke_store_reader",
                 [this] { return adapters_.source.IsReading() ? 1.0 : 0.0; });
}

absl::Duration TierHost::PublishedAge() const {
  return loop_.Now() -
         freshness_.proven_until().value_or(freshness_.current_until());
}

PublishedState TierHost::MakePublishedState() const {
  return {PublishedAge(), TimeBehind(), freshness_.proven_until().has_value()};
}

absl::Duration TierHost::TimeBehind() const {
  return std::max(loop_.Now() - gossip_.behind_since(), absl::ZeroDuration());
}

void TierHost::OnRead(absl::Time current_until, bool config, bool targets) {
  if (source_outage_.OnRead(freshness_.current_until(), loop_.Now())) {
    LogOutageEnd();
  }
  freshness_.OnRead(current_until);
  FollowEra();
  gossip_.ApplyProofs();
  if (config || targets) {
    ApplyPublished(config, targets);
    UpdateReaderRole();
  }
  // Downstream hosts fetch the changes from this host, or are current with it.
  gossip_.NotifyDownstream();
}

void TierHost::OnReadFailed(absl::Time started_at) {
  source_outage_.OnReadFailed(started_at, loop_.Now());
}

void TierHost::OnReadMissed() {
  freshness_.OnReadFailed(loop_.Now());
  // Otherwise a host that is to pause would call once more before it does.
  UpdateReaderRole();
}

void TierHost::OnCall(const SourceCall& call) {
  source_call_log_.OnCall(call, {PublishedAge(), lateness_}, loop_.Now());
}

void TierHost::ApplyPublished(bool config, bool targets) {
  FollowEra();
  const bool was_ready = IsReady();
  if (targets) ApplyTargets();
  if (config) ApplyConfig();
  // If all hosts started during an outage of the configuration service, the
  // others wait for the first one that has a configuration.
  if (IsReady() && !was_ready) gossip_.Gossip();
}

void TierHost::FollowEra() {
  const SourceEra era = config_items_.known_until().era;
  if (era == era_) return;
  const SourceEra before = std::exchange(era_, era);
  timers_.RunAfter(times_.retention, [this, era] {
    if (era == era_) EndRetention();
  });
  if (!request_handler_.has_routes() && targets_.size() == 0) return;
  source_outage_.OnRestored(loop_.Now());
  LogInfo("what the store has lost stays in force for a while",
          {{"era", era.ToString()},
           {"before", before.ToString()},
           {"revision", config_items_.known_until().revision},
           {"config_items", config_items_.retained()},
           {"target_items", target_items_.retained()},
           {"for_ms", absl::ToInt64Milliseconds(times_.retention)}});
}

void TierHost::EndRetention() {
  const size_t config_items = config_items_.retained();
  const size_t target_items = target_items_.retained();
  if (config_items + target_items == 0) return;
  LogWarning("what the store has lost was not published again",
             {{"era", era_.ToString()},
              {"config_items", config_items},
              {"target_items", target_items}});
  const bool config = config_items_.EndRetention();
  const bool targets = target_items_.EndRetention();
  ApplyPublished(config, targets);
}

void TierHost::LogLoad() {
  const SendCounts& sends = targets_.counts();
  const auto& [same_domain, same_region, other_region] = sends.by_distance;
  int64_t dropped_lines = TakeDroppedLines();
  for (const auto& dropped :
       {request_handler_.TakeDroppedLines(),
        request_handler_.TakeDroppedChangeLines(), targets_.TakeDroppedLines(),
        handovers_.TakeDroppedLines(), handover_server_.TakeDroppedLines(),
        gossip_.TakeDroppedLines()}) {
    for (const auto& [kind, lines] : dropped) dropped_lines += lines;
  }
  const ServiceCounts services = targets_.CountServices();
  LogInfo("load",
          {{"running", request_handler_.running()},
           {"caller_connections", caller_server_.connection_count()},
           {"target_connections", targets_.open_connections()},
           {"sends_same_domain", same_domain},
           {"sends_same_region", same_region},
           {"sends_other_region", other_region},
           {"sends_extra", sends.extra},
           {"sends_suspect", sends.suspect},
           {"health_reports", sends.health_reports},
           {"sends_cold", sends.cold},
           {"over_budget", sends.over_budget},
           {"borrowed", sends.borrowed},
           {"passed_over", sends.passed_over.ToString()},
           {"services", services.in_use},
           {"services_without_alternative", services.without_alternative},
           {"published_age_ms", absl::ToInt64Milliseconds(PublishedAge())},
           {"behind_ms", absl::ToInt64Milliseconds(TimeBehind())},
           {"role",
            ToString(hosts_.Role(adapters_.source.IsReading(), loop_.Now()))},
           {"max_lateness_ms", absl::ToInt64Milliseconds(std::exchange(
                                   max_lateness_, absl::ZeroDuration()))},
           {"lines_left_out", dropped_lines}});
}

void TierHost::ApplyConfig() {
  Result<OperatorConfig> decoded =
      adapters_.decoder.DecodeConfig(config_items_);
  if (const Error* error = GetError(decoded)) {
    LogError("configuration refused",
             {{"error", error->message},
              {"version", versions_.in_force()},
              {"revision", config_items_.complete_revision()}});
    return targets_.SetEvacuated(
        adapters_.decoder.DecodeEvacuated(config_items_));
  }
  OperatorConfig& config = GetValue(decoded);
  if (config.routes == nullptr) {
    return targets_.SetEvacuated(std::move(config.evacuated));
  }
  if (config.routes->version() < versions_.in_force()) {
    LogWarning("older configuration not used",
               {{"version", config.routes->version()},
                {"in_force", versions_.in_force()},
                {"revision", config_items_.complete_revision()},
                {"era", era_.ToString()}});
    return targets_.SetEvacuated(std::move(config.evacuated));
  }
  LogInfo("configuration in force",
          {{"version", config.routes->version()},
           {"revision", config_items_.complete_revision()},
           {"age_ms", absl::ToInt64Milliseconds(PublishedAge())},
           {"routes", config.routes->routes().size()},
           {"services", config.routes->services().size()},
           {"evacuated", config.evacuated.size()}});
  limits_ = config.limits;
  targets_.SetConfig({config.routes->services(), std::move(config.evacuated)});
  targets_.Prewarm(config.routes->ServicesInUse());
  request_handler_.SetRoutes(std::move(config.routes));
}

void TierHost::ApplyTargets() {
  const absl::Duration grace = source_outage_.grace_end() - loop_.Now();
  targets_.SetTargets(adapters_.decoder.DecodeTargets(target_items_),
                      std::max(grace, absl::ZeroDuration()));
  LogInfo("targets changed", {{"targets", targets_.size()},
                              {"revision", target_items_.complete_revision()}});
}

void TierHost::MeasureLateness() {
  const absl::Time now = loop_.Now();
  const absl::Duration lateness_before = lateness_;
  lateness_ = std::max(now - next_check_at_, absl::ZeroDuration());
  max_lateness_ = std::max(max_lateness_, lateness_);
  next_check_at_ = now + times_.check_period;
  if (lateness_ < kMinFreezeTime || lateness_before > kLatenessRecheckPeriod) {
    return;
  }
  timers_.RunAfter(kLatenessRecheckPeriod,
                   [this, due = now + kLatenessRecheckPeriod] {
                     lateness_ = loop_.Now() - due;
                   });
}

void TierHost::UpdateReaderRole() {
  const bool is_empty = config_items_.complete_revision() == 0 ||
                        target_items_.complete_revision() == 0;
  const bool was_reading = adapters_.source.IsReading();
  const absl::Time now = loop_.Now();
  adapters_.source.OnPeerRead(freshness_.peers_read_since());
  adapters_.source.OnPeerEra(gossip_.latest_peer_era());
  adapters_.source.SetReading(hosts_.ShouldRead(is_empty, now) ||
                              freshness_.ShouldReadItself(now));
  // Keeps the hosts that are next in line from starting to read as well.
  if (adapters_.source.IsReading() && !was_reading) gossip_.NotifyDownstream();
  freshness_log_.Update(adapters_.source.IsReading(), now);
  if (source_outage_.OnProven(freshness_.current_until())) LogOutageEnd();
}

void TierHost::LogOutageEnd() const {
  LogInfo("outage of the store has ended",
          {{"entries_kept_ms", absl::ToInt64Milliseconds(
                                   source_outage_.grace_end() - loop_.Now())}});
}

bool TierHost::IsReady() const {
  return !shutdown_ && request_handler_.has_routes() && targets_.size() > 0;
}

void TierHost::ServeFleet(
    const std::shared_ptr<engine::ServerExchange>& exchange) {
  if (HandoverServer::Handles(exchange->request())) {
    return handover_server_.Serve(exchange);
  }
  gossip_.ServeTransfer(*exchange);
}

HandoverOffer TierHost::MakeHandoverOffer() const {
  HandoverOffer offer;
  offer.available =
      IsReady() && versions_.MayRunOwn() && !targets_.IsPathInDoubt();
  offer.config_version = versions_.in_force();
  offer.unreachable_services = targets_.UnreachableServices();
  return offer;
}

void TierHost::ServeReadiness(engine::ServerExchange& exchange) {
  engine::HttpResponse response;
  response.status = IsReady() ? 200 : 503;
  exchange.Respond(std::move(response));
}

void TierHost::OnLimited(const engine::ServerGroup& group,
                         const engine::LimitedConnection& limited) {
  const std::string name = engine::CallerLimitName(limited.limit);
  metrics_
      .counter("cherrydyke_connections_limited_total",
               absl::StrCat("limit=\"", name, "\""))
      .Add();
  const engine::ConnectionBudget& budget = group.budget();
  LogInfo(
      "connection ended by a limit",
      {{"limit", name},
       {"of", &group == &caller_group_ ? "callers" : "hosts"},
       {"peer", limited.peer},
       {"bytes", limited.held.bytes},
       {"age_ms", absl::ToInt64Milliseconds(loop_.Now() - limited.held.since)},
       {"all_bytes", budget.bytes()},
       {"max_bytes", budget.limits().max_bytes},
       {"connections", budget.connections()},
       {"max_connections", budget.limits().max_connections}});
}

void TierHost::ServeMetrics(engine::ServerExchange& exchange) {
  engine::HttpResponse response;
  response.status = 200;
  response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  response.body = metrics_.Render();
  exchange.Respond(std::move(response));
}

void TierHost::BeginShutdown() {
  if (shutdown_) return;
  shutdown_started_at_ = loop_.Now();
  shutdown_.emplace(shutdown_started_at_, settings_.shutdown_grace);
  LogInfo("stopping", {{"running", request_handler_.running()},
                       {"handed_over", handovers_.running()},
                       {"taken_over", handover_server_.running()},
                       {"connections", caller_server_.connection_count()}});
  caller_server_.CloseAfterResponses();
  request_handler_.BeginShutdown(*shutdown_);
  ContinueShutdown();
}

void TierHost::ContinueShutdown() {
  const absl::Time now = loop_.Now();
  // Polls that miss these times leave too little for responses to be written
  // and, on a slow host, for the exit.
  absl::Time next_poll_at = now + kShutdownPollPeriod;
  for (const absl::Time at : {shutdown_->requests_end(), shutdown_->exit()}) {
    if (now < at) next_poll_at = std::min(next_poll_at, at);
  }
  timers_.RunAt(next_poll_at, [this] { ContinueShutdown(); });
  if (shutdown_->IsAnnouncing(now) && now < shutdown_->requests_end()) return;
  caller_server_.CloseIdle();
  if (now >= shutdown_->requests_end()) {
    request_handler_.EndRunning();
    handovers_.EndRunning();
  }
  const size_t running = request_handler_.running() + handovers_.running();
  if (running > 0) return;
  if (!std::exchange(stopped_accepting_, true)) {
    caller_server_.StopAccepting();
    // Requests on the last connections accepted may still be on their way.
    if (now < shutdown_->exit()) return;
  }
  const size_t unwritten =
      caller_server_.busy_connections() + fleet_server_.busy_connections();
  if (unwritten > 0 && now < shutdown_->exit()) return;
  LogInfo("stopped", {{"unwritten", unwritten},
                      {"after_ms",
                       absl::ToInt64Milliseconds(now - shutdown_started_at_)}});
  loop_.Stop();
}

}  // namespace cherrydyke
