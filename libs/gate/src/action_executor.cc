#include "gate/action_executor.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {
namespace {

/// Delay before the retry of an action that is proved not to have run.
constexpr absl::Duration kActionRetryDelay = absl::Milliseconds(10);

bool IsRetriable(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kShed || outcome == AttemptOutcome::kCold ||
         outcome == AttemptOutcome::kUnreachable;
}

ActionReply ToActionReply(uint64_t call_id, const TicketStore::Ended& ended) {
  return {call_id, ended.outcome, ended.not_run, ended.result_json};
}

}  // namespace

ActionExecutor::ActionExecutor(HostId gate, Incarnation incarnation,
                               Environment environment,
                               absl::Duration max_attempt_duration)
    : environment_(std::move(environment)),
      max_attempt_duration_(max_attempt_duration),
      tickets_(std::move(gate), incarnation, {}) {}

void ActionExecutor::OnTicketRequest(const std::shared_ptr<Link>& link,
                                     const TicketRequest& request) {
  TicketReply reply;
  reply.call_id = request.call_id;
  reply.outcome = environment_.refusal_for(request.target);
  if (reply.outcome == AttemptOutcome::kDone) {
    const absl::MutexLock lock(&mutex_);
    const std::optional<Ticket> ticket = tickets_.Issue(
        {request.entry, request.key, request.target, request.shard},
        environment_.clock.Now());
    if (ticket) {
      reply.ticket = ticket->ToString();
      reply.expires_in_ms =
          absl::ToInt64Milliseconds(tickets_.ticket_lifetime());
    } else {
      reply.outcome = AttemptOutcome::kOverloaded;
    }
  }
  link->Send(reply);
}

void ActionExecutor::OnActionRequest(const std::shared_ptr<Link>& link,
                                     const ActionRequest& request) {
  const Result<Ticket> parsed = Ticket::Parse(request.ticket);
  if (GetError(parsed) != nullptr) {
    link->Send(ActionReply{request.call_id, AttemptOutcome::kUnknownTicket,
                           false, ""});
    return;
  }
  const Ticket& ticket = GetValue(parsed);
  const absl::Time now = environment_.clock.Now();
  TicketStore::Admission admission;
  {
    const absl::MutexLock lock(&mutex_);
    admission = tickets_.Begin(ticket, request.entry, request.key, now);
    if (!std::holds_alternative<TicketStore::Ended>(admission)) {
      waiters_[ticket.sequence].push_back(
          [link, call_id = request.call_id](const TicketStore::Ended& ended) {
            link->Send(ToActionReply(call_id, ended));
          });
    }
  }
  if (const auto* ended = std::get_if<TicketStore::Ended>(&admission)) {
    link->Send(ToActionReply(request.call_id, *ended));
  } else if (const auto* run = std::get_if<TicketStore::Admitted>(&admission)) {
    ++in_flight_;
    const absl::Duration timeout =
        std::min(max_attempt_duration_, absl::Microseconds(request.timeout_us));
    RunAction(request, ticket, run->scope, now + timeout);
  }
}

void ActionExecutor::RunAction(const ActionRequest& request,
                               const Ticket& ticket,
                               const TicketStore::Scope& scope,
                               absl::Time deadline) {
  const AttemptOutcome refusal = environment_.refusal_for(scope.target);
  const std::shared_ptr<TargetRunner> runner =
      environment_.find_runner(scope.target);
  if (refusal != AttemptOutcome::kDone || runner == nullptr) {
    // Only this gate incarnation may run the action of the ticket. Ending the
    // ticket here proves that the action did not run and never will.
    EndAction(ticket,
              {refusal == AttemptOutcome::kDone ? AttemptOutcome::kNotLeased
                                                : refusal,
               true, ""});
    return;
  }
  TargetJob job;
  job.kind = TargetJob::Kind::kAction;
  job.call.shard = scope.shard;
  job.call.body_json = request.payload_json;
  job.call.ticket = request.ticket;
  job.request_id = request.request_id;
  job.entry_attempt = environment_.next_attempt();
  job.deadline = deadline;
  job.parent = ParseTraceparent(request.traceparent);
  job.done = [this, request, ticket, scope,
              deadline](const TargetReply& reply) {
    OnActionReply(request, ticket, scope, deadline, reply);
  };
  runner->Submit(std::move(job));
}

void ActionExecutor::OnActionReply(const ActionRequest& request,
                                   const Ticket& ticket,
                                   const TicketStore::Scope& scope,
                                   absl::Time deadline,
                                   const TargetReply& reply) {
  const bool may_retry =
      reply.not_run && IsRetriable(reply.outcome) && !draining_ &&
      environment_.clock.Now() + kActionRetryDelay < deadline;
  if (may_retry) {
    environment_.run_later(kActionRetryDelay,
                           [this, request, ticket, scope, deadline] {
                             RunAction(request, ticket, scope, deadline);
                           });
    return;
  }
  TicketStore::Ended ended;
  if (reply.outcome == AttemptOutcome::kDone) {
    ended = {AttemptOutcome::kDone, false, reply.result_json};
  } else if (reply.not_run) {
    ended = {reply.outcome, true, ""};
  } else {
    ended = {AttemptOutcome::kOutcomeUnknown, false, ""};
  }
  EndAction(ticket, ended);
}

void ActionExecutor::EndAction(const Ticket& ticket,
                               const TicketStore::Ended& ended) {
  std::vector<Waiter> waiters;
  {
    const absl::MutexLock lock(&mutex_);
    tickets_.End(ticket, ended);
    waiters.swap(waiters_[ticket.sequence]);
    waiters_.erase(ticket.sequence);
  }
  for (const Waiter& waiter : waiters) waiter(ended);
  --in_flight_;
}

}  // namespace cherrydyke
