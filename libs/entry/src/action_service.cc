#include "entry/action_service.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "actions/ticket_store.h"
#include "entry/query_service.h"

namespace cherrydyke {
namespace {

constexpr absl::Duration kTicketTimeout = absl::Milliseconds(300);
/// Time to wait for the gate's reply after the deadline of the action.
constexpr absl::Duration kExecutorResponseGrace = absl::Milliseconds(200);
constexpr absl::Duration kRetryAfter = absl::Milliseconds(200);

const Shard* FindShard(const ShardMap& map, const std::string& key) {
  const auto found = std::find_if(
      map.shards.begin(), map.shards.end(),
      [&](const Shard& shard) { return shard.range.Contains(key); });
  return found == map.shards.end() ? nullptr : &*found;
}

Refusal ToRefusal(const ActionReply& reply) {
  const std::string reason = ToString(reply.outcome);
  if (reply.not_run) {
    return Refusal::NotRun(
        NotRunProof::TicketVoided(), 503, reason,
        "the action did not run and this ticket will not run it; get a new one",
        kRetryAfter);
  }
  switch (reply.outcome) {
    case AttemptOutcome::kUnknownTicket:
      return Refusal::Unknown(409, reason,
                              "ticket: its executor is gone or never knew it; "
                              "whether the action ran is not known");
    case AttemptOutcome::kLinkLost:
      return Refusal::Unknown(
          504, "executor_unreachable",
          "the ticket's executor did not answer; ask again with this ticket",
          kRetryAfter);
    default:
      return Refusal::Unknown(504, reason,
                              "the target gave no answer; whether the action "
                              "ran is not known");
  }
}

}  // namespace

std::vector<ReplicaView> ActionService::Candidates(const Shard& shard) const {
  std::vector<ReplicaView> candidates;
  for (const TargetId& target : shard.replicas) {
    ReplicaView view = directory_.View(target);
    if (view.reachable) candidates.push_back(std::move(view));
  }
  return candidates;
}

size_t ActionService::Pick(const std::vector<ReplicaView>& candidates) {
  const absl::MutexLock lock(&mutex_);
  return picker_.Pick(candidates, random_);
}

std::variant<ActionService::IssuedTicket, Refusal> ActionService::IssueTicket(
    const TicketCall& call, const Catalogue& catalogue) {
  const auto found = FindEntry(catalogue, call.entry, EntryKind::kAction);
  if (const auto* refusal = std::get_if<Refusal>(&found)) return *refusal;
  const Entry& entry = std::get<Entry>(found);
  const auto service = catalogue.services.find(entry.service);
  const Shard* shard = service == catalogue.services.end()
                           ? nullptr
                           : FindShard(service->second.shard_map, call.key);
  if (shard == nullptr) {
    return Refusal::NotRun(
        NotRunProof::NothingSent(), 503, "unknown_service",
        absl::StrCat("key: no shard of service ", entry.service, " holds it"),
        kRetryAfter);
  }
  std::vector<ReplicaView> candidates = Candidates(*shard);
  std::string reason = "no_replica";
  while (!candidates.empty()) {
    const size_t picked = Pick(candidates);
    const TargetId target = candidates[picked].target;
    candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(picked));
    TicketRequest request;
    request.entry = call.entry;
    request.key = call.key;
    request.target = target;
    request.shard = shard->id;
    const TicketReply reply = links_.RequestTicket(
        directory_.AssignedGate(target), std::move(request), kTicketTimeout);
    if (reply.outcome == AttemptOutcome::kDone) {
      return IssuedTicket{reply.ticket, reply.expires_in_ms};
    }
    reason = ToString(reply.outcome);
  }
  return Refusal::NotRun(NotRunProof::NothingSent(), 503, reason,
                         "no gate could issue a ticket for the key",
                         kRetryAfter);
}

std::variant<std::string, Refusal> ActionService::Run(
    const ActionCall& call, const Catalogue& catalogue,
    const std::string& request_id, const SpanContext& parent) {
  // Another request with the same ticket may be running. Therefore only the
  // gate that issued the ticket can prove that the action did not run.
  const Result<Ticket> ticket = Ticket::Parse(call.ticket);
  if (const Error* error = GetError(ticket)) {
    return Refusal::NotRun(NotRunProof::Malformed(), 400, "malformed_ticket",
                           error->message);
  }
  const auto found = FindEntry(catalogue, call.entry, EntryKind::kAction);
  if (const auto* refusal = std::get_if<Refusal>(&found)) {
    return Refusal::Unknown(refusal->status(), refusal->reason(),
                            refusal->message());
  }
  const Entry& entry = std::get<Entry>(found);
  const auto admitted = admission_.Admit(entry, entry.hard_deadline);
  if (const auto* denied =
          std::get_if<AdmissionController::Denied>(&admitted)) {
    return Refusal::Unknown(denied->status, denied->reason, denied->message,
                            denied->retry_after);
  }
  ActionRequest request;
  request.request_id = request_id;
  request.traceparent = parent.ToTraceparent();
  request.ticket = call.ticket;
  request.entry = call.entry;
  request.key = call.key;
  request.payload_json = call.payload_json;
  request.timeout_us = absl::ToInt64Microseconds(entry.hard_deadline);
  const ActionReply reply =
      links_.RunAction(GetValue(ticket).gate, std::move(request),
                       entry.hard_deadline + kExecutorResponseGrace);
  if (reply.outcome == AttemptOutcome::kDone) return reply.result_json;
  return ToRefusal(reply);
}

}  // namespace cherrydyke
