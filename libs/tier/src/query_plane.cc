#include "tier/query_plane.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

constexpr char kAnswered[] = "answered";
constexpr char kAnsweredInPart[] = "answered_in_part";

/// Longest silence of a connection that a request which must not run twice is
/// trusted to: a server that drops idle connections does so much later.
constexpr absl::Duration kProvedConnection = absl::Milliseconds(400);
TargetOutcome SignOf(const TargetReply& reply, engine::ExchangeStatus status,
                     bool wanted) {
  if (status == engine::ExchangeStatus::kNotSent) {
    return wanted ? TargetOutcome::kUnreachable : TargetOutcome::kNotSent;
  }
  if (status == engine::ExchangeStatus::kBrokenOff) {
    return TargetOutcome::kCancelled;
  }
  switch (reply.end) {
    case AttemptResult::kSuccess:
      return TargetOutcome::kAnswered;
    case AttemptResult::kNotSent:
      return TargetOutcome::kUnreachable;
    case AttemptResult::kNotRun:
    case AttemptResult::kWrongTarget:
      return TargetOutcome::kRejected;
    case AttemptResult::kFailure:
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

struct QueryPlane::Request {
  struct Attempt {
    TargetId target;
    engine::ExchangeId exchange = 0;
    absl::Time sent_at;
    /// The response, once it is in.
    TargetReply reply;
  };

  std::shared_ptr<engine::ServerExchange> exchange;
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  Call call;
  std::string head;
  uint64_t fingerprint = 0;
  absl::Time deadline;
  absl::Time answer_at;
  std::unique_ptr<RequestRun> run;
  /// Whether targets had too much to do when it began.
  bool overloaded = false;
  /// Targets that were passed over for it.
  ExclusionCounts passed_over;
  std::vector<Attempt> attempts;
  /// Attempts under which targets have crashed.
  std::vector<size_t> crashed;
  engine::TimerId timer = 0;
  absl::Time timer_at = absl::InfiniteFuture();
};

QueryPlane::QueryPlane(Parts parts)
    : loop_(parts.loop),
      face_(parts.face),
      targets_(parts.targets),
      crashes_(parts.crashes),
      metrics_(parts.metrics),
      policy_(parts.policy),
      on_crash_counted_(std::move(parts.on_crash_counted)),
      returns_(policy_.retry_after, policy_.retry_after_spread),
      timing_(policy_.answer_margin, policy_.answer_spare),
      random_(NewIncarnation()) {}

QueryPlane::~QueryPlane() = default;

void QueryPlane::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  routes_ = std::move(routes);
}

void QueryPlane::OnRequest(std::shared_ptr<engine::ServerExchange> exchange) {
  const std::optional<Call> call = face_.ReadCall(exchange->request());
  if (!call) return Refuse(*exchange, "", RefusalReason::kMalformed, false);
  if (!has_routes()) {
    return Refuse(*exchange, call->request_id, RefusalReason::kNoConfiguration,
                  false);
  }
  const Route* const route = routes_->Find(call->host, call->path);
  if (route == nullptr) {
    return Refuse(*exchange, call->request_id, RefusalReason::kNoRoute, false);
  }
  const uint64_t fingerprint = RequestFingerprint(exchange->request());
  if (crashes_.IsQuarantined(fingerprint, loop_.Now())) {
    return Refuse(*exchange, call->request_id, RefusalReason::kQuarantined,
                  false);
  }
  const auto request = std::make_shared<Request>();
  request->exchange = std::move(exchange);
  request->routes = routes_;
  request->route = route;
  request->call = *call;
  request->fingerprint = fingerprint;
  request->head = face_.TargetHead(request->exchange->request());
  RequestPlan plan = MakePlan(*route, *call, *request->exchange);
  for (const ServiceName& service : plan.services) targets_.OnRequest(service);
  request->deadline = plan.deadline;
  request->answer_at = plan.answer_at;
  request->run = std::make_unique<RequestRun>(std::move(plan), targets_);
  request->exchange->OnLeft([this, weak = std::weak_ptr<Request>(request)] {
    if (const auto left = weak.lock()) OnLeft(left);
  });
  running_.insert(request);
  const RunActions actions = Step(
      *request, [this](RequestRun& run) { return run.Start(loop_.Now()); });
  request->overloaded = request->passed_over.of(ExclusionReason::kNoRoom) > 0;
  Perform(request, actions);
}

RunActions QueryPlane::Step(Request& request,
                            absl::FunctionRef<RunActions(RequestRun&)> step) {
  const ExclusionCounts before = targets_.counts().passed_over;
  RunActions actions = step(*request.run);
  request.passed_over += targets_.counts().passed_over - before;
  return actions;
}

RequestPlan QueryPlane::MakePlan(const Route& route, const Call& call,
                                 const engine::ServerExchange& exchange) {
  const absl::Time received_at = exchange.received_at();
  const engine::CallerPath path = exchange.path();
  RequestPlan plan;
  plan.is_fanout = route.IsFanout();
  plan.idempotent = route.idempotent;
  plan.max_attempts = std::max(1, route.attempts);
  plan.allowed_regions = route.allowed_regions;
  if (plan.is_fanout) {
    plan.services = route.shards;
    const double needed =
        route.min_coverage * static_cast<double>(route.shards.size());
    // Shares such as 0.9 of 10 must not ask for an eleventh by rounding.
    plan.min_parts =
        std::max<size_t>(1, static_cast<size_t>(std::ceil(needed - 1e-9)));
  } else {
    const size_t chosen = spreaders_[route.name].Next(route.backends);
    plan.services = {route.backends[chosen].service};
  }
  const absl::Duration left =
      std::min(call.time_left.value_or(route.timeout), route.timeout);
  plan.deadline = received_at + left - policy_.deadline_margin;
  plan.answer_at =
      policy_.wait_for_parts
          ? std::min(plan.deadline,
                     received_at + route.latency_objective -
                         timing_.Margin(path.round_trip, path.is_fresh))
          : received_at;
  plan.hedges = policy_.hedges;
  return plan;
}

void QueryPlane::Perform(const RequestPtr& request, const RunActions& actions) {
  for (const size_t attempt : actions.overdue) {
    const Request::Attempt& overdue = request->attempts[attempt];
    targets_.OnOverdue(overdue.target, overdue.sent_at);
  }
  for (const size_t attempt : actions.cancel) {
    if (attempt >= request->attempts.size()) {
      targets_.Unplace(request->run->target(attempt));
      continue;
    }
    const Request::Attempt& cancelled = request->attempts[attempt];
    const absl::Duration grace =
        request->route->idempotent
            ? policy_.cancel_grace
            : std::max(request->deadline - loop_.Now(), policy_.cancel_grace);
    targets_.Cancel(cancelled.target, cancelled.exchange, grace);
  }
  for (const AttemptSend& send : actions.send) SendAttempt(request, send);
  if (actions.outcome) {
    Conclude(request, *actions.outcome);
  } else {
    Arm(request);
  }
}

void QueryPlane::SendAttempt(const RequestPtr& request,
                             const AttemptSend& send) {
  const absl::Time now = loop_.Now();
  request->attempts.resize(
      std::max(request->attempts.size(), send.attempt + 1));
  Request::Attempt& attempt = request->attempts[send.attempt];
  attempt.target = send.target;
  attempt.sent_at = now;
  const engine::HttpRequest& call = request->exchange->request();
  engine::PoolRequest out;
  out.exchange.write = [this, request, target = send.target] {
    return face_.TargetRequest(request->head, request->exchange->request().body,
                               target, request->deadline - loop_.Now());
  };
  out.exchange.is_head = call.method == "HEAD";
  out.exchange.expected_id = request->call.request_id;
  out.exchange.done = [this, request,
                       index = send.attempt](engine::ExchangeResult result) {
    OnResult(request, index, std::move(result));
  };
  if (!request->route->idempotent) out.max_silence = kProvedConnection;
  attempt.exchange = targets_.Send(send.target, std::move(out));
  if (attempt.exchange == 0) {
    timers_.Post([this, request, index = send.attempt] {
      OnResult(request, index, {});
    });
  }
}

TargetReply QueryPlane::Interpret(engine::ExchangeResult result) const {
  if (result.status == engine::ExchangeStatus::kComplete) {
    return face_.ReadReply(std::move(result.response));
  }
  TargetReply reply;
  reply.end = result.status == engine::ExchangeStatus::kNotSent
                  ? AttemptResult::kNotSent
                  : AttemptResult::kUnknown;
  if (!result.response.headers.empty()) {
    // Of an answer that is not whole only this is trusted.
    reply.leaving = face_.ReadReply(std::move(result.response)).leaving;
  }
  return reply;
}

void QueryPlane::Learn(const RequestPtr& request, size_t index,
                       const TargetReply& reply,
                       engine::ExchangeStatus status) {
  const Request::Attempt& attempt = request->attempts[index];
  targets_.OnEnded(attempt.target,
                   SignOf(reply, status, request->run->running(index)),
                   loop_.Now() - attempt.sent_at,
                   request->route->latency_objective - policy_.answer_margin);
  if (reply.load) targets_.OnLoad(attempt.target, *reply.load);
  ApplyNotices(*request, index, reply);
  if (reply.end == AttemptResult::kWrongTarget) {
    targets_.OnWrongTarget(attempt.target);
  }
  if (status == engine::ExchangeStatus::kLost) {
    metrics_.counter("cherrydyke_lost_answers_total").Add();
    if (log_budget_.Take("lost", policy_.log_lines, loop_.Now())) {
      LogInfo("answer lost", {{"request", request->call.request_id},
                              {"target", attempt.target},
                              {"fingerprint", ToHex(request->fingerprint)}});
    }
    targets_.OnLostRequest(attempt.target,
                           [this, request, index] { OnCrash(request, index); });
  }
}

void QueryPlane::ApplyNotices(const Request& request, size_t index,
                              const TargetReply& reply) {
  const Request::Attempt& attempt = request.attempts[index];
  const std::string& id = request.call.request_id;
  if (reply.leaving && targets_.OnLeaving(attempt.target, attempt.sent_at)) {
    metrics_.counter("cherrydyke_targets_leaving_total").Add();
    // Once in the lifetime of each target.
    LogInfo("target leaves", {{"target", attempt.target}, {"request", id}});
  }
  if (reply.is_wait_malformed &&
      log_budget_.Take("malformed wait", policy_.log_lines, loop_.Now())) {
    LogWarning("unreadable wait of a target ignored",
               {{"target", attempt.target}, {"request", id}});
  }
  if (reply.wait <= absl::ZeroDuration()) return;
  const auto opens_at =
      targets_.OnClosed(attempt.target, attempt.sent_at, reply.wait, Draw());
  if (!opens_at) return;
  metrics_.counter("cherrydyke_targets_closed_total").Add();
  if (!log_budget_.Take("closed", policy_.log_lines, loop_.Now())) return;
  LogInfo(
      "target closed for a time",
      {{"target", attempt.target},
       {"request", id},
       {"stated_ms", absl::ToInt64Milliseconds(reply.wait)},
       {"opens_in_ms", absl::ToInt64Milliseconds(*opens_at - loop_.Now())}});
}

void QueryPlane::OnCrash(const RequestPtr& request, size_t index) {
  const bool answered = request->run->answered(index);
  if (log_budget_.Take("crashed", policy_.log_lines, loop_.Now())) {
    LogWarning("target crashed during a request",
               {{"target", request->attempts[index].target},
                {"request", request->call.request_id},
                {"fingerprint", ToHex(request->fingerprint)},
                {"answered", answered}});
  }
  metrics_.counter("cherrydyke_crashes_total").Add();
  if (answered) return;
  if (!request->run->done()) return request->crashed.push_back(index);
  CountCrash(*request, index);
  on_crash_counted_();
}

void QueryPlane::CountCrash(const Request& request, size_t index) {
  const uint64_t fingerprint = request.fingerprint;
  const bool quarantined = crashes_.OnCrash(fingerprint, loop_.Now());
  const std::string line =
      quarantined ? "request quarantined" : "crash counted";
  if (log_budget_.Take(line, policy_.log_lines, loop_.Now())) {
    LogWarning(line, {{"fingerprint", ToHex(fingerprint)},
                      {"request", request.call.request_id},
                      {"target", request.attempts[index].target},
                      {"crashes", crashes_.Total(fingerprint)}});
  }
  if (!quarantined) return;
  // Requests of its kind may wait for the very pool that reports this.
  timers_.Post([this, fingerprint] { OnQuarantined(fingerprint); });
}

void QueryPlane::Retire(const RequestPtr& request) {
  loop_.Cancel(request->timer);
  running_.erase(request);
  bool counted = false;
  for (const size_t index : std::exchange(request->crashed, {})) {
    if (request->run->answered(index)) continue;
    CountCrash(*request, index);
    counted = true;
  }
  if (counted) on_crash_counted_();
}

void QueryPlane::OnResult(const RequestPtr& request, size_t index,
                          engine::ExchangeResult result) {
  const engine::ExchangeStatus status = result.status;
  TargetReply reply = Interpret(std::move(result));
  Learn(request, index, reply, status);
  if (request->run->done()) return;
  const AttemptResult end = reply.end;
  request->attempts[index].reply = std::move(reply);
  Perform(request, Step(*request, [&](RequestRun& run) {
            return run.OnEnded(index, end, loop_.Now());
          }));
}

void QueryPlane::Arm(const RequestPtr& request) {
  const absl::Time next = request->run->NextTimer();
  if (next == request->timer_at) return;
  loop_.Cancel(request->timer);
  request->timer_at = next;
  request->timer = timers_.RunAt(next, [this, request, next] {
    request->timer_at = absl::InfiniteFuture();
    Perform(request, Step(*request, [this](RequestRun& run) {
              return run.OnTimer(loop_.Now());
            }));
    // An answer that was due is given by now.
    if (request->run->done() && next == request->answer_at) {
      const absl::Duration late = loop_.Now() - next;
      timing_.OnAnswerSent(late);
      metrics_.summary("cherrydyke_answer_late_ms")
          .Observe(absl::ToDoubleMilliseconds(late));
    }
  });
}

void QueryPlane::OnLeft(const RequestPtr& request) {
  if (request->run->done()) return;
  metrics_.counter("cherrydyke_callers_left_total").Add();
  Abort(request);
  LogOutcome(*request, "caller_left", 0);
}

void QueryPlane::Abort(const RequestPtr& request) {
  Perform(request, request->run->Abort());
  Retire(request);
}

void QueryPlane::OnQuarantined(uint64_t fingerprint) {
  std::vector<RequestPtr> stopped;
  for (const RequestPtr& request : running_) {
    if (request->fingerprint == fingerprint) stopped.push_back(request);
  }
  for (const RequestPtr& request : stopped) {
    Abort(request);
    Refuse(*request->exchange, request->call.request_id,
           RefusalReason::kQuarantined, true);
    LogOutcome(*request, "quarantined", 0);
  }
}

void QueryPlane::Conclude(const RequestPtr& request, RequestOutcome kind) {
  Retire(request);
  const RequestRun& run = *request->run;
  switch (kind) {
    case RequestOutcome::kAnswer:
      return Answer(request);
    case RequestOutcome::kRelayFailure:
      request->exchange->Respond(face_.Relay(
          std::move(request->attempts[run.relayed()].reply.response)));
      return LogOutcome(*request, "target_failure", 0);
    case RequestOutcome::kNotRun:
      RefuseUnplaced(*request);
      return LogOutcome(*request, "not_run", 0);
    case RequestOutcome::kFailed:
      Refuse(*request->exchange, request->call.request_id,
             RefusalReason::kTargetsFailed, true);
      return LogOutcome(*request, "targets_failed", 0);
    case RequestOutcome::kTimedOut:
      Refuse(*request->exchange, request->call.request_id,
             RefusalReason::kDeadline, true);
      return LogOutcome(*request, "deadline", 0);
  }
}

void QueryPlane::Answer(const RequestPtr& request) {
  returns_.OnAnswered(loop_.Now());
  const auto winners = request->run->Winners();
  if (!request->route->IsFanout()) {
    request->exchange->Respond(face_.Relay(
        std::move(request->attempts[*winners.front()].reply.response)));
    return LogOutcome(*request, kAnswered, 0);
  }
  std::vector<std::string> stamps;
  std::vector<std::string> bodies;
  for (const std::optional<size_t>& winner : winners) {
    if (!winner) continue;
    TargetReply& reply = request->attempts[*winner].reply;
    stamps.push_back(std::move(reply.stamp));
    bodies.push_back(std::move(reply.response.body));
  }
  const size_t missing = winners.size() - stamps.size();
  request->exchange->Respond(
      face_.Merged(request->call, stamps, missing,
                   MergeTopRecords(bodies, request->route->top_k)));
  LogOutcome(*request, missing == 0 ? kAnswered : kAnsweredInPart, missing);
}

void QueryPlane::RefuseUnplaced(const Request& request) {
  std::vector<absl::Time> opens;
  for (const ServiceName& service : request.run->plan().services) {
    const absl::Time opens_at = targets_.OpensAt(service);
    if (opens_at > loop_.Now()) opens.push_back(opens_at);
  }
  const RequestPlan& plan = request.run->plan();
  const absl::Time enough = TimeWhenEnoughAvailable(
      std::move(opens), plan.services.size() - plan.min_parts);
  if (enough > loop_.Now()) {
    return Refuse(*request.exchange, request.call.request_id,
                  RefusalReason::kTargetsClosed, false,
                  enough - loop_.Now() + returns_.BaseDelay(Draw()));
  }
  Refuse(*request.exchange, request.call.request_id,
         request.overloaded ? RefusalReason::kOverloaded
                            : RefusalReason::kNoTarget,
         false);
}

double QueryPlane::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

absl::Duration QueryPlane::RetryAfter(RefusalReason reason) {
  const double draw = Draw();
  return reason == RefusalReason::kOverloaded
             ? returns_.NextDelay(draw, loop_.Now())
             : returns_.BaseDelay(draw);
}

void QueryPlane::Refuse(engine::ServerExchange& exchange,
                        const std::string& request_id, RefusalReason reason,
                        bool ran, absl::Duration retry_after) {
  metrics_
      .counter("cherrydyke_refusals_total",
               absl::StrCat("reason=\"", ReasonName(reason), "\""))
      .Add();
  if (log_budget_.Take("refused", policy_.log_lines, loop_.Now())) {
    LogInfo("request refused",
            {{"request", request_id},
             {"target", exchange.request().target},
             {"reason", ReasonName(reason)},
             {"ran", ran},
             {"retry_after_ms", absl::ToInt64Milliseconds(retry_after)},
             {"config_version", version()}});
  }
  exchange.Respond(face_.Refuse(request_id, reason, ran, retry_after));
}

std::string QueryPlane::UnansweredAttempts(const Request& request) {
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

void QueryPlane::CountPassedOver(const ExclusionCounts& passed_over) {
  for (size_t i = 0; i < kExclusionReasonCount; ++i) {
    const auto obstacle = static_cast<ExclusionReason>(i);
    const int64_t times = passed_over.of(obstacle);
    if (times == 0) continue;
    metrics_
        .counter("cherrydyke_targets_passed_over_total",
                 absl::StrCat("reason=\"", ExclusionReasonName(obstacle), "\""))
        .Add(static_cast<uint64_t>(times));
  }
}

void QueryPlane::LogOutcome(const Request& request, const std::string& outcome,
                            size_t missing) {
  metrics_
      .counter("cherrydyke_requests_total",
               absl::StrCat("outcome=\"", outcome, "\""))
      .Add();
  CountPassedOver(request.passed_over);
  const absl::Duration took = loop_.Now() - request.exchange->received_at();
  metrics_.summary("cherrydyke_request_ms")
      .Observe(absl::ToDoubleMilliseconds(took));
  const bool answered = outcome == kAnswered || outcome == kAnsweredInPart;
  const int lines = answered ? policy_.answer_log_lines : policy_.log_lines;
  if (!log_budget_.Take(outcome, lines, loop_.Now())) return;
  Fields fields = {{"request", request.call.request_id},
                   {"route", request.route->name},
                   {"config_version", request.routes->version()},
                   {"outcome", outcome},
                   {"ms", absl::ToDoubleMilliseconds(took)},
                   {"sends", request.run->sends()},
                   {"missing", missing}};
  if (outcome != kAnswered) {
    fields.emplace_back("unanswered", UnansweredAttempts(request));
    fields.emplace_back("passed_over", request.passed_over.ToString());
  }
  LogInfo("request done", fields);
}

}  // namespace cherrydyke
