#include "tier/request_handler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "telemetry/log.h"
#include "waiting_requests.h"

namespace cherrydyke {
namespace {

constexpr char kAnswered[] = "answered";
constexpr char kAnsweredInPart[] = "answered_in_part";

/// Longest time for which a connection may have been idle if it is to carry a
/// request that must not run twice: servers close idle connections much later.
constexpr absl::Duration kMaxConnectionIdleTime = absl::Milliseconds(400);

TargetOutcome OutcomeOf(const TargetResponse& reply,
                        engine::ExchangeStatus status, bool wanted) {
  if (status == engine::ExchangeStatus::kNotSent) {
    return wanted ? TargetOutcome::kUnreachable : TargetOutcome::kNotSent;
  }
  if (status == engine::ExchangeStatus::kWithdrawn) {
    return TargetOutcome::kNotSent;
  }
  if (status == engine::ExchangeStatus::kAborted) {
    return TargetOutcome::kCancelled;
  }
  switch (reply.result) {
    case AttemptResult::kSuccess:
      return TargetOutcome::kAnswered;
    case AttemptResult::kNotSent:
      return TargetOutcome::kUnreachable;
    case AttemptResult::kNotRun:
    case AttemptResult::kWrongTarget:
      return TargetOutcome::kRejected;
    case AttemptResult::kFailure:
    case AttemptResult::kMisleadingFailure:
      return TargetOutcome::kFailed;
    case AttemptResult::kUnknown:
      return TargetOutcome::kLost;
  }
  return TargetOutcome::kLost;
}

std::string HostOf(const std::string& peer) {
  return peer.substr(0, peer.rfind(':'));
}

}  // namespace

uint64_t RequestFingerprint(const engine::HttpRequest& request) {
  return StableHash(absl::StrCat(request.method, " ", request.target, "\n",
                                 HostOf(request.peer), "\n", request.body));
}

struct RequestHandler::Request {
  struct Attempt {
    TargetId target;
    /// Identifies the target instance on all hosts.
    uint32_t instance_hash = 0;
    engine::ExchangeId exchange = 0;
    absl::Time sent_at;
    /// The parsed response, once it has arrived.
    TargetResponse reply;
  };

  /// Null once the request has ended.
  std::shared_ptr<engine::ServerExchange> exchange;
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  CallerRequest caller_request;
  std::string target_head;
  uint64_t fingerprint = 0;
  absl::Time deadline;
  absl::Time answer_at;
  std::unique_ptr<RequestRun> run;
  /// Whether another host handed the request to this one.
  bool is_handed_over = false;
  /// Whether targets were at their concurrency limits when the request started.
  bool overloaded = false;
  /// Targets that were not used for the request, by reason.
  ExclusionCounts passed_over;
  std::vector<Attempt> attempts;
  /// Attempts whose targets crashed while they ran.
  std::vector<size_t> crashed_attempts;
  engine::TimerId timer = 0;
  absl::Time timer_due_at = absl::InfiniteFuture();
};

RequestHandler::RequestHandler(Dependencies dependencies)
    : loop_(dependencies.loop),
      protocol_(dependencies.protocol),
      targets_(dependencies.targets),
      crashes_(dependencies.crashes),
      handovers_(dependencies.handovers),
      versions_(dependencies.versions),
      metrics_(dependencies.metrics),
      policy_(dependencies.policy),
      change_deadline_(dependencies.change_deadline),
      published_state_(std::move(dependencies.published_state)),
      on_crash_counted_(std::move(dependencies.on_crash_counted)),
      change_log_(change_deadline_),
      retry_after_scheduler_(policy_.retry_after, policy_.retry_after_spread),
      answer_margin_(policy_.answer_margin, policy_.answer_spare),
      random_(NewIncarnation()),
      waiting_(std::make_unique<WaitingRequests>(
          loop_, [this](std::shared_ptr<engine::ServerExchange> exchange) {
            OnRequest(std::move(exchange));
          })) {
  timers_.Every(RequestChangeLog::kBeforePeriod,
                [this] { change_log_.LogBefore(); });
}

RequestHandler::~RequestHandler() = default;

void RequestHandler::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  change_log_.OnRoutes(routes_.get(), *routes, loop_.Now());
  routes_ = std::move(routes);
  versions_.SetInForce(routes_->version());
  // Some may wait only because this host's configuration was outdated.
  waiting_->Resume();
}

void RequestHandler::Handle(std::shared_ptr<engine::ServerExchange> exchange,
                            std::optional<HandoverOrigin> origin) {
  const bool ran = origin && !origin->tried.empty();
  const std::optional<CallerRequest> parsed =
      protocol_.ParseCallerRequest(exchange->request());
  if (!parsed) return Refuse(*exchange, "", RefusalReason::kMalformed, ran);
  if (!has_routes()) {
    return Refuse(*exchange, parsed->request_id,
                  RefusalReason::kNoConfiguration, ran);
  }
  // Callers have seen the effect of a newer configuration through a peer.
  const bool is_outdated = !origin && !versions_.MayRunOwn();
  const Route* const route = routes_->Find(parsed->host, parsed->path);
  if (route == nullptr) {
    if (is_outdated) {
      return RefuseUnrouted(*exchange, *parsed, RefusalReason::kNoConfiguration,
                            false);
    }
    const bool may_deny = MayDenyRoute(published_state_(), change_deadline_);
    return RefuseUnrouted(
        *exchange, *parsed,
        may_deny ? RefusalReason::kNoRoute : RefusalReason::kStaleConfiguration,
        ran);
  }
  const uint64_t fingerprint = RequestFingerprint(exchange->request());
  if (crashes_.IsQuarantined(fingerprint, loop_.Now())) {
    return Refuse(*exchange, parsed->request_id, RefusalReason::kQuarantined,
                  ran);
  }
  RequestPlan plan = MakePlan(*route, *parsed, *exchange, origin);
  plan.max_attempts = crashes_.LimitAttempts(fingerprint, plan.max_attempts);
  if (shutdown_) {
    const std::optional<absl::Time> deadline = shutdown_->Admit(
        {plan.idempotent, plan.deadline, route->latency_objective},
        loop_.Now());
    if (!deadline) {
      return Refuse(*exchange, parsed->request_id, RefusalReason::kShutdown,
                    ran);
    }
    plan.deadline = *deadline;
    plan.answer_at = std::min(plan.answer_at, *deadline);
  }
  if (is_outdated || (!origin && IsOutOfReach(plan))) {
    if (HandOver(exchange, *parsed, plan, {})) {
      metrics_.counter("cherrydyke_requests_total", "outcome=\"handed_over\"")
          .Add();
      return;
    }
    const bool must_refuse = is_outdated || targets_.IsPartitioned();
    if (must_refuse && !origin &&
        WaitForPeer(
            exchange, parsed->request_id,
            {CriteriaOf(plan), exchange->received_at(), plan.deadline})) {
      return;
    }
    if (is_outdated) {
      return Refuse(*exchange, parsed->request_id,
                    RefusalReason::kNoConfiguration, false);
    }
    if (targets_.IsPartitioned()) {
      return Refuse(*exchange, parsed->request_id, RefusalReason::kNoTarget,
                    false);
    }
  }
  const auto request = std::make_shared<Request>();
  request->exchange = std::move(exchange);
  request->routes = routes_;
  request->route = route;
  request->caller_request = *parsed;
  request->fingerprint = fingerprint;
  request->is_handed_over = origin.has_value();
  request->target_head =
      protocol_.TargetRequestHead(request->exchange->request());
  if (origin && log_rate_limiter_.TryAcquire("taken over", policy_.log_lines,
                                             loop_.Now())) {
    LogInfo("request taken over", {{"request", parsed->request_id},
                                   {"from", origin->from},
                                   {"tried_services", origin->tried.size()}});
  }
  // A request that was sent to targets before counts at the host that did so.
  if (!ran) {
    for (const ServiceName& service : plan.services) {
      targets_.OnRequest(service);
    }
  }
  request->deadline = plan.deadline;
  request->answer_at = plan.answer_at;
  request->run = std::make_unique<RequestRun>(std::move(plan), targets_);
  request->exchange->OnDisconnect(
      [this, weak = std::weak_ptr<Request>(request)] {
        if (const auto alive = weak.lock()) OnCallerDisconnected(alive);
      });
  running_.insert(request);
  const RunActions actions = Advance(
      *request, [this](RequestRun& run) { return run.Start(loop_.Now()); });
  request->overloaded =
      request->passed_over.of(ExclusionReason::kNoRoom) > 0 ||
      request->passed_over.of(ExclusionReason::kStatedRate) > 0;
  Perform(request, actions);
}

bool RequestHandler::IsOutOfReach(const RequestPlan& plan) const {
  const auto unreachable = std::count_if(
      plan.services.begin(), plan.services.end(),
      [&](const ServiceName& service) { return !targets_.CanReach(service); });
  return static_cast<size_t>(unreachable) >
         plan.services.size() - plan.min_parts;
}

bool RequestHandler::HandOver(
    const std::shared_ptr<engine::ServerExchange>& exchange,
    const CallerRequest& caller_request, const RequestPlan& plan,
    TriedTargets tried) {
  // Connections to the targets must be there when they can be reached again.
  for (const ServiceName& service : plan.services) targets_.MarkInUse(service);
  OutgoingHandover outgoing;
  outgoing.exchange = exchange;
  outgoing.request_id = caller_request.request_id;
  outgoing.criteria = CriteriaOf(plan);
  outgoing.allowed_regions = [regions = plan.regions] {
    return regions.InForce();
  };
  if (!plan.is_fanout) outgoing.service = plan.services.front();
  outgoing.tried = std::move(tried);
  outgoing.idempotent = plan.idempotent;
  outgoing.deadline = plan.deadline;
  outgoing.on_failed = [this, exchange, id = caller_request.request_id,
                        unplaced = UnplacedRequest{outgoing.criteria,
                                                   exchange->received_at(),
                                                   plan.deadline}](
                           RefusalReason reason, bool may_have_run) {
    const bool may_wait = reason == RefusalReason::kNoTarget && !may_have_run;
    if (may_wait && WaitForPeer(exchange, id, unplaced)) return;
    Refuse(*exchange, id, reason, may_have_run);
  };
  return handovers_.Start(std::move(outgoing));
}

HandoverCriteria RequestHandler::CriteriaOf(const RequestPlan& plan) const {
  return {versions_.in_force(), plan.services,
          plan.services.size() - plan.min_parts, plan.regions.InForce()};
}

bool RequestHandler::WaitForPeer(
    const std::shared_ptr<engine::ServerExchange>& exchange,
    const std::string& request_id, const UnplacedRequest& request) {
  if (shutdown_) return false;
  const std::optional<absl::Time> until = handovers_.WaitEnd(request);
  if (!until || !waiting_->Add(exchange, *until)) return false;
  metrics_.counter("cherrydyke_requests_delayed_total").Add();
  if (log_rate_limiter_.TryAcquire("waits", policy_.log_lines, loop_.Now())) {
    LogInfo("request waits for a peer",
            {{"request", request_id},
             {"for_ms", absl::ToInt64Milliseconds(*until - loop_.Now())},
             {"waiting", waiting_->size()},
             {"config_version", request.criteria.config_version}});
  }
  return true;
}

void RequestHandler::BeginShutdown(const ShutdownSchedule& schedule) {
  shutdown_ = schedule;
  waiting_->ResumeAll();
}

void RequestHandler::ResumeWaiting() { waiting_->Resume(); }

size_t RequestHandler::waiting() const { return waiting_->size(); }

bool RequestHandler::HandOverUnserved(const RequestPtr& request) {
  const RequestPlan& plan = request->run->plan();
  if (request->is_handed_over || !IsOutOfReach(plan)) return false;
  TriedTargets tried = request->run->Tried();
  if (!MayHandOver(plan.services, tried, plan.idempotent, plan.min_parts,
                   plan.max_attempts) ||
      !HandOver(request->exchange, request->caller_request, plan,
                std::move(tried))) {
    return false;
  }
  End(request, "handed_over", 0);
  return true;
}

RunActions RequestHandler::Advance(
    Request& request, absl::FunctionRef<RunActions(RequestRun&)> step) {
  const ExclusionCounts before = targets_.counts().passed_over;
  RunActions actions = step(*request.run);
  request.passed_over += targets_.counts().passed_over - before;
  return actions;
}

RequestPlan RequestHandler::MakePlan(
    const Route& route, const CallerRequest& caller_request,
    const engine::ServerExchange& exchange,
    const std::optional<HandoverOrigin>& origin) {
  const absl::Time received_at = exchange.received_at();
  const engine::CallerConnectionInfo path = exchange.connection_info();
  RequestPlan plan;
  plan.is_fanout = route.IsFanout();
  plan.idempotent = route.idempotent;
  plan.max_attempts = std::max(1, route.attempts);
  plan.regions =
      RegionLimits(routes_, route, caller_request.host, caller_request.path);
  if (plan.is_fanout) {
    plan.services = route.shards;
    const double needed =
        route.min_coverage * static_cast<double>(route.shards.size());
    // Rounding errors must not add a part: 0.9 of 10 shards are 9, not 10.
    plan.min_parts =
        std::max<size_t>(1, static_cast<size_t>(std::ceil(needed - 1e-9)));
  } else {
    plan.services = {ChooseBackend(route, origin)};
  }
  const absl::Duration time_left =
      std::min(caller_request.time_left.value_or(route.timeout), route.timeout);
  plan.deadline = received_at + time_left - policy_.deadline_margin;
  plan.answer_at =
      policy_.wait_for_parts
          ? std::min(plan.deadline,
                     received_at + route.latency_objective -
                         answer_margin_.Margin(path.round_trip,
                                               path.is_new_connection))
          : received_at;
  plan.hedges = policy_.hedges;
  if (origin) plan.tried = origin->tried;
  return plan;
}

ServiceName RequestHandler::ChooseBackend(
    const Route& route, const std::optional<HandoverOrigin>& origin) {
  if (origin) {
    for (const WeightedService& backend : route.backends) {
      if (backend.service == origin->service) return backend.service;
    }
  }
  return route.backends[spreaders_[route.name].Next(route.backends)].service;
}

void RequestHandler::Perform(const RequestPtr& request,
                             const RunActions& actions) {
  for (const size_t attempt : actions.overdue) {
    const Request::Attempt& overdue = request->attempts[attempt];
    targets_.OnOverdue(overdue.target, overdue.sent_at);
  }
  for (const size_t attempt : actions.cancel) {
    if (attempt >= request->attempts.size()) {
      targets_.ReleaseSelection(request->run->target(attempt));
      request->run->OnCancelledUnsent(attempt);
      continue;
    }
    const Request::Attempt& cancelled = request->attempts[attempt];
    const absl::Duration grace =
        request->route->idempotent
            ? policy_.cancel_grace
            : std::max(request->deadline - loop_.Now(), policy_.cancel_grace);
    if (targets_.Cancel(cancelled.target, cancelled.sent_at, cancelled.exchange,
                        grace)) {
      request->run->OnCancelledUnsent(attempt);
    }
  }
  for (const AttemptSend& send : actions.send) SendAttempt(request, send);
  if (actions.outcome) {
    Conclude(request, *actions.outcome);
  } else {
    ArmTimer(request);
  }
}

void RequestHandler::SendAttempt(const RequestPtr& request,
                                 const AttemptSend& send) {
  const absl::Time now = loop_.Now();
  request->attempts.resize(
      std::max(request->attempts.size(), send.attempt + 1));
  Request::Attempt& attempt = request->attempts[send.attempt];
  attempt.target = send.target;
  attempt.instance_hash = targets_.InstanceHash(send.target);
  attempt.sent_at = now;
  const engine::HttpRequest& http_request = request->exchange->request();
  engine::PoolRequest out;
  out.exchange.write = [this, request, target = send.target, sent_at = now,
                        instance = attempt.instance_hash,
                        region = targets_.RegionOf(
                            send.target)]() -> std::optional<std::string> {
    if (request->run->done()) {
      ReportWithdrawnAfterEnd(*request, target, sent_at);
      return std::nullopt;
    }
    // A change may have come into force while the request waited for a
    // connection.
    if (!targets_.MayReceive(target, sent_at) ||
        !request->run->plan().regions.Allows(region)) {
      return std::nullopt;
    }
    change_log_.OnSent(request->caller_request.request_id, instance, sent_at,
                       loop_.Now());
    return protocol_.TargetRequest(request->target_head,
                                   request->exchange->request().body, target,
                                   request->deadline - loop_.Now());
  };
  out.exchange.is_head = http_request.method == "HEAD";
  out.exchange.expected_id = request->caller_request.request_id;
  out.exchange.done = [this, request,
                       index = send.attempt](engine::ExchangeResult result) {
    OnResult(request, index, std::move(result));
  };
  if (!request->route->idempotent) out.max_idle_time = kMaxConnectionIdleTime;
  attempt.exchange = targets_.Send(send.target, std::move(out));
  if (attempt.exchange == 0) {
    timers_.Post([this, request, index = send.attempt] {
      OnResult(request, index, {});
    });
  }
}

void RequestHandler::ReportWithdrawnAfterEnd(const Request& request,
                                             const TargetId& target,
                                             absl::Time selected_at) {
  metrics_.counter("cherrydyke_withdrawn_after_end_total").Add();
  if (!log_rate_limiter_.TryAcquire("withdrawn after end", policy_.log_lines,
                                    loop_.Now())) {
    return;
  }
  LogWarning(
      "attempt withdrawn: its request has ended",
      {{"request", request.caller_request.request_id},
       {"target", target},
       {"selected_ms", absl::ToDoubleMilliseconds(loop_.Now() - selected_at)}});
}

TargetResponse RequestHandler::Interpret(engine::ExchangeResult result) const {
  if (result.status == engine::ExchangeStatus::kComplete) {
    return protocol_.ParseTargetResponse(std::move(result.response));
  }
  TargetResponse reply;
  const bool is_unsent = result.status == engine::ExchangeStatus::kNotSent ||
                         result.status == engine::ExchangeStatus::kWithdrawn;
  reply.result = is_unsent ? AttemptResult::kNotSent : AttemptResult::kUnknown;
  if (!result.response.headers.empty()) {
    // The rest of an incomplete response is not trusted.
    reply.leaving =
        protocol_.ParseTargetResponse(std::move(result.response)).leaving;
  }
  return reply;
}

void RequestHandler::RecordResult(const RequestPtr& request, size_t index,
                                  const TargetResponse& reply,
                                  engine::ExchangeStatus status) {
  const Request::Attempt& attempt = request->attempts[index];
  // Outcomes of an earlier instance say nothing about the present one.
  if (targets_.IsCurrentInstance(attempt.target, attempt.sent_at)) {
    targets_.OnEnded(attempt.target,
                     OutcomeOf(reply, status, request->run->running(index)),
                     loop_.Now() - attempt.sent_at,
                     request->route->latency_objective - policy_.answer_margin);
  }
  if (status == engine::ExchangeStatus::kWithdrawn && !request->run->done() &&
      log_rate_limiter_.TryAcquire("withdrawn", policy_.log_lines,
                                   loop_.Now())) {
    LogInfo("attempt withdrawn: target excluded meanwhile",
            {{"request", request->caller_request.request_id},
             {"target", attempt.target},
             {"config_version", versions_.in_force()}});
  }
  if (reply.load) targets_.OnLoad(attempt.target, *reply.load);
  ApplyNotices(*request, index, reply);
  if (reply.result == AttemptResult::kWrongTarget) {
    targets_.OnWrongTarget(attempt.target);
  }
  if (status == engine::ExchangeStatus::kComplete &&
      reply.result != AttemptResult::kWrongTarget) {
    targets_.OnResponse(attempt.target, attempt.sent_at);
    ApplyStatedRate(*request, index, reply);
  }
  if (status == engine::ExchangeStatus::kConnectionLost) {
    metrics_.counter("cherrydyke_lost_answers_total").Add();
    ExplainMissingResponse(request, index, AttemptLoss::kConnectionLost);
  }
  if (status == engine::ExchangeStatus::kAborted &&
      !request->run->answered(index)) {
    ExplainMissingResponse(request, index, AttemptLoss::kAbandoned);
  }
}

void RequestHandler::ExplainMissingResponse(const RequestPtr& request,
                                            size_t index, AttemptLoss loss) {
  const Request::Attempt& attempt = request->attempts[index];
  const std::string line = loss == AttemptLoss::kConnectionLost
                               ? "connection to target lost before the response"
                               : "attempt ended without a response";
  if (log_rate_limiter_.TryAcquire(line, policy_.log_lines, loop_.Now())) {
    LogInfo(line,
            {{"request", request->caller_request.request_id},
             {"target", attempt.target},
             {"fingerprint", ToHex(request->fingerprint)},
             {"ms", absl::ToInt64Milliseconds(loop_.Now() - attempt.sent_at)}});
  }
  targets_.OnUnanswered(
      attempt.target, attempt.sent_at, loss,
      [this, request, index](CrashVerdict verdict) {
        if (verdict == CrashVerdict::kCrashed) return OnCrash(request, index);
        if (!log_rate_limiter_.TryAcquire("no crash", policy_.log_lines,
                                          loop_.Now())) {
          return;
        }
        LogInfo("missing response not explained by a crash",
                {{"request", request->caller_request.request_id},
                 {"target", request->attempts[index].target},
                 {"survived", verdict == CrashVerdict::kSurvived}});
      });
}

void RequestHandler::ApplyNotices(const Request& request, size_t index,
                                  const TargetResponse& reply) {
  const Request::Attempt& attempt = request.attempts[index];
  const std::string& id = request.caller_request.request_id;
  if (reply.leaving && targets_.OnLeaving(attempt.target, attempt.sent_at)) {
    metrics_.counter("cherrydyke_targets_leaving_total").Add();
    // Not rate limited: logged once for each target instance.
    LogInfo("target announced its shutdown",
            {{"target", attempt.target}, {"request", id}});
  }
  if (reply.is_backoff_malformed &&
      log_rate_limiter_.TryAcquire("malformed wait", policy_.log_lines,
                                   loop_.Now())) {
    LogWarning("malformed back-off of target ignored",
               {{"target", attempt.target}, {"request", id}});
  }
  if (reply.backoff <= absl::ZeroDuration()) return;
  const auto backoff_until = targets_.OnBackoff(
      attempt.target, attempt.sent_at, reply.backoff, RandomFraction());
  if (!backoff_until) return;
  metrics_.counter("cherrydyke_targets_closed_total").Add();
  if (!log_rate_limiter_.TryAcquire("closed", policy_.log_lines, loop_.Now()))
    return;
  LogInfo("target asked for back-off",
          {{"target", attempt.target},
           {"request", id},
           {"stated_ms", absl::ToInt64Milliseconds(reply.backoff)},
           {"opens_in_ms",
            absl::ToInt64Milliseconds(*backoff_until - loop_.Now())}});
}

void RequestHandler::ApplyStatedRate(const Request& request, size_t index,
                                     const TargetResponse& reply) {
  const Request::Attempt& attempt = request.attempts[index];
  if (reply.is_rate_malformed) {
    if (log_rate_limiter_.TryAcquire("malformed rate", policy_.log_lines,
                                     loop_.Now())) {
      LogWarning("malformed request rate of target ignored",
                 {{"target", attempt.target},
                  {"request", request.caller_request.request_id}});
    }
    return;
  }
  // Only a success shows that the target needs no limit any more.
  if (!reply.rate && reply.result != AttemptResult::kSuccess) return;
  if (targets_.OnStatedRate(attempt.target, attempt.sent_at, reply.rate,
                            RandomFraction())) {
    metrics_.counter("cherrydyke_target_rate_changes_total").Add();
  }
}

void RequestHandler::OnCrash(const RequestPtr& request, size_t index) {
  const bool answered = request->run->answered(index);
  if (log_rate_limiter_.TryAcquire("crashed", policy_.log_lines, loop_.Now())) {
    LogWarning("target crashed while running a request",
               {{"target", request->attempts[index].target},
                {"request", request->caller_request.request_id},
                {"fingerprint", ToHex(request->fingerprint)},
                {"answered", answered}});
  }
  metrics_.counter("cherrydyke_crashes_total").Add();
  if (answered) return;
  if (!request->run->done()) return request->crashed_attempts.push_back(index);
  CountCrash(*request, index);
  on_crash_counted_();
}

void RequestHandler::CountCrash(const Request& request, size_t index) {
  const uint64_t fingerprint = request.fingerprint;
  const uint32_t instance = request.attempts[index].instance_hash;
  const bool quarantined = crashes_.OnCrash(
      fingerprint, instance, request.attempts[index].sent_at, loop_.Now());
  const std::string line =
      quarantined ? "request quarantined" : "crash counted";
  if (log_rate_limiter_.TryAcquire(line, policy_.log_lines, loop_.Now())) {
    LogWarning(line, {{"fingerprint", ToHex(fingerprint)},
                      {"request", request.caller_request.request_id},
                      {"target", request.attempts[index].target},
                      {"target_hash", ToHex(instance)},
                      {"crashes", crashes_.Total(fingerprint)}});
  }
  if (!quarantined) return;
  // The connection pool that is reporting this may hold queued requests with
  // the same fingerprint.
  timers_.Post([this, fingerprint] { OnQuarantined(fingerprint); });
}

void RequestHandler::FinishRequest(const RequestPtr& request) {
  loop_.Cancel(request->timer);
  running_.erase(request);
  bool counted = false;
  for (const size_t index : std::exchange(request->crashed_attempts, {})) {
    if (request->run->answered(index)) continue;
    CountCrash(*request, index);
    counted = true;
  }
  if (counted) on_crash_counted_();
}

void RequestHandler::OnResult(const RequestPtr& request, size_t index,
                              engine::ExchangeResult result) {
  const engine::ExchangeStatus status = result.status;
  TargetResponse reply = Interpret(std::move(result));
  RecordResult(request, index, reply, status);
  if (request->run->done()) return;
  const AttemptResult end = reply.result;
  request->attempts[index].reply = std::move(reply);
  Perform(request, Advance(*request, [&](RequestRun& run) {
            return run.OnEnded(index, end, loop_.Now());
          }));
}

void RequestHandler::ArmTimer(const RequestPtr& request) {
  const absl::Time next = request->run->NextTimer();
  if (next == request->timer_due_at) return;
  loop_.Cancel(request->timer);
  request->timer_due_at = next;
  request->timer = timers_.RunAt(next, [this, request, next] {
    request->timer_due_at = absl::InfiniteFuture();
    Perform(request, Advance(*request, [this](RequestRun& run) {
              return run.OnTimer(loop_.Now());
            }));
    // The response that was due now has been sent.
    if (request->run->done() && next == request->answer_at) {
      const absl::Duration delay = loop_.Now() - next;
      answer_margin_.OnAnswerSent(delay);
      metrics_.summary("cherrydyke_answer_late_ms")
          .Observe(absl::ToDoubleMilliseconds(delay));
    }
  });
}

void RequestHandler::OnCallerDisconnected(const RequestPtr& request) {
  if (request->run->done()) return;
  metrics_.counter("cherrydyke_callers_left_total").Add();
  Abort(request);
  End(request, "caller_left", 0);
}

void RequestHandler::Abort(const RequestPtr& request) {
  Perform(request, request->run->Abort());
  FinishRequest(request);
}

void RequestHandler::OnQuarantined(uint64_t fingerprint) {
  std::vector<RequestPtr> stopped;
  for (const RequestPtr& request : running_) {
    if (request->fingerprint == fingerprint) stopped.push_back(request);
  }
  for (const RequestPtr& request : stopped) {
    Abort(request);
    Refuse(*request->exchange, request->caller_request.request_id,
           RefusalReason::kQuarantined, true);
    End(request, "quarantined", 0);
  }
}

void RequestHandler::OnPartitioned() {
  targets_.FailQueued();
  // The results of queued attempts come first: these have certainly not run.
  timers_.Post([this] {
    if (!targets_.IsPartitioned()) return;
    const std::vector<RequestPtr> waiting(running_.begin(), running_.end());
    for (const RequestPtr& request : waiting) {
      Perform(request, request->run->OnPathLost());
    }
  });
}

void RequestHandler::EndRunning() {
  const std::vector<RequestPtr> ended(running_.begin(), running_.end());
  for (const RequestPtr& request : ended) {
    RequestRun& run = *request->run;
    if (run.CanAnswer()) {
      Perform(request, run.OnPathLost());
      continue;
    }
    const bool may_have_run = run.maybe_run() > 0;
    // Not rate limited: at most one line for each request of a shutdown.
    LogWarning("request ended by the shutdown",
               {{"request", request->caller_request.request_id},
                {"ms", absl::ToInt64Milliseconds(
                           loop_.Now() - request->exchange->received_at())},
                {"ran", may_have_run},
                {"unanswered", UnansweredAttempts(*request)}});
    Abort(request);
    Refuse(*request->exchange, request->caller_request.request_id,
           RefusalReason::kShutdown, may_have_run);
    End(request, "shutdown", 0);
  }
}

void RequestHandler::Conclude(const RequestPtr& request, RequestOutcome kind) {
  FinishRequest(request);
  const RequestRun& run = *request->run;
  // What waited for connections when the run failed has been withdrawn.
  if (kind == RequestOutcome::kFailed && run.maybe_run() == 0) {
    kind = RequestOutcome::kNotRun;
  }
  switch (kind) {
    case RequestOutcome::kAnswer:
      return SendResponse(request);
    case RequestOutcome::kRelayFailure:
      request->exchange->Respond(protocol_.Relay(
          std::move(request->attempts[run.relayed()].reply.response)));
      return End(request, "target_failure", 0);
    case RequestOutcome::kNotRun:
      if (HandOverUnserved(request)) return;
      RefuseForLackOfTargets(*request);
      return End(request, "not_run", 0);
    case RequestOutcome::kFailed:
      if (HandOverUnserved(request)) return;
      Refuse(*request->exchange, request->caller_request.request_id,
             RefusalReason::kTargetsFailed, true);
      return End(request, "targets_failed", 0);
    case RequestOutcome::kTimedOut:
      Refuse(*request->exchange, request->caller_request.request_id,
             RefusalReason::kDeadline, true);
      return End(request, "deadline", 0);
  }
}

void RequestHandler::SendResponse(const RequestPtr& request) {
  retry_after_scheduler_.OnAnswered(loop_.Now());
  const auto winners = request->run->Winners();
  if (std::all_of(winners.begin(), winners.end(),
                  [](const auto& winner) { return winner.has_value(); })) {
    absl::Time sent_at = loop_.Now();
    for (const std::optional<size_t>& winner : winners) {
      sent_at = std::min(sent_at, request->attempts[*winner].sent_at);
    }
    crashes_.OnAnswered(request->fingerprint, sent_at);
  }
  if (!request->route->IsFanout()) {
    request->exchange->Respond(protocol_.Relay(
        std::move(request->attempts[*winners.front()].reply.response)));
    return End(request, kAnswered, 0);
  }
  std::vector<std::string> signatures;
  std::vector<std::string> bodies;
  for (const std::optional<size_t>& winner : winners) {
    if (!winner) continue;
    TargetResponse& reply = request->attempts[*winner].reply;
    signatures.push_back(std::move(reply.signature));
    bodies.push_back(std::move(reply.response.body));
  }
  const size_t missing = winners.size() - signatures.size();
  request->exchange->Respond(
      protocol_.MergedResponse(request->caller_request, signatures, missing,
                               MergeTopRecords(bodies, request->route->top_k)));
  End(request, missing == 0 ? kAnswered : kAnsweredInPart, missing);
}

void RequestHandler::RefuseForLackOfTargets(const Request& request) {
  std::vector<absl::Time> backoff_ends;
  for (const ServiceName& service : request.run->plan().services) {
    const absl::Time backoff_end = targets_.EarliestBackoffEnd(service);
    if (backoff_end > loop_.Now()) backoff_ends.push_back(backoff_end);
  }
  const RequestPlan& plan = request.run->plan();
  const absl::Time retry_at = TimeWhenEnoughAvailable(
      std::move(backoff_ends), plan.services.size() - plan.min_parts);
  if (retry_at > loop_.Now()) {
    return Refuse(*request.exchange, request.caller_request.request_id,
                  RefusalReason::kTargetsBackedOff, false,
                  retry_at - loop_.Now() +
                      retry_after_scheduler_.BaseDelay(RandomFraction()));
  }
  Refuse(*request.exchange, request.caller_request.request_id,
         request.overloaded ? RefusalReason::kOverloaded
                            : RefusalReason::kNoTarget,
         false);
}

double RequestHandler::RandomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

absl::Duration RequestHandler::RetryAfter(RefusalReason reason) {
  const double draw = RandomFraction();
  return reason == RefusalReason::kOverloaded
             ? retry_after_scheduler_.NextDelay(draw, loop_.Now())
             : retry_after_scheduler_.BaseDelay(draw);
}

void RequestHandler::Refuse(engine::ServerExchange& exchange,
                            const std::string& request_id, RefusalReason reason,
                            bool ran, absl::Duration retry_after) {
  LogRefusal(exchange, request_id, reason, ran, retry_after, {}, false);
  exchange.Respond(
      protocol_.RefusalResponse(request_id, reason, ran, retry_after));
}

void RequestHandler::RefuseUnrouted(engine::ServerExchange& exchange,
                                    const CallerRequest& caller_request,
                                    RefusalReason reason, bool ran) {
  HandledRequest handled;
  handled.id = caller_request.request_id;
  handled.host = caller_request.host;
  handled.path = caller_request.path;
  handled.config_version = versions_.in_force();
  handled.outcome = RefusalReasonName(reason);
  handled.state = published_state_();
  handled.received_at = exchange.received_at();
  handled.ended_at = loop_.Now();
  Fields change_fields;
  const bool is_line_due = change_log_.OnRefused(handled, change_fields);
  const absl::Duration retry_after = RetryAfter(reason);
  handled.has_line = LogRefusal(exchange, handled.id, reason, ran, retry_after,
                                std::move(change_fields), is_line_due);
  change_log_.Keep(std::move(handled));
  exchange.Respond(protocol_.RefusalResponse(caller_request.request_id, reason,
                                             ran, retry_after));
}

bool RequestHandler::LogRefusal(const engine::ServerExchange& exchange,
                                const std::string& request_id,
                                RefusalReason reason, bool ran,
                                absl::Duration retry_after,
                                Fields change_fields, bool is_line_due) {
  CountRefusal(reason);
  if (!is_line_due && !log_rate_limiter_.TryAcquire(
                          "refused", policy_.log_lines, loop_.Now())) {
    return false;
  }
  Fields fields = {{"request", request_id},
                   {"target", exchange.request().target},
                   {"reason", RefusalReasonName(reason)},
                   {"ran", ran},
                   {"retry_after_ms", absl::ToInt64Milliseconds(retry_after)},
                   {"config_version", versions_.in_force()}};
  AppendPublishedState(published_state_(), fields);
  for (Field& field : change_fields) fields.push_back(std::move(field));
  LogInfo("request refused", fields);
  return true;
}

engine::HttpResponse RequestHandler::RefuseUnread(RefusalReason reason) {
  const absl::Duration retry_after = RetryAfter(reason);
  CountRefusal(reason);
  if (log_rate_limiter_.TryAcquire("refused", policy_.log_lines, loop_.Now())) {
    LogInfo("request refused unread",
            {{"reason", RefusalReasonName(reason)},
             {"retry_after_ms", absl::ToInt64Milliseconds(retry_after)},
             {"config_version", versions_.in_force()}});
  }
  return protocol_.RefusalResponse("", reason, false, retry_after);
}

void RequestHandler::CountRefusal(RefusalReason reason) {
  metrics_
      .counter("cherrydyke_refusals_total",
               absl::StrCat("reason=\"", RefusalReasonName(reason), "\""))
      .Add();
}

std::string RequestHandler::UnansweredAttempts(const Request& request) {
  std::string text;
  for (size_t index = 0; index < request.attempts.size(); ++index) {
    if (request.run->answered(index)) continue;
    const Request::Attempt& attempt = request.attempts[index];
    const absl::Duration sent_after =
        attempt.sent_at - request.exchange->received_at();
    absl::StrAppend(&text, text.empty() ? "" : " ", request.run->service(index),
                    "/", attempt.target, "+",
                    absl::ToInt64Milliseconds(sent_after),
                    "ms:", attempt.reply.response.status);
  }
  return text;
}

void RequestHandler::CountPassedOver(const ExclusionCounts& passed_over) {
  for (size_t i = 0; i < kExclusionReasonCount; ++i) {
    const auto exclusion = static_cast<ExclusionReason>(i);
    const int64_t times = passed_over.of(exclusion);
    if (times == 0) continue;
    metrics_
        .counter(
            "cherrydyke_targets_passed_over_total",
            absl::StrCat("reason=\"", ExclusionReasonName(exclusion), "\""))
        .Add(static_cast<uint64_t>(times));
  }
}

void RequestHandler::End(const RequestPtr& request, const std::string& outcome,
                         size_t missing) {
  LogOutcome(*request, outcome, missing);
  // Cancelled attempts may keep the request for their grace.
  request->exchange.reset();
}

void RequestHandler::LogOutcome(const Request& request,
                                const std::string& outcome, size_t missing) {
  metrics_
      .counter("cherrydyke_requests_total",
               absl::StrCat("outcome=\"", outcome, "\""))
      .Add();
  CountPassedOver(request.passed_over);
  const absl::Duration elapsed = loop_.Now() - request.exchange->received_at();
  metrics_.summary("cherrydyke_request_ms")
      .Observe(absl::ToDoubleMilliseconds(elapsed));
  const bool answered = outcome == kAnswered || outcome == kAnsweredInPart;
  const int lines = answered ? policy_.answer_log_lines : policy_.log_lines;
  HandledRequest handled = MakeHandled(request, outcome);
  Fields change_fields;
  const bool is_line_due = change_log_.OnEnded(handled, change_fields);
  handled.has_line =
      is_line_due || log_rate_limiter_.TryAcquire(outcome, lines, loop_.Now());
  const PublishedState state = handled.state;
  const bool has_line = handled.has_line;
  change_log_.Keep(std::move(handled));
  if (!has_line) return;
  Fields fields = {{"request", request.caller_request.request_id},
                   {"route", request.route->name},
                   {"config_version", request.routes->version()},
                   {"outcome", outcome},
                   {"ms", absl::ToDoubleMilliseconds(elapsed)},
                   {"sends", request.run->sends()},
                   {"missing", missing}};
  AppendPublishedState(state, fields);
  for (Field& field : change_fields) fields.push_back(std::move(field));
  if (outcome != kAnswered) {
    fields.emplace_back("unanswered", UnansweredAttempts(request));
    fields.emplace_back("passed_over", request.passed_over.ToString());
  }
  LogInfo("request done", fields);
}

HandledRequest RequestHandler::MakeHandled(const Request& request,
                                           const std::string& outcome) const {
  HandledRequest handled;
  handled.id = request.caller_request.request_id;
  handled.host = request.caller_request.host;
  handled.path = request.caller_request.path;
  handled.matched_prefix = request.route->prefix.size();
  handled.config_version = request.routes->version();
  handled.outcome = outcome;
  handled.targets.reserve(request.attempts.size());
  for (const Request::Attempt& attempt : request.attempts) {
    handled.targets.push_back(attempt.instance_hash);
  }
  handled.state = published_state_();
  handled.received_at = request.exchange->received_at();
  handled.ended_at = loop_.Now();
  return handled;
}

void RequestHandler::AppendPublishedState(const PublishedState& state,
                                          Fields& fields) {
  fields.emplace_back("published_age_ms", absl::ToInt64Milliseconds(state.age));
  fields.emplace_back("behind_ms", absl::ToInt64Milliseconds(state.behind));
  fields.emplace_back("ever_proven", state.was_proven);
}

}  // namespace cherrydyke
