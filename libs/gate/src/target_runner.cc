#include "gate/target_runner.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "base/invariant.h"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

constexpr size_t kMaxQueuedJobs = 512;
/// Connections are not reused after this idle time, because a middlebox on the
/// path may have dropped their state.
constexpr absl::Duration kMaxIdleTime = absl::Seconds(2);
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(300);
constexpr absl::Duration kCancelTimeout = absl::Milliseconds(100);
/// After a response that the target is draining, health probes that report
/// `serving` are ignored for this time.
constexpr absl::Duration kDrainStateLifetime = absl::Seconds(5);
/// Polling interval of a worker that waits for a slot or a lease. A slot that
/// becomes free because a deadline passed wakes no thread.
constexpr absl::Duration kSlotPollInterval = absl::Milliseconds(2);
/// The response timeout on a reused connection is this multiple of the observed
/// 99th percentile of response times, and at least `kMinResponseTimeout`.
constexpr double kResponseTimeoutFactor = 3;
constexpr absl::Duration kMinResponseTimeout = absl::Milliseconds(150);
constexpr double kResponseTimeQuantile = 0.99;
constexpr int kResponseTimeWindowSize = 200;
constexpr absl::Duration kInitialResponseTime = absl::Milliseconds(50);
/// A request is not sent if less time than this is left until its deadline: it
/// would probably time out, which leaves the outcome of an action unknown.
constexpr absl::Duration kMinTimeForSearch = absl::Milliseconds(1);
constexpr absl::Duration kMinTimeForAction = absl::Milliseconds(50);
/// The gate waits for a response until this long after the deadline sent to the
/// target.
constexpr absl::Duration kResponseGrace = absl::Milliseconds(5);

TargetReply NotRun(AttemptOutcome outcome) {
  TargetReply reply;
  reply.outcome = outcome;
  reply.not_run = true;
  return reply;
}

}  // namespace

TargetRunner::TargetRunner(TargetId target, Endpoint endpoint,
                           TargetLimits limits, Environment environment)
    : target_(std::move(target)),
      endpoint_(std::move(endpoint)),
      environment_(std::move(environment)),
      response_time_(kResponseTimeQuantile, kResponseTimeWindowSize,
                     kInitialResponseTime),
      slots_(limits.slots),
      limiter_(limits, environment_.clock.Now()) {
  const absl::MutexLock lock(&mutex_);
  EnsureWorkers();
}

TargetRunner::~TargetRunner() { Stop(); }

void TargetRunner::EnsureWorkers() {
  while (static_cast<int>(workers_.size()) < slots_) {
    workers_.emplace_back([this] { RunWorker(); });
  }
}

void TargetRunner::Reject(TargetJob& job, AttemptOutcome outcome) {
  environment_.metrics
      .counter("cherrydyke_gate_refusals_total",
               absl::StrCat("reason=\"", ToString(outcome), "\""))
      .Add();
  job.done(NotRun(outcome));
}

void TargetRunner::Submit(TargetJob job) {
  AttemptOutcome refusal = AttemptOutcome::kDone;
  {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = environment_.clock.Now();
    const int limit = std::max(limiter_.Limit(), 1);
    const double queue_rounds = static_cast<double>(queue_.size()) / limit;
    const bool exceeds_deadline =
        now + limiter_.latency(now) * queue_rounds > job.deadline;
    if (stopping_ || leaving_ || limiter_.phase() == TargetPhase::kDraining) {
      refusal = AttemptOutcome::kDraining;
    } else if (exceeds_deadline || queue_.size() >= kMaxQueuedJobs) {
      refusal = AttemptOutcome::kOverloaded;
    } else {
      queue_.push_back(std::move(job));
      work_available_.Signal();
    }
  }
  if (refusal != AttemptOutcome::kDone) Reject(job, refusal);
}

void TargetRunner::Cancel(const AttemptId& entry_attempt) {
  AttemptId target_attempt;
  TargetJob queued_job;
  {
    const absl::MutexLock lock(&mutex_);
    const auto queued =
        std::find_if(queue_.begin(), queue_.end(), [&](const TargetJob& job) {
          return job.entry_attempt == entry_attempt;
        });
    if (queued != queue_.end()) {
      queued_job = std::move(*queued);
      queue_.erase(queued);
    } else if (const auto found = running_attempts_.find(entry_attempt);
               found != running_attempts_.end()) {
      target_attempt = found->second;
    }
  }
  if (queued_job.done) {
    queued_job.done(NotRun(AttemptOutcome::kCancelled));
  } else if (target_attempt.incarnation != 0) {
    environment_.protocol.Open(endpoint_, environment_.source_address)
        ->Cancel(target_attempt, kCancelTimeout);
  }
}

void TargetRunner::RunWorker() {
  TargetJob job;
  while (DequeueJob(job)) Run(std::move(job));
}

bool TargetRunner::PopExpiredFront(absl::Time now,
                                   std::vector<TargetJob>& expired) {
  if (queue_.empty()) return false;
  const TargetJob& front = queue_.front();
  const absl::Duration min_time = front.kind == TargetJob::Kind::kAction
                                      ? kMinTimeForAction
                                      : kMinTimeForSearch;
  if (front.deadline - now >= min_time) return false;
  expired.push_back(std::move(queue_.front()));
  queue_.pop_front();
  return true;
}

bool TargetRunner::DequeueJob(TargetJob& job) {
  std::vector<TargetJob> expired;
  bool found = false;
  {
    const absl::MutexLock lock(&mutex_);
    while (!found && expired.empty()) {
      if (queue_.empty()) {
        if (stopping_) return false;
        work_available_.Wait(&mutex_);
        continue;
      }
      const absl::Time now = environment_.clock.Now();
      if (PopExpiredFront(now, expired)) continue;
      // Connections are checked only when a slot is free, because a worker that
      // waits for a slot gets here every few milliseconds.
      const bool slot_free = limiter_.InFlight(now) < limiter_.Limit();
      if (slot_free) MarkColdIfConnectionClosed();
      if (!slot_free || !limiter_.TryStart(now)) {
        work_available_.WaitWithTimeout(&mutex_, kSlotPollInterval);
        continue;
      }
      if (!environment_.leases.TryBegin(target_)) {
        // There is no valid lease. Either this gate has not received a newer
        // host list yet, which takes milliseconds, or the target is assigned to
        // another gate.
        limiter_.Abandon();
        work_available_.WaitWithTimeout(&mutex_, kSlotPollInterval);
        continue;
      }
      job = std::move(queue_.front());
      queue_.pop_front();
      found = true;
    }
  }
  for (TargetJob& expired_job : expired)
    Reject(expired_job, AttemptOutcome::kDeadlineExceeded);
  return found || DequeueJob(job);
}

void TargetRunner::MarkColdIfConnectionClosed() {
  const absl::Time oldest = environment_.clock.Now() - kMaxIdleTime;
  idle_connections_.erase(
      std::remove_if(idle_connections_.begin(), idle_connections_.end(),
                     [oldest](const IdleConnection& idle) {
                       return idle.idle_since < oldest;
                     }),
      idle_connections_.end());
  const size_t previous_count = idle_connections_.size();
  idle_connections_.erase(
      std::remove_if(idle_connections_.begin(), idle_connections_.end(),
                     [](const IdleConnection& idle) {
                       return !idle.connection->IsOpen();
                     }),
      idle_connections_.end());
  bool is_broken = idle_connections_.size() < previous_count;
  // The probe connection shows restarts of targets that get few requests. While
  // a probe holds the mutex, the probe itself checks the connection.
  if (probe_mutex_.TryLock()) {
    is_broken = is_broken ||
                (probe_connection_ != nullptr && !probe_connection_->IsOpen());
    if (is_broken) probe_connection_ = nullptr;
    probe_mutex_.Unlock();
  }
  if (is_broken) limiter_.MarkCold();
}

std::unique_ptr<TargetConnection> TargetRunner::AcquireConnection(
    bool needs_new, bool& reused) {
  {
    const absl::MutexLock lock(&mutex_);
    ++busy_connections_;
    if (!needs_new && !idle_connections_.empty()) {
      std::unique_ptr<TargetConnection> connection =
          std::move(idle_connections_.back().connection);
      idle_connections_.pop_back();
      reused = true;
      return connection;
    }
  }
  reused = false;
  {
    // A new connection replaces an idle one, so that this gate never has more
    // connections to the target than the target has slots.
    const absl::MutexLock lock(&mutex_);
    TrimIdleConnections();
  }
  return environment_.protocol.Open(endpoint_, environment_.source_address);
}

TargetReply TargetRunner::Exchange(const TargetJob& job, TargetCall& call,
                                   absl::Duration left, bool& reused) {
  const bool is_action = job.kind == TargetJob::Kind::kAction;
  std::unique_ptr<TargetConnection> connection =
      AcquireConnection(job.needs_new_connection || is_action, reused);
  absl::Duration timeout = left + kResponseGrace;
  if (reused) {
    timeout = std::min(
        timeout, std::max(kMinResponseTimeout,
                          response_time_.Estimate() * kResponseTimeoutFactor));
  }
  TargetReply reply = is_action ? connection->Act(call, timeout)
                                : connection->Search(call, timeout);
  const bool usable = reply.outcome != AttemptOutcome::kUnresponsive &&
                      reply.outcome != AttemptOutcome::kConnectionLost &&
                      reply.outcome != AttemptOutcome::kUnreachable &&
                      reply.outcome != AttemptOutcome::kInvalidResponse;
  const absl::MutexLock lock(&mutex_);
  --busy_connections_;
  if (usable) {
    idle_connections_.push_back(
        {std::move(connection), environment_.clock.Now()});
    TrimIdleConnections();
  } else {
    // The cause probably affects the other idle connections as well.
    idle_connections_.clear();
  }
  return reply;
}

void TargetRunner::TrimIdleConnections() {
  while (!idle_connections_.empty() &&
         busy_connections_ + static_cast<int>(idle_connections_.size()) >
             slots_) {
    idle_connections_.erase(idle_connections_.begin());
  }
  CHERRYDYKE_INVARIANT(
      busy_connections_ + static_cast<int>(idle_connections_.size()) <=
          std::max(slots_, static_cast<int>(workers_.size())),
      "a gate has no more connections to a target than the target has slots");
}

void TargetRunner::Run(TargetJob job) {
  TargetCall call = job.call;
  call.attempt = environment_.next_attempt();
  SpanTimer span(environment_.spans, "target.attempt", job.request_id,
                 job.parent);
  call.traceparent = span.context().ToTraceparent();
  const absl::Time start = environment_.clock.Now();
  {
    const absl::MutexLock lock(&mutex_);
    running_attempts_[job.entry_attempt] = call.attempt;
  }
  const absl::Duration left = job.deadline - start;
  call.time_left = left;
  bool reused = false;
  TargetReply reply = Exchange(job, call, left, reused);
  const absl::Duration latency = environment_.clock.Now() - start;
  span.Set({"target", target_});
  span.Set({"attempt", call.attempt.ToString()});
  span.Set({"outcome", ToString(reply.outcome)});
  span.Set({"reused_connection", reused});
  if (reply.outcome != AttemptOutcome::kDone && IsLogged(LogLevel::kDebug)) {
    Fields fields = span.LogFields();
    fields.emplace_back("target", target_);
    fields.emplace_back("outcome", ToString(reply.outcome));
    LogDebug("attempt failed", fields);
  }
  span.End();
  RecordAttempt(job, reply, latency, reused);
  environment_.leases.End(target_);
  environment_.metrics
      .counter("cherrydyke_target_attempts_total",
               absl::StrCat("outcome=\"", ToString(reply.outcome), "\""))
      .Add();
  // A missing response on a reused connection may be due to the connection
  // rather than the target, so the query is retried once on a new connection.
  // The first attempt may still run at the target and keeps its slot.
  const bool retry = reply.outcome == AttemptOutcome::kUnresponsive && reused &&
                     job.kind == TargetJob::Kind::kSearch &&
                     environment_.clock.Now() < job.deadline;
  if (!retry) {
    job.done(std::move(reply));
    return;
  }
  environment_.metrics.counter("cherrydyke_silent_connections_total").Add();
  job.needs_new_connection = true;
  Submit(std::move(job));
}

void TargetRunner::RecordAttempt(const TargetJob& job, const TargetReply& reply,
                                 absl::Duration latency, bool reused) {
  const absl::Time now = environment_.clock.Now();
  const absl::MutexLock lock(&mutex_);
  running_attempts_.erase(job.entry_attempt);
  limiter_.Finish(reply.outcome, latency, job.deadline, now);
  switch (reply.outcome) {
    case AttemptOutcome::kDone:
      ++successes_;
      response_time_.Observe(latency);
      break;
    case AttemptOutcome::kDraining:
      drain_reported_at_ = now;
      limiter_.SetDraining(true);
      break;
    case AttemptOutcome::kWrongVersion:
      if (!reply.versions.empty()) index_versions_ = reply.versions;
      break;
    case AttemptOutcome::kUnresponsive:
      if (reused) response_time_.Observe(latency);
      break;
    default:
      break;
  }
  work_available_.SignalAll();
}

std::optional<TargetHealth> TargetRunner::ReadHealth(bool& is_broken) {
  const absl::MutexLock lock(&probe_mutex_);
  if (probe_connection_ == nullptr) {
    probe_connection_ =
        environment_.protocol.Open(endpoint_, environment_.source_address);
  } else {
    is_broken = !probe_connection_->IsOpen();
  }
  std::optional<TargetHealth> health = probe_connection_->Health(kProbeTimeout);
  if (!health) probe_connection_ = nullptr;
  return health;
}

void TargetRunner::Probe() {
  bool is_broken = false;
  const std::optional<TargetHealth> health = ReadHealth(is_broken);
  if (is_broken) MarkCold();
  if (!health) return;
  const absl::MutexLock lock(&mutex_);
  limiter_.OnIncarnation(health->incarnation);
  index_versions_ = health->versions;
  // Health reports are delayed and may be wrong. A report of `cold` is ignored
  // if a request succeeded since the last probe.
  const bool served = successes_ != successes_at_probe_;
  successes_at_probe_ = successes_;
  if (health->state == "cold" && !served) limiter_.MarkCold();
  const bool drain_state_expired =
      environment_.clock.Now() - drain_reported_at_ > kDrainStateLifetime;
  if (health->state == "serving" && drain_state_expired && !leaving_) {
    limiter_.SetDraining(false);
  }
}

void TargetRunner::SetLimits(const TargetLimits& limits) {
  const absl::MutexLock lock(&mutex_);
  slots_ = limits.slots;
  limiter_.SetLimits(limits);
  EnsureWorkers();
}

void TargetRunner::SetLeaving(bool leaving) {
  const absl::MutexLock lock(&mutex_);
  if (leaving_ == leaving) return;
  leaving_ = leaving;
  limiter_.SetDraining(leaving);
}

void TargetRunner::MarkCold() {
  const absl::MutexLock lock(&mutex_);
  limiter_.MarkCold();
}

TargetReport TargetRunner::Report() {
  const absl::MutexLock lock(&mutex_);
  const absl::Time now = environment_.clock.Now();
  TargetReport report;
  report.target = target_;
  report.phase = limiter_.phase();
  report.limit = limiter_.Limit();
  report.in_flight = limiter_.InFlight(now);
  report.queued = static_cast<int>(queue_.size());
  report.latency_us = absl::ToInt64Microseconds(limiter_.latency(now));
  report.versions = index_versions_;
  return report;
}

void TargetRunner::Stop() {
  std::deque<TargetJob> queued_jobs;
  std::vector<std::thread> workers;
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
    queued_jobs.swap(queue_);
    workers.swap(workers_);
    work_available_.SignalAll();
  }
  for (TargetJob& job : queued_jobs) Reject(job, AttemptOutcome::kDraining);
  for (std::thread& worker : workers) worker.join();
}

}  // namespace cherrydyke
