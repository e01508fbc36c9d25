#include "dispatch/request_run.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace cherrydyke {
namespace {

/// Kept free between the expected answer of a last hedge and the time at which
/// the request is answered.
constexpr absl::Duration kLastCallMargin = absl::Milliseconds(10);

}  // namespace

RequestRun::RequestRun(RequestPlan plan, TargetSelector& placement)
    : plan_(std::move(plan)),
      placement_(placement),
      parts_(plan_.services.size()) {}

RunActions RequestRun::Start(absl::Time now) {
  RunActions actions;
  for (size_t part = 0; part < parts_.size(); ++part) {
    if (!Send(part, std::nullopt, now, actions)) GiveUp(parts_[part]);
  }
  if (parts_.size() - given_up_ < plan_.min_parts) {
    // Nothing of this has left the process yet.
    actions.send.clear();
    maybe_run_ = 0;
    Conclude(RequestOutcome::kNotRun, actions);
    return actions;
  }
  Settle(now, actions);
  return actions;
}

bool RequestRun::Send(size_t index, std::optional<RetryPriority> extra,
                      absl::Time now, RunActions& actions) {
  Part& part = parts_[index];
  SelectionCriteria need;
  need.service = plan_.services[index];
  need.exclude = &part.tried;
  need.allowed_regions = &plan_.allowed_regions;
  need.retry_priority = extra;
  need.is_last_chance = extra == RetryPriority::kRequired && part.running == 0;
  need.answer_needed_by = plan_.deadline;
  const std::optional<SelectedTarget> placed = placement_.Select(need, now);
  if (!placed) return false;
  const size_t attempt = attempts_.size();
  attempts_.push_back({index, placed->target, true});
  part.tried.push_back(placed->target);
  ++part.running;
  ++part.counted;
  ++part.arrivals;
  ++maybe_run_;
  CHERRYDYKE_INVARIANT(plan_.idempotent || maybe_run_ <= 1,
                       "a request that is not idempotent was sent twice");
  part.overdue_at = OverdueAt(*placed, now);
  actions.send.push_back({attempt, index, placed->target});
  return true;
}

absl::Time RequestRun::OverdueAt(const SelectedTarget& placed,
                                 absl::Time now) const {
  const absl::Time overdue = now + placed.overdue_after;
  if (placed.next_best_latency == absl::InfiniteDuration()) return overdue;
  // The last moment at which another target can still answer in time, unless
  // this one is not even expected to have answered by then.
  const absl::Time last_call =
      plan_.answer_at - placed.next_best_latency - kLastCallMargin;
  return last_call < now + placed.expected_latency
             ? overdue
             : std::min(overdue, last_call);
}

bool RequestRun::MayHedge(const Part& part) const {
  return plan_.hedges && plan_.idempotent && part.counted < plan_.max_attempts;
}

RetryPriority RequestRun::UseOf(size_t index) const {
  // Parts that can still be had without this one.
  size_t possible = 0;
  for (size_t part = 0; part < parts_.size(); ++part) {
    if (part != index && !parts_[part].given_up) ++possible;
  }
  return possible < plan_.min_parts ? RetryPriority::kRequired
                                    : RetryPriority::kOptional;
}

RunActions RequestRun::OnEnded(size_t attempt_index, AttemptResult end,
                               absl::Time now) {
  RunActions actions;
  Attempt& attempt = attempts_[attempt_index];
  if (done_ || !attempt.running) return actions;
  attempt.running = false;
  const size_t index = attempt.part;
  Part& part = parts_[index];
  --part.running;
  if (part.winner) return actions;
  switch (end) {
    case AttemptResult::kSuccess:
      part.winner = attempt_index;
      part.overdue_at = absl::InfiniteFuture();
      ++succeeded_;
      for (size_t other = 0; other < attempts_.size(); ++other) {
        if (attempts_[other].part != index || !attempts_[other].running) {
          continue;
        }
        attempts_[other].running = false;
        actions.cancel.push_back(other);
      }
      break;
    case AttemptResult::kNotSent:
      --part.arrivals;
      [[fallthrough]];
    case AttemptResult::kNotRun:
    case AttemptResult::kWrongTarget:
      --part.counted;
      --maybe_run_;
      Retry(index, now, actions);
      break;
    case AttemptResult::kFailure:
      part.failure = attempt_index;
      Retry(index, now, actions);
      break;
    case AttemptResult::kUnknown:
      Retry(index, now, actions);
      break;
  }
  Settle(now, actions);
  return actions;
}

void RequestRun::Retry(size_t index, absl::Time now, RunActions& actions) {
  Part& part = parts_[index];
  const bool proved_not_run = maybe_run_ == 0;
  const bool may_run_again =
      plan_.idempotent ? part.counted < plan_.max_attempts : proved_not_run;
  const std::optional<RetryPriority> extra =
      part.arrivals == 0 ? std::nullopt : std::make_optional(UseOf(index));
  if (may_run_again && now < plan_.deadline && part.running == 0 &&
      Send(index, extra, now, actions)) {
    return;
  }
  if (part.running == 0) GiveUp(part);
}

void RequestRun::GiveUp(Part& part) {
  part.given_up = true;
  part.overdue_at = absl::InfiniteFuture();
  ++given_up_;
}

RunActions RequestRun::OnTimer(absl::Time now) {
  RunActions actions;
  if (done_) return actions;
  if (now >= plan_.deadline) {
    const bool enough = succeeded_ >= plan_.min_parts;
    Conclude(enough            ? RequestOutcome::kAnswer
             : maybe_run_ == 0 ? RequestOutcome::kNotRun
                               : RequestOutcome::kTimedOut,
             actions);
    return actions;
  }
  for (size_t index = 0; index < parts_.size(); ++index) {
    Part& part = parts_[index];
    if (now < part.overdue_at) continue;
    part.overdue_at = absl::InfiniteFuture();
    for (size_t attempt = 0; attempt < attempts_.size(); ++attempt) {
      if (attempts_[attempt].part == index && attempts_[attempt].running) {
        actions.overdue.push_back(attempt);
      }
    }
    if (MayHedge(part)) Send(index, UseOf(index), now, actions);
  }
  Settle(now, actions);
  return actions;
}

void RequestRun::Settle(absl::Time now, RunActions& actions) {
  if (done_) return;
  const bool all_settled = succeeded_ + given_up_ == parts_.size();
  const bool enough = succeeded_ >= plan_.min_parts;
  if (enough && (all_settled || now >= plan_.answer_at)) {
    return Conclude(RequestOutcome::kAnswer, actions);
  }
  if (parts_.size() - given_up_ < plan_.min_parts) {
    Conclude(FailureKind(), actions);
  }
}

RequestOutcome RequestRun::FailureKind() const {
  if (maybe_run_ == 0) return RequestOutcome::kNotRun;
  if (!plan_.is_fanout && parts_.front().failure) {
    return RequestOutcome::kRelayFailure;
  }
  return RequestOutcome::kFailed;
}

void RequestRun::Conclude(RequestOutcome kind, RunActions& actions) {
  done_ = true;
  if (kind == RequestOutcome::kRelayFailure) {
    relayed_ = *parts_.front().failure;
  }
  for (size_t index = 0; index < attempts_.size(); ++index) {
    if (!attempts_[index].running) continue;
    attempts_[index].running = false;
    actions.cancel.push_back(index);
  }
  actions.outcome = kind;
}

RunActions RequestRun::Abort() {
  RunActions actions;
  if (!done_) Conclude(RequestOutcome::kFailed, actions);
  actions.outcome.reset();
  return actions;
}

absl::Time RequestRun::NextTimer() const {
  if (done_) return absl::InfiniteFuture();
  absl::Time next = plan_.deadline;
  // Before the answer time, an answer that lacks parts waits for them.
  if (succeeded_ >= plan_.min_parts) next = std::min(next, plan_.answer_at);
  for (const Part& part : parts_) next = std::min(next, part.overdue_at);
  return next;
}

std::vector<std::optional<size_t>> RequestRun::Winners() const {
  std::vector<std::optional<size_t>> winners;
  winners.reserve(parts_.size());
  for (const Part& part : parts_) winners.push_back(part.winner);
  return winners;
}

}  // namespace cherrydyke
