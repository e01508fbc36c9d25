#include "entry/query_service.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "kernel/registry.h"
#include "routing/merger.h"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

/// Capacities of the token buckets for hedges and retries, in sub-requests.
constexpr double kHedgeBurstTokens = 30;
constexpr double kRetryBurstTokens = 100;
constexpr size_t kKnownGoodCapacity = 20'000;
constexpr int kHedgeWindowSize = 500;
constexpr absl::Duration kInitialHedgeDelay = absl::Milliseconds(30);
/// The hedge delay is this multiple of a latency quantile. A higher quantile
/// would include the latency of stragglers and delay hedges by it. A multiple
/// of a lower quantile does not, and other sub-requests rarely exceed it.
constexpr double kHedgeFactor = 1.5;
constexpr absl::Duration kMinHedgeDelay = absl::Milliseconds(2);
constexpr absl::Duration kRetryAfter = absl::Milliseconds(200);
/// Least time before the soft deadline for which a query is restarted on
/// another index version.
constexpr absl::Duration kMinRestartTime = absl::Milliseconds(10);
/// Part of the caller's timeout that is reserved for merging and for sending
/// the response.
constexpr absl::Duration kResponseReserve = absl::Milliseconds(2);

const char* MergerName(MergeKind merge) {
  return merge == MergeKind::kConcat ? "concat" : "top_score";
}

std::string MostCommonReason(const Coverage& coverage) {
  std::map<std::string, int> counts;
  for (const MissingRange& missing : coverage.missing) ++counts[missing.reason];
  const auto most = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return most == counts.end() ? "deadline" : most->first;
}

Refusal QuarantineRefusal(absl::Duration left) {
  return Refusal::Unknown(
      422, "quarantined",
      "this request ended targets that ran it and is not run again for a time",
      left);
}

Refusal NoShardAnswered(const QueryResult& result) {
  const std::string reason = MostCommonReason(result.coverage);
  const int status = reason == "deadline" ? 504 : 503;
  const std::string message =
      absl::StrCat("no shard answered; most often: ", reason);
  if (result.attempts == 0) {
    return Refusal::NotRun(NotRunProof::NothingSent(), status, reason, message,
                           kRetryAfter);
  }
  if (result.proved_not_run) {
    return Refusal::NotRun(NotRunProof::EveryAttemptRefused(), status, reason,
                           message, kRetryAfter);
  }
  return Refusal::Unknown(status, reason, message, kRetryAfter);
}

}  // namespace

bool KnownGoodQueries::Contains(uint64_t fingerprint) const {
  const absl::MutexLock lock(&mutex_);
  return fingerprints_.contains(fingerprint);
}

void KnownGoodQueries::Add(uint64_t fingerprint) {
  const absl::MutexLock lock(&mutex_);
  // Clearing the whole set is rare and costs only additional canaries.
  if (fingerprints_.size() >= capacity_) fingerprints_.clear();
  fingerprints_[fingerprint] = true;
}

void KnownGoodQueries::Remove(uint64_t fingerprint) {
  const absl::MutexLock lock(&mutex_);
  fingerprints_.erase(fingerprint);
}

/// A query with the snapshot, canary mode and deadlines for one run.
struct QueryService::Execution {
  const QueryCall& call;
  const Entry& entry;
  const Service& service;
  Snapshot snapshot;
  uint64_t fingerprint;
  CanaryMode canary;
  absl::Time soft_deadline;
  absl::Time hard_deadline;
  std::string request_id;
  std::string traceparent;
};

QueryService::QueryService(const RoutingSettings& settings,
                           Environment environment)
    : settings_(settings),
      environment_(std::move(environment)),
      picker_(Registry<ReplicaPicker>::Get().Create(settings.replica_picker)),
      hedge_budget_(settings.hedge_ratio,
                    settings.hedge_ratio > 0 ? kHedgeBurstTokens : 0),
      retry_budget_(settings.retry_ratio, kRetryBurstTokens),
      known_good_(kKnownGoodCapacity),
      seed_(NewIncarnation()) {}

QueryService::~QueryService() = default;

std::variant<Entry, Refusal> FindEntry(const Catalogue& catalogue,
                                       const EntryName& name, EntryKind kind) {
  const auto found = catalogue.entries.find(name);
  if (found == catalogue.entries.end()) {
    const bool retired = catalogue.retired_entries.count(name) > 0;
    return Refusal::NotRun(
        NotRunProof::NothingSent(), retired ? 410 : 404,
        retired ? "retired_entry" : "unknown_entry",
        absl::StrCat("entry: ", name,
                     retired ? " is retired" : " is not in the catalogue"));
  }
  if (found->second.kind != kind) {
    return Refusal::NotRun(
        NotRunProof::NothingSent(), 400, "wrong_entry_kind",
        absl::StrCat("entry: ", name, " is not for ",
                     kind == EntryKind::kQuery ? "queries" : "actions"));
  }
  return found->second;
}

std::variant<QueryResult, Refusal> QueryService::Run(const QueryCall& call,
                                                     const Catalogue& catalogue,
                                                     const Context& context) {
  const auto found = FindEntry(catalogue, call.entry, EntryKind::kQuery);
  if (const auto* refusal = std::get_if<Refusal>(&found)) return *refusal;
  const Entry& entry = std::get<Entry>(found);
  const auto service = catalogue.services.find(entry.service);
  if (service == catalogue.services.end()) {
    return Refusal::NotRun(
        NotRunProof::NothingSent(), 503, "unknown_service",
        absl::StrCat("service: ", entry.service, " is not in the catalogue"),
        kRetryAfter);
  }
  const uint64_t fingerprint = StableHash(call.entry + "|" + call.query_json);
  const absl::Duration quarantined =
      environment_.admission.QuarantineRemaining(fingerprint);
  if (quarantined > absl::ZeroDuration()) return QuarantineRefusal(quarantined);
  const auto admitted =
      environment_.admission.Admit(entry, entry.hard_deadline);
  if (const auto* denied =
          std::get_if<AdmissionController::Denied>(&admitted)) {
    return Refusal::NotRun(NotRunProof::NothingSent(), denied->status,
                           denied->reason, denied->message,
                           denied->retry_after);
  }
  return RunAdmitted(call, entry, service->second, fingerprint, context);
}

std::variant<QueryResult, Refusal> QueryService::RunAdmitted(
    const QueryCall& call, const Entry& entry, const Service& service,
    uint64_t fingerprint, const Context& context) {
  const absl::Time start = environment_.clock.Now();
  absl::Duration max_duration = entry.hard_deadline;
  if (call.timeout > absl::ZeroDuration()) {
    max_duration = std::min(max_duration, call.timeout - kResponseReserve);
  }
  const bool is_canary_exempt =
      entry.canary == CanaryMode::kNever || known_good_.Contains(fingerprint);
  Execution execution{
      call,
      entry,
      service,
      ChooseSnapshot(service, environment_.directory),
      fingerprint,
      is_canary_exempt ? CanaryMode::kNever : CanaryMode::kAlways,
      start + std::min(entry.soft_deadline, max_duration),
      start + max_duration,
      context.request_id,
      context.parent.ToTraceparent()};
  QueryResult result = RunOnce(execution);
  const absl::Time now = environment_.clock.Now();
  if (result.version_gone && now + kMinRestartTime < execution.soft_deadline) {
    const Snapshot newer = ChooseSnapshot(service, environment_.directory,
                                          {execution.snapshot.index_version});
    if (newer != execution.snapshot) {
      environment_.metrics.counter("cherrydyke_query_restarts_total").Add();
      execution.snapshot = newer;
      QueryResult restarted = RunOnce(execution);
      restarted.attempts += result.attempts;
      restarted.proved_not_run =
          restarted.proved_not_run && result.proved_not_run;
      restarted.quarantined = restarted.quarantined || result.quarantined;
      const bool better =
          restarted.coverage.fraction >= result.coverage.fraction;
      if (better) result = std::move(restarted);
    }
  }
  RecordMetrics(entry, result, environment_.clock.Now() - start);
  if (result.quarantined) {
    known_good_.Remove(fingerprint);
    if (environment_.admission.AddQuarantine(fingerprint)) {
      environment_.on_quarantine();
    }
    return QuarantineRefusal(
        environment_.admission.QuarantineRemaining(fingerprint));
  }
  if (result.coverage.answered == 0 && result.hits.empty()) {
    return NoShardAnswered(result);
  }
  if (result.coverage.complete) known_good_.Add(fingerprint);
  Registry<Merger>::Get().Create(MergerName(entry.merge))->Merge(result.hits);
  return result;
}

LatencyEstimator& QueryService::HedgeLatency(const ServiceName& service) {
  const absl::MutexLock lock(&mutex_);
  auto& estimator = hedge_latency_[service];
  if (estimator == nullptr) {
    estimator = std::make_unique<LatencyEstimator>(
        settings_.hedge_quantile, kHedgeWindowSize, kInitialHedgeDelay);
  }
  return *estimator;
}

QueryResult QueryService::RunOnce(const Execution& execution) {
  LatencyEstimator& latency = HedgeLatency(execution.service.name);
  const absl::Duration hedge_delay =
      settings_.hedge_ratio > 0
          ? std::max(kMinHedgeDelay, latency.Estimate() * kHedgeFactor)
          : absl::InfiniteDuration();
  QueryPlan plan{execution.snapshot,          execution.service.shard_map,
                 execution.entry.entry_class, execution.canary,
                 execution.soft_deadline,     execution.hard_deadline};
  QueryRun run(std::move(plan),
               {environment_.directory, *picker_, hedge_budget_, retry_budget_,
                hedge_delay, environment_.next_attempt},
               seed_.fetch_add(1));
  const auto reply_queue = std::make_shared<SubRequestReplyQueue>();
  absl::flat_hash_map<AttemptId, absl::Time> sent_at;
  const auto apply_actions = [&](const QueryActions& actions, absl::Time now) {
    for (const Dispatch& dispatch : actions.send) {
      sent_at[dispatch.attempt] = now;
      if (dispatch.hedge) {
        environment_.metrics.counter("cherrydyke_hedges_total").Add();
      }
    }
    ApplyActions(actions, execution, reply_queue, now);
  };
  absl::Time now = environment_.clock.Now();
  apply_actions(run.Start(now), now);
  while (!run.done()) {
    SubRequestReply answer;
    const bool arrived =
        reply_queue->Pop(answer, run.NextTimer(), environment_.clock);
    now = environment_.clock.Now();
    if (arrived) {
      if (answer.outcome == AttemptOutcome::kDone) {
        latency.Observe(now - sent_at[answer.attempt]);
      }
      apply_actions(run.OnAnswer(answer, now), now);
    }
    if (now >= run.NextTimer()) apply_actions(run.OnTimer(now), now);
  }
  return run.TakeResult();
}

void QueryService::ApplyActions(
    const QueryActions& actions, const Execution& execution,
    const std::shared_ptr<SubRequestReplyQueue>& reply_queue, absl::Time now) {
  const absl::Time deadline =
      execution.entry.entry_class == EntryClass::kLatency
          ? execution.soft_deadline
          : execution.hard_deadline;
  std::map<HostId, SubRequestBatch> batches;
  for (const Dispatch& dispatch : actions.send) {
    const Shard& shard =
        execution.service.shard_map.shards[dispatch.shard_index];
    SubRequestBatch& batch =
        batches[environment_.directory.AssignedGate(dispatch.target)];
    batch.sub_requests.push_back({dispatch.attempt, dispatch.target, shard.id,
                                  shard.range, execution.snapshot.shard_map,
                                  execution.snapshot.index_version});
  }
  for (auto& [gate, batch] : batches) {
    batch.request_id = execution.request_id;
    batch.traceparent = execution.traceparent;
    batch.service = execution.service.name;
    batch.fingerprint = execution.fingerprint;
    batch.timeout_us = absl::ToInt64Microseconds(deadline - now);
    batch.query_json = execution.call.query_json;
    environment_.links.Send(gate, batch, reply_queue);
  }
  if (!actions.cancel.empty()) environment_.links.Cancel(actions.cancel);
}

void QueryService::RecordMetrics(const Entry& entry, const QueryResult& result,
                                 absl::Duration latency) {
  const std::string labels = absl::StrCat("entry=\"", entry.name, "\"");
  Metrics& metrics = environment_.metrics;
  metrics.summary("cherrydyke_query_seconds", labels)
      .Observe(absl::ToDoubleSeconds(latency));
  metrics.summary("cherrydyke_query_coverage", labels)
      .Observe(result.coverage.fraction);
  metrics.counter("cherrydyke_queries_total", labels).Add();
  metrics.counter("cherrydyke_needed_sub_requests_total", labels)
      .Add(static_cast<uint64_t>(result.coverage.shards));
  if (!result.coverage.complete) {
    metrics.counter("cherrydyke_partial_answers_total", labels).Add();
  }
}

}  // namespace cherrydyke
