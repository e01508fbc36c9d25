#include "wire/messages.h"

namespace cherrydyke {

const char* ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kDone:
      return "done";
    case AttemptOutcome::kShed:
      return "shed";
    case AttemptOutcome::kCold:
      return "cold";
    case AttemptOutcome::kDraining:
      return "draining";
    case AttemptOutcome::kWrongVersion:
      return "wrong_version";
    case AttemptOutcome::kWrongShard:
      return "wrong_shard";
    case AttemptOutcome::kDeadlineExceeded:
      return "deadline";
    case AttemptOutcome::kNotLeased:
      return "not_held";
    case AttemptOutcome::kOverloaded:
      return "overloaded";
    case AttemptOutcome::kOutOfService:
      return "out_of_service";
    case AttemptOutcome::kConnectionLost:
      return "connection_lost";
    case AttemptOutcome::kUnresponsive:
      return "silent";
    case AttemptOutcome::kUnreachable:
      return "unreachable";
    case AttemptOutcome::kCancelled:
      return "cancelled";
    case AttemptOutcome::kInvalidResponse:
      return "invalid_answer";
    case AttemptOutcome::kQuarantined:
      return "quarantined";
    case AttemptOutcome::kUnknownTicket:
      return "unknown_ticket";
    case AttemptOutcome::kOutcomeUnknown:
      return "outcome_unknown";
    case AttemptOutcome::kTicketExpired:
      return "ticket_expired";
    case AttemptOutcome::kLinkLost:
      return "link_lost";
  }
  return "unknown";
}

const char* ToString(TargetPhase phase) {
  switch (phase) {
    case TargetPhase::kCold:
      return "cold";
    case TargetPhase::kWarming:
      return "warming";
    case TargetPhase::kWarm:
      return "warm";
    case TargetPhase::kDraining:
      return "draining";
    case TargetPhase::kGone:
      return "gone";
  }
  return "unknown";
}

}  // namespace cherrydyke
