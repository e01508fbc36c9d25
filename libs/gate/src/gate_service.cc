#include "gate/gate_service.h"

#include <algorithm>
#include <set>

#include "absl/time/clock.h"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

constexpr absl::Duration kQuarantineDuration = absl::Seconds(60);
constexpr size_t kQuarantineCapacity = 10'000;
/// A query is quarantined when it has caused this many lost connections.
constexpr int kCrashesBeforeQuarantine = 2;
constexpr size_t kMaxCrashRecords = 10'000;
/// Longest time that one request may run at a target. The takeover wait of
/// target leases relies on this bound.
const absl::Duration kMaxAttemptDuration =
    TargetLeases::Options().max_attempt_duration;
constexpr absl::Duration kProbePeriod = absl::Seconds(1);
constexpr absl::Duration kProbePollInterval = absl::Milliseconds(50);

SubRequestReply ToSubRequestReply(const AttemptId& attempt, TargetReply reply) {
  SubRequestReply answer;
  answer.attempt = attempt;
  answer.outcome = reply.outcome;
  answer.not_run = reply.not_run;
  answer.shard = std::move(reply.shard);
  answer.index_version = reply.index_version;
  answer.complete = reply.complete;
  answer.hits = std::move(reply.hits);
  answer.versions = std::move(reply.versions);
  answer.retry_after_ms = reply.retry_after_ms;
  return answer;
}

}  // namespace

GateService::GateService(Identity self, Environment environment)
    : self_(std::move(self)),
      environment_(std::move(environment)),
      quarantine_(kQuarantineDuration, kQuarantineCapacity),
      actions_(
          self_.host, self_.incarnation,
          {environment_.clock,
           [this](const TargetId& target) { return RefusalFor(target, 0); },
           [this](const TargetId& target) { return FindRunner(target); },
           [this] { return NextAttempt(); }, environment_.run_later},
          kMaxAttemptDuration),
      probe_thread_([this] { ProbeLoop(); }),
      cancel_thread_([this] { CancelLoop(); }) {}

GateService::~GateService() { Stop(); }

void GateService::Stop() {
  if (stopping_.exchange(true)) return;
  std::map<TargetId, RunnerPtr> runners;
  {
    const absl::MutexLock lock(&mutex_);
    runners = runners_;
    pending_cancels_changed_.SignalAll();
  }
  probe_thread_.join();
  cancel_thread_.join();
  StopRetiredRunners();
  for (const auto& [target, runner] : runners) runner->Stop();
}

void GateService::OnCatalogue(const Catalogue& catalogue) {
  const bool in_service = !catalogue.IsOutOfService(self_.failure_domain);
  const bool returned = in_service && !in_service_;
  in_service_ = in_service;
  {
    const absl::MutexLock lock(&mutex_);
    limits_.clear();
    for (const auto& [name, service] : catalogue.services) {
      const TargetLimits limits{service.slots, service.cold.concurrency,
                                service.cold.successes};
      for (const Shard& shard : service.shard_map.shards) {
        for (const TargetId& target : shard.replicas) limits_[target] = limits;
      }
    }
    for (const auto& [target, runner] : runners_) {
      runner->SetLimits(LimitsOf(target));
      if (returned) runner->MarkCold();
    }
  }
  UpdateRunners();
}

void GateService::OnHosts(const HostList& hosts) {
  {
    const absl::MutexLock lock(&mutex_);
    targets_.clear();
    for (const Host& host : hosts.hosts) {
      if (host.kind == HostKind::kTarget) targets_[host.id] = host;
    }
    for (const auto& [target, runner] : runners_) {
      const auto found = targets_.find(target);
      runner->SetLeaving(found == targets_.end() ||
                         found->second.state == HostState::kLeaving);
    }
  }
  UpdateRunners();
}

TargetLimits GateService::LimitsOf(const TargetId& target) const {
  const auto found = limits_.find(target);
  return found == limits_.end() ? TargetLimits{} : found->second;
}

void GateService::UpdateRunners() {
  const std::vector<TargetId> assigned = environment_.leases.AssignedTargets();
  const std::set<TargetId> assigned_set(assigned.begin(), assigned.end());
  const absl::MutexLock lock(&mutex_);
  for (auto it = runners_.begin(); it != runners_.end();) {
    const auto host = targets_.find(it->first);
    const bool keep = assigned_set.count(it->first) > 0 &&
                      host != targets_.end() &&
                      host->second.address == it->second->endpoint();
    if (!keep) retired_runners_.push_back(it->second);
    it = keep ? std::next(it) : runners_.erase(it);
  }
  for (const TargetId& target : assigned) {
    const auto host = targets_.find(target);
    if (host == targets_.end() || runners_.count(target) > 0) continue;
    RunnerPtr& runner = runners_[target];
    runner = std::make_shared<TargetRunner>(
        target, host->second.address, LimitsOf(target),
        TargetRunner::Environment{
            environment_.clock, environment_.protocol, environment_.leases,
            environment_.spans, environment_.metrics,
            [this] { return NextAttempt(); }, self_.address});
    runner->SetLeaving(host->second.state == HostState::kLeaving);
  }
}

void GateService::StopRetiredRunners() {
  std::vector<RunnerPtr> retired;
  {
    const absl::MutexLock lock(&mutex_);
    retired.swap(retired_runners_);
  }
  for (const RunnerPtr& runner : retired) runner->Stop();
}

void GateService::OnLeasesAcquired(const std::vector<TargetId>& targets) {
  for (const TargetId& target : targets) {
    LogInfo("acquired lease of target", {{"target", target}});
    if (const RunnerPtr runner = FindRunner(target)) runner->MarkCold();
  }
}

void GateService::OnQuarantineNotices(
    const std::vector<QuarantineNotice>& notices) {
  bool is_new = false;
  {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = environment_.clock.Now();
    for (const QuarantineNotice& notice : notices) {
      is_new = quarantine_.OnNotice(notice, now) || is_new;
    }
  }
  if (is_new) environment_.on_quarantine();
}

std::vector<QuarantineNotice> GateService::QuarantineNotices(size_t limit) {
  const absl::MutexLock lock(&mutex_);
  return quarantine_.Notices(limit, environment_.clock.Now());
}

GateService::RunnerPtr GateService::FindRunner(const TargetId& target) {
  const absl::MutexLock lock(&mutex_);
  const auto found = runners_.find(target);
  return found == runners_.end() ? nullptr : found->second;
}

void GateService::OnLinkMessage(const std::shared_ptr<Link>& link,
                                Message message) {
  if (const auto* batch = std::get_if<SubRequestBatch>(&message)) {
    OnBatch(link, *batch);
  } else if (auto* cancel = std::get_if<CancelAttempts>(&message)) {
    const absl::MutexLock lock(&mutex_);
    pending_cancels_.push_back(std::move(*cancel));
    pending_cancels_changed_.Signal();
  } else if (const auto* ticket = std::get_if<TicketRequest>(&message)) {
    actions_.OnTicketRequest(link, *ticket);
  } else if (const auto* action = std::get_if<ActionRequest>(&message)) {
    actions_.OnActionRequest(link, *action);
  } else if (std::holds_alternative<Hello>(message)) {
    link->Send(Reports());
  }
}

AttemptOutcome GateService::RefusalFor(const TargetId& target,
                                       uint64_t fingerprint) {
  if (draining_) return AttemptOutcome::kDraining;
  if (!in_service_) return AttemptOutcome::kOutOfService;
  const bool held = environment_.leases.Holds(target);
  if (!held && !environment_.leases.Fenced()) return AttemptOutcome::kNotLeased;
  const absl::MutexLock lock(&mutex_);
  const bool quarantined =
      quarantine_.Remaining(fingerprint, environment_.clock.Now()) >
      absl::ZeroDuration();
  return quarantined ? AttemptOutcome::kQuarantined : AttemptOutcome::kDone;
}

void GateService::OnBatch(const std::shared_ptr<Link>& link,
                          const SubRequestBatch& batch) {
  const absl::Time now = environment_.clock.Now();
  const absl::Duration timeout =
      std::min(kMaxAttemptDuration, absl::Microseconds(batch.timeout_us));
  const SpanContext parent = ParseTraceparent(batch.traceparent);
  for (const SubRequest& sub : batch.sub_requests) {
    const AttemptOutcome refusal = RefusalFor(sub.target, batch.fingerprint);
    const RunnerPtr runner = FindRunner(sub.target);
    if (refusal != AttemptOutcome::kDone || runner == nullptr) {
      TargetReply reply;
      reply.outcome = refusal == AttemptOutcome::kDone
                          ? AttemptOutcome::kNotLeased
                          : refusal;
      reply.not_run = true;
      link->Send(ToSubRequestReply(sub.attempt, std::move(reply)));
      continue;
    }
    TargetJob job;
    job.call.shard = sub.shard;
    job.call.range = sub.range;
    job.call.shard_map = sub.shard_map;
    job.call.index_version = sub.index_version;
    job.call.body_json = batch.query_json;
    job.request_id = batch.request_id;
    job.entry_attempt = sub.attempt;
    job.deadline = now + timeout;
    // The callback ends the span. It is a `std::function`, which must be
    // copyable, so it shares the span.
    const auto span = std::make_shared<SpanTimer>(
        environment_.spans, "gate.sub_request", batch.request_id, parent);
    span->Set({"shard", sub.shard});
    job.parent = span->context();
    ++in_flight_;
    job.done = [this, link, span, attempt = sub.attempt,
                fingerprint = batch.fingerprint](TargetReply reply) {
      span->Set({"outcome", ToString(reply.outcome)});
      span->End();
      if (reply.outcome == AttemptOutcome::kConnectionLost) {
        OnCrash(fingerprint);
      }
      link->Send(ToSubRequestReply(attempt, std::move(reply)));
      --in_flight_;
    };
    runner->Submit(std::move(job));
  }
}

void GateService::OnCrash(uint64_t fingerprint) {
  bool is_new = false;
  {
    const absl::MutexLock lock(&mutex_);
    if (crashes_.size() > kMaxCrashRecords) crashes_.clear();
    if (++crashes_[fingerprint] >= kCrashesBeforeQuarantine) {
      crashes_.erase(fingerprint);
      is_new = quarantine_.Add(fingerprint, environment_.clock.Now());
    }
  }
  if (is_new) environment_.on_quarantine();
}

void GateService::OnCancel(const CancelAttempts& cancel) {
  std::vector<RunnerPtr> runners;
  {
    const absl::MutexLock lock(&mutex_);
    for (const auto& [target, runner] : runners_) runners.push_back(runner);
  }
  for (const AttemptId& attempt : cancel.attempts) {
    for (const RunnerPtr& runner : runners) runner->Cancel(attempt);
  }
}

void GateService::CancelLoop() {
  while (true) {
    CancelAttempts cancel;
    {
      const absl::MutexLock lock(&mutex_);
      while (pending_cancels_.empty() && !stopping_)
        pending_cancels_changed_.Wait(&mutex_);
      if (stopping_) return;
      cancel = std::move(pending_cancels_.front());
      pending_cancels_.erase(pending_cancels_.begin());
    }
    OnCancel(cancel);
  }
}

void GateService::ProbeLoop() {
  absl::Time next = environment_.clock.Now();
  while (!stopping_) {
    if (environment_.clock.Now() < next) {
      absl::SleepFor(kProbePollInterval);
      continue;
    }
    next = environment_.clock.Now() + kProbePeriod;
    StopRetiredRunners();
    std::vector<std::pair<TargetId, RunnerPtr>> runners;
    {
      const absl::MutexLock lock(&mutex_);
      runners.assign(runners_.begin(), runners_.end());
    }
    for (const auto& [target, runner] : runners) {
      if (!stopping_ && environment_.leases.Holds(target)) runner->Probe();
    }
  }
}

TargetReports GateService::Reports() {
  std::vector<std::pair<TargetId, RunnerPtr>> runners;
  {
    const absl::MutexLock lock(&mutex_);
    runners.assign(runners_.begin(), runners_.end());
  }
  TargetReports reports;
  for (const auto& [target, runner] : runners) {
    TargetReport report = runner->Report();
    if (!environment_.leases.Holds(target) || draining_ || !in_service_) {
      report.phase = TargetPhase::kGone;
    }
    reports.reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace cherrydyke
