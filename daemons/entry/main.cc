#include <memory>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "adapters/caller_json.h"
#include "entry/action_service.h"
#include "entry/query_service.h"
#include "hosting/daemon.h"
#include "hosting/program.h"
#include "kernel/registry.h"
#include "nlohmann/json.hpp"
#include "routing/merger.h"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

constexpr absl::Duration kBorrowCheckPeriod = absl::Milliseconds(20);
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(20);
constexpr absl::Duration kMembersUpdateDelay = absl::Milliseconds(200);
/// Longest time for which an entry host serves after its failure domain went
/// out of service.
constexpr absl::Duration kMaxServeOutOfService = absl::Seconds(3);
constexpr absl::Duration kNotReadyRetryAfter = absl::Seconds(1);
constexpr size_t kMaxSpans = 20'000;
constexpr size_t kMaxQuarantineNotices = 16;
/// HTTP threads in addition to the concurrent requests, for refusals and
/// operators.
constexpr int kSpareThreads = 128;

// Refusals of quarantined queries are logged as warnings, others at debug
// level.
void LogRefusal(const SpanTimer& span, const Refusal& refusal) {
  const LogLevel level =
      refusal.reason() == "quarantined" ? LogLevel::kWarning : LogLevel::kDebug;
  if (!IsLogged(level)) return;
  Fields fields = span.LogFields();
  fields.emplace_back("reason", refusal.reason());
  Log(level, "request refused", fields);
}

/// The entry process: creates the components of an entry, connects them and
/// serves callers over HTTP.
class EntryDaemon : public Daemon {
 public:
  explicit EntryDaemon(const DaemonSettings& settings)
      : Daemon(settings, DaemonKind::kEntry, kMaxSpans),
        directory_(settings.failure_domain, clock_),
        admission_({settings.host_id, settings.admission.max_concurrent,
                    settings.admission.owner_reserve},
                   clock_),
        links_({settings.host_id, incarnation_}, settings.ports.gate_link,
               connector_, directory_, clock_, metrics_),
        queries_(settings.routing,
                 {clock_, directory_, links_, admission_, spans_, metrics_,
                  [this] { return NextAttempt(); },
                  [this] { control_->BroadcastHeartbeat(); }}),
        picker_(Registry<ReplicaPicker>::Get().Create(
            settings.routing.replica_picker)),
        actions_(directory_, links_, admission_, *picker_),
        http_({settings.admission.max_concurrent + kSpareThreads, 1 << 20}) {}

 private:
  Status Start() override;
  NamedEndpoints ListenAddresses() const override;
  ControlPlane::Callbacks MakeListeners();
  void OnPeerMessage(const Message& message);
  void RequestUnits();
  void UpdateMembers();
  void AddRoutes();
  HttpResponse OnQuery(const HttpRequest& request);
  HttpResponse OnTicket(const HttpRequest& request);
  HttpResponse OnAction(const HttpRequest& request);
  std::optional<Refusal> CheckServing();
  HttpResponse MakeRefusalResponse(const std::string& request_id,
                                   const Refusal& refusal);
  HttpResponse MakeResponse(std::string body) const;
  std::string StatusJson();
  void Shutdown() override;
  AttemptId NextAttempt() { return {incarnation_, ++last_attempt_}; }
  std::string RequestId(const HttpRequest& request);
  bool InService() const {
    return !control_->catalogue()->IsOutOfService(settings_.failure_domain);
  }
  bool IsDrainLagOver() const;

  std::atomic<uint64_t> last_attempt_{0};
  std::atomic<uint64_t> last_request_{0};
  /// When this process saw the failure domain go out of service, as Unix time
  /// in microseconds; 0 while the failure domain is in service.
  std::atomic<int64_t> out_of_service_since_us_{0};
  TargetDirectory directory_;
  AdmissionController admission_;
  GateLinks links_;
  std::unique_ptr<ControlPlane> control_;
  QueryService queries_;
  std::unique_ptr<ReplicaPicker> picker_;
  ActionService actions_;
  std::atomic<bool> stopping_{false};
  HttpServer http_;
};

ControlPlane::Callbacks EntryDaemon::MakeListeners() {
  ControlPlane::Callbacks listeners;
  listeners.on_catalogue = [this](const Catalogue& catalogue) {
    directory_.OnCatalogue(catalogue);
    admission_.OnCatalogue(catalogue);
    const bool out = catalogue.IsOutOfService(settings_.failure_domain);
    if (!out) out_of_service_since_us_ = 0;
    if (out && out_of_service_since_us_ == 0) {
      out_of_service_since_us_ = absl::ToUnixMicros(clock_.Now());
    }
    UpdateMembers();
  };
  listeners.on_hosts = [this](const HostList& hosts) {
    directory_.OnHosts(hosts);
    links_.OnHosts(hosts);
    UpdateMembers();
  };
  listeners.on_heartbeat = [this](const Heartbeat& heartbeat, absl::Time) {
    if (admission_.OnQuarantineNotices(heartbeat.quarantines)) {
      control_->BroadcastHeartbeat();
    }
  };
  listeners.on_message = [this](const Message& message, const std::string&) {
    OnPeerMessage(message);
  };
  listeners.complete_heartbeat = [this](Heartbeat& heartbeat) {
    heartbeat.quarantines = admission_.QuarantineNotices(kMaxQuarantineNotices);
  };
  return listeners;
}

void EntryDaemon::OnPeerMessage(const Message& message) {
  if (const auto* request = std::get_if<BorrowRequest>(&message)) {
    if (const auto grant = admission_.OnBorrowRequest(*request)) {
      control_->SendDatagram({request->borrower, DaemonKind::kEntry}, *grant);
    }
  } else if (const auto* grant = std::get_if<BorrowGrant>(&message)) {
    admission_.OnBorrowGrant(*grant);
  }
}

void EntryDaemon::RequestUnits() {
  for (const BorrowRequest& request : admission_.TakeBorrowRequests()) {
    for (const DaemonId& peer :
         control_->SampleLivePeers(DaemonKind::kEntry, 1)) {
      control_->SendDatagram(peer, request);
    }
  }
}

void EntryDaemon::UpdateMembers() {
  // An entry host whose failure domain went out of service keeps its limit
  // shares while it still serves. The other hosts use these shares only after
  // the increase delay of `LimitShares`, which is longer.
  if (!InService() && !IsDrainLagOver()) {
    control_->thread().PostAfter(kMembersUpdateDelay,
                                 [this] { UpdateMembers(); });
    return;
  }
  const std::shared_ptr<const Catalogue> catalogue = control_->catalogue();
  const std::shared_ptr<const HostList> hosts = control_->hosts();
  std::vector<HostId> members;
  for (const Host& host : hosts->hosts) {
    const bool shares = host.kind == HostKind::kEntry &&
                        host.state == HostState::kLive &&
                        !catalogue->IsOutOfService(host.failure_domain);
    if (shares) members.push_back(host.id);
  }
  admission_.OnMembers(std::move(members));
}

Status EntryDaemon::Start() {
  const Ports& ports = settings_.ports;
  auto control = MakeControlPlane(MakeListeners());
  if (const Error* error = GetError(control)) return *error;
  control_ = GetValue(std::move(control));
  control_->thread().Every(kBorrowCheckPeriod, [this] { RequestUnits(); });
  control_->Start();
  AddRoutes();
  const Result<int> port = http_.Start(settings_.address, ports.entry_http);
  if (const Error* error = GetError(port)) return *error;
  return OkStatus();
}

void EntryDaemon::AddRoutes() {
  AddOperatorRoutes(
      http_, {metrics_, spans_, partitioned_addresses_, settings_.allow_faults,
              [this] { return !stopping_ && InService() && !CheckServing(); },
              [this] { return StatusJson(); }, RequestStop});
  http_.Post("/v1/query", [this](const HttpRequest& r) { return OnQuery(r); });
  http_.Post("/v1/tickets",
             [this](const HttpRequest& r) { return OnTicket(r); });
  http_.Post("/v1/actions",
             [this](const HttpRequest& r) { return OnAction(r); });
  metrics_.Gauge("cherrydyke_in_flight",
                 [this] { return admission_.in_flight(); });
  metrics_.Gauge("cherrydyke_live_peers",
                 [this] { return control_->live_peers(); });
}

std::string EntryDaemon::RequestId(const HttpRequest& request) {
  const std::string given = request.Header("x-request-id");
  return given.empty() ? ToHex(incarnation_) + "-" + ToHex(++last_request_)
                       : given;
}

// Returns a refusal if this host cannot serve requests. During shutdown it
// still serves, because the load balancer continues to send requests for some
// seconds after the host reports that it is not ready.
std::optional<Refusal> EntryDaemon::CheckServing() {
  if (!control_->synced() || !admission_.ready()) {
    return Refusal::NotRun(
        NotRunProof::NothingSent(), 503, "not_ready",
        "this host has no configuration or shares of limits yet",
        kNotReadyRetryAfter);
  }
  if (IsDrainLagOver()) {
    return Refusal::NotRun(
        NotRunProof::NothingSent(), 503, "out_of_service",
        absl::StrCat("failure domain ", settings_.failure_domain,
                     " is out of service"),
        kNotReadyRetryAfter);
  }
  return std::nullopt;
}

// The load balancer continues to send requests for its drain lag after the host
// reports that it is not ready. Until then the requests are served by targets
// in other failure domains.
bool EntryDaemon::IsDrainLagOver() const {
  if (InService()) return false;
  const absl::Duration lag =
      std::min(kMaxServeOutOfService, absl::Seconds(settings_.drain_lag_s));
  return clock_.Now() - absl::FromUnixMicros(out_of_service_since_us_) > lag;
}

HttpResponse EntryDaemon::MakeResponse(std::string body) const {
  HttpResponse response;
  response.body = std::move(body);
  if (stopping_) response.headers["Connection"] = "close";
  return response;
}

HttpResponse EntryDaemon::MakeRefusalResponse(const std::string& request_id,
                                              const Refusal& refusal) {
  metrics_
      .counter("cherrydyke_refusals_total",
               absl::StrCat("reason=\"", refusal.reason(), "\""))
      .Add();
  HttpResponse response = MakeResponse(
      FormatRefusal(request_id, refusal.outcome(), refusal.reason(),
                    refusal.message(), refusal.retry_after()));
  response.status = refusal.status();
  const int64_t seconds = absl::ToInt64Seconds(
      refusal.retry_after() + absl::Seconds(1) - absl::Nanoseconds(1));
  response.headers["Retry-After"] = absl::StrCat(seconds);
  return response;
}

HttpResponse EntryDaemon::OnQuery(const HttpRequest& request) {
  const std::string id = RequestId(request);
  if (const auto refusal = CheckServing())
    return MakeRefusalResponse(id, *refusal);
  const Result<QueryCall> call = ParseQueryCall(request.body);
  if (const Error* error = GetError(call)) {
    return MakeRefusalResponse(
        id, Refusal::NotRun(NotRunProof::Malformed(), 400, "malformed",
                            error->message));
  }
  SpanTimer span(spans_, "entry.query", id,
                 ParseTraceparent(request.Header("traceparent")));
  const auto outcome = queries_.Run(GetValue(call), *control_->catalogue(),
                                    {id, span.context()});
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    span.Set({"refusal", refusal->reason()});
    LogRefusal(span, *refusal);
    return MakeRefusalResponse(id, *refusal);
  }
  const auto& result = std::get<QueryResult>(outcome);
  if (IsLogged(LogLevel::kDebug)) {
    Fields fields = span.LogFields();
    fields.emplace_back("coverage", result.coverage.fraction);
    LogDebug("query answered", fields);
  }
  span.Set({"coverage", result.coverage.fraction});
  span.Set({"attempts", result.attempts});
  return MakeResponse(FormatQueryResponse(id, result));
}

HttpResponse EntryDaemon::OnTicket(const HttpRequest& request) {
  const std::string id = RequestId(request);
  if (const auto refusal = CheckServing())
    return MakeRefusalResponse(id, *refusal);
  const Result<TicketCall> call = ParseTicketCall(request.body);
  if (const Error* error = GetError(call)) {
    return MakeRefusalResponse(
        id, Refusal::NotRun(NotRunProof::Malformed(), 400, "malformed",
                            error->message));
  }
  const auto outcome =
      actions_.IssueTicket(GetValue(call), *control_->catalogue());
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    return MakeRefusalResponse(id, *refusal);
  }
  const auto& issued = std::get<ActionService::IssuedTicket>(outcome);
  return MakeResponse(FormatTicket(issued.ticket, issued.expires_in_ms));
}

HttpResponse EntryDaemon::OnAction(const HttpRequest& request) {
  const std::string id = RequestId(request);
  const Result<ActionCall> call = ParseActionCall(request.body);
  if (const Error* error = GetError(call)) {
    return MakeRefusalResponse(
        id, Refusal::NotRun(NotRunProof::Malformed(), 400, "malformed",
                            error->message));
  }
  if (const auto refusal = CheckServing()) {
    // A request with the same ticket may be running through another entry.
    return MakeRefusalResponse(
        id, Refusal::Unknown(refusal->status(), refusal->reason(),
                             refusal->message(), refusal->retry_after()));
  }
  SpanTimer span(spans_, "entry.action", id,
                 ParseTraceparent(request.Header("traceparent")));
  const auto outcome =
      actions_.Run(GetValue(call), *control_->catalogue(), id, span.context());
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    span.Set({"refusal", refusal->reason()});
    LogRefusal(span, *refusal);
    return MakeRefusalResponse(id, *refusal);
  }
  return MakeResponse(FormatActionResult(id, std::get<std::string>(outcome)));
}

std::string EntryDaemon::StatusJson() {
  nlohmann::ordered_json status = {
      {"program", "cherrydyke-entry"},
      {"host", settings_.host_id},
      {"failure_domain", settings_.failure_domain},
      {"incarnation", ToHex(incarnation_)},
      {"in_service", InService()},
      {"draining", stopping_.load()},
      {"catalogue_revision", control_->catalogue()->revision},
      {"catalogue_age_ms",
       absl::ToInt64Milliseconds(control_->catalogue_age())},
      {"hosts_revision", control_->hosts()->revision},
      {"peers", control_->live_peers()},
      {"gates_connected", links_.connected_count()},
      {"in_flight", admission_.in_flight()}};
  nlohmann::ordered_json limits = nlohmann::ordered_json::object();
  for (const auto& [entry, units] : admission_.Units()) {
    limits[entry] = {{"usable", units.first}, {"in_use", units.second}};
  }
  status["limits"] = std::move(limits);
  return status.dump();
}

void EntryDaemon::Shutdown() {
  stopping_ = true;
  absl::SleepFor(absl::Seconds(settings_.drain_lag_s));
  while (admission_.in_flight() > 0) absl::SleepFor(kDrainPollInterval);
  http_.Stop();
  links_.Stop();
  control_->Stop();
}

Daemon::NamedEndpoints EntryDaemon::ListenAddresses() const {
  return {
      {"http", MakeEndpoint(settings_.address, settings_.ports.entry_http)}};
}

}  // namespace
}  // namespace cherrydyke

int main(int argc, char** argv) {
  cherrydyke::RegisterReplicaPickers();
  cherrydyke::RegisterMergers();
  return cherrydyke::RunDaemonMain(
      argc, argv, "cherrydyke-entry",
      "Serves callers: fans a query out over its shards and merges the answers",
      [](const cherrydyke::DaemonSettings& settings) {
        return cherrydyke::EntryDaemon(settings).Run();
      });
}
