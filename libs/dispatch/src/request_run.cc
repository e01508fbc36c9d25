#include "dispatch/request_run.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace cherrydyke {
namespace {

/// Margin between the expected answer of the latest possible hedge and the time
/// at which the request is answered.
constexpr absl::Duration kLateHedgeMargin = absl::Milliseconds(10);

}  // namespace

RequestRun::RequestRun(RequestPlan plan, TargetSelector& target_selector)
    : plan_(std::move(plan)),
      target_selector_(target_selector),
      parts_(plan_.services.size()) {
  for (size_t index = 0; index < parts_.size(); ++index) {
    const auto found = plan_.tried.find(plan_.services[index]);
    if (found == plan_.tried.end()) continue;
    Part& part = parts_[index];
    part.tried = found->second;
    part.executions = static_cast<int>(part.tried.size());
    part.arrivals = part.executions;
    maybe_run_ += part.tried.size();
  }
  tried_before_ = maybe_run_;
}

RunActions RequestRun::Start(absl::Time now) {
  RunActions actions;
  for (size_t part = 0; part < parts_.size(); ++part) {
    if (!SendFirst(part, now, actions)) MarkFailed(parts_[part]);
  }
  if (parts_.size() - failed_parts_ < plan_.min_parts) {
    // None of these sends has been made yet.
    actions.send.clear();
    for (Attempt& attempt : attempts_) attempt.may_have_run = false;
    maybe_run_ = tried_before_;
    Finish(maybe_run_ == 0 ? RequestOutcome::kNotRun : RequestOutcome::kFailed,
           actions);
    return actions;
  }
  CheckCompletion(now, actions);
  return actions;
}

bool RequestRun::SendFirst(size_t index, absl::Time now, RunActions& actions) {
  const Part& part = parts_[index];
  const bool may_run =
      plan_.idempotent ? part.executions < plan_.max_attempts : maybe_run_ == 0;
  if (!may_run) return false;
  // A part that was sent before the request was handed over is an extra send.
  return Send(index,
              part.arrivals == 0 ? std::nullopt
                                 : std::make_optional(RetryPriority::kRequired),
              now, actions);
}

bool RequestRun::Send(size_t index, std::optional<RetryPriority> priority,
                      absl::Time now, RunActions& actions) {
  Part& part = parts_[index];
  SelectionCriteria criteria;
  criteria.service = plan_.services[index];
  criteria.exclude = &part.tried;
  criteria.regions = &plan_.regions;
  criteria.retry_priority = priority;
  criteria.is_last_chance =
      priority == RetryPriority::kRequired && part.running == 0;
  criteria.answer_needed_by = plan_.deadline;
  const std::optional<SelectedTarget> selected =
      target_selector_.Select(criteria, now);
  if (!selected) return false;
  const size_t attempt = attempts_.size();
  attempts_.push_back({index, selected->target, true});
  part.tried.push_back(selected->target);
  ++part.running;
  ++part.executions;
  ++part.arrivals;
  ++maybe_run_;
  CHERRYDYKE_INVARIANT(plan_.idempotent || maybe_run_ <= 1,
                       "a request that is not idempotent was sent twice");
  part.overdue_at = OverdueTime(*selected, now);
  actions.send.push_back({attempt, index, selected->target});
  return true;
}

absl::Time RequestRun::OverdueTime(const SelectedTarget& selected,
                                   absl::Time now) const {
  const absl::Time overdue = now + selected.overdue_after;
  if (selected.next_best_latency == absl::InfiniteDuration()) return overdue;
  // Hedge at the latest time at which the next best target can still answer in
  // time, unless this target is not expected to have answered by then.
  const absl::Time latest_hedge =
      plan_.answer_at - selected.next_best_latency - kLateHedgeMargin;
  return latest_hedge < now + selected.expected_latency
             ? overdue
             : std::min(overdue, latest_hedge);
}

bool RequestRun::MayHedge(const Part& part) const {
  return plan_.hedges && plan_.idempotent &&
         part.executions < plan_.max_attempts;
}

RetryPriority RequestRun::PriorityOf(size_t index) const {
  // Number of other parts that have not failed.
  size_t possible_parts = 0;
  for (size_t part = 0; part < parts_.size(); ++part) {
    if (part != index && !parts_[part].failed) ++possible_parts;
  }
  return possible_parts < plan_.min_parts ? RetryPriority::kRequired
                                          : RetryPriority::kOptional;
}

RunActions RequestRun::OnEnded(size_t attempt_index, AttemptResult result,
                               absl::Time now) {
  RunActions actions;
  Attempt& attempt = attempts_[attempt_index];
  if (done_ || !attempt.running) return actions;
  attempt.running = false;
  const size_t index = attempt.part;
  Part& part = parts_[index];
  --part.running;
  if (part.winner) return actions;
  switch (result) {
    case AttemptResult::kSuccess:
      part.winner = attempt_index;
      part.overdue_at = absl::InfiniteFuture();
      ++succeeded_parts_;
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
      attempt.may_have_run = false;
      --part.executions;
      --maybe_run_;
      Retry(index, now, actions);
      break;
    case AttemptResult::kMisleadingFailure:
      if (plan_.idempotent) part.failure = attempt_index;
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
  CheckCompletion(now, actions);
  return actions;
}

void RequestRun::Retry(size_t index, absl::Time now, RunActions& actions) {
  Part& part = parts_[index];
  const bool did_not_run = maybe_run_ == 0;
  const bool may_run_again =
      plan_.idempotent ? part.executions < plan_.max_attempts : did_not_run;
  const std::optional<RetryPriority> priority =
      part.arrivals == 0 ? std::nullopt : std::make_optional(PriorityOf(index));
  if (may_run_again && now < plan_.deadline && !IsAnswerDue(now) &&
      part.running == 0 && Send(index, priority, now, actions)) {
    return;
  }
  if (part.running == 0) MarkFailed(part);
}

void RequestRun::MarkFailed(Part& part) {
  part.failed = true;
  part.overdue_at = absl::InfiniteFuture();
  ++failed_parts_;
}

RunActions RequestRun::OnTimer(absl::Time now) {
  RunActions actions;
  if (done_) return actions;
  if (now >= plan_.deadline) {
    const bool enough = CanAnswer();
    Finish(enough            ? RequestOutcome::kAnswer
           : maybe_run_ == 0 ? RequestOutcome::kNotRun
                             : RequestOutcome::kTimedOut,
           actions);
    return actions;
  }
  std::vector<size_t> overdue_parts;
  for (size_t index = 0; index < parts_.size(); ++index) {
    Part& part = parts_[index];
    if (now < part.overdue_at) continue;
    part.overdue_at = absl::InfiniteFuture();
    for (size_t attempt = 0; attempt < attempts_.size(); ++attempt) {
      if (attempts_[attempt].part == index && attempts_[attempt].running) {
        actions.overdue.push_back(attempt);
      }
    }
    overdue_parts.push_back(index);
  }
  // A late timer may find hedges and the answer due at once.
  CheckCompletion(now, actions);
  if (done_) return actions;
  for (const size_t index : overdue_parts) {
    if (!MayHedge(parts_[index])) continue;
    Send(index, PriorityOf(index), now, actions);
  }
  return actions;
}

bool RequestRun::IsAnswerDue(absl::Time now) const {
  return CanAnswer() && now >= plan_.answer_at;
}

void RequestRun::CheckCompletion(absl::Time now, RunActions& actions) {
  if (done_) return;
  const bool all_parts_ended =
      succeeded_parts_ + failed_parts_ == parts_.size();
  if (IsAnswerDue(now) || (CanAnswer() && all_parts_ended)) {
    return Finish(RequestOutcome::kAnswer, actions);
  }
  if (parts_.size() - failed_parts_ < plan_.min_parts) {
    Finish(FailureOutcome(), actions);
  }
}

RequestOutcome RequestRun::FailureOutcome() const {
  if (maybe_run_ == 0) return RequestOutcome::kNotRun;
  if (!plan_.is_fanout && parts_.front().failure) {
    return RequestOutcome::kRelayFailure;
  }
  return RequestOutcome::kFailed;
}

void RequestRun::Finish(RequestOutcome outcome, RunActions& actions) {
  CHERRYDYKE_INVARIANT(actions.send.empty(),
                       "a request is sent in the step that ends it");
  done_ = true;
  if (outcome == RequestOutcome::kRelayFailure) {
    relayed_ = *parts_.front().failure;
  }
  for (size_t index = 0; index < attempts_.size(); ++index) {
    if (!attempts_[index].running) continue;
    attempts_[index].running = false;
    actions.cancel.push_back(index);
  }
  actions.outcome = outcome;
}

RunActions RequestRun::OnPathLost() {
  RunActions actions;
  if (done_ || !plan_.idempotent) return actions;
  Finish(CanAnswer() ? RequestOutcome::kAnswer : FailureOutcome(), actions);
  return actions;
}

void RequestRun::OnCancelledUnsent(size_t attempt_index) {
  Attempt& attempt = attempts_[attempt_index];
  if (!std::exchange(attempt.may_have_run, false)) return;
  --parts_[attempt.part].executions;
  --parts_[attempt.part].arrivals;
  --maybe_run_;
}

RunActions RequestRun::Abort() {
  RunActions actions;
  if (!done_) Finish(RequestOutcome::kFailed, actions);
  actions.outcome.reset();
  return actions;
}

absl::Time RequestRun::NextTimer() const {
  if (done_) return absl::InfiniteFuture();
  absl::Time next = plan_.deadline;
  // With enough parts, the request waits for the others only until `answer_at`.
  if (CanAnswer()) next = std::min(next, plan_.answer_at);
  for (const Part& part : parts_) next = std::min(next, part.overdue_at);
  return next;
}

TriedTargets RequestRun::Tried() const {
  TriedTargets tried = plan_.tried;
  for (const Attempt& attempt : attempts_) {
    if (!attempt.may_have_run) continue;
    tried[plan_.services[attempt.part]].push_back(attempt.target);
  }
  return tried;
}

std::vector<std::optional<size_t>> RequestRun::Winners() const {
  std::vector<std::optional<size_t>> winners;
  winners.reserve(parts_.size());
  for (const Part& part : parts_) winners.push_back(part.winner);
  return winners;
}

}  // namespace cherrydyke
