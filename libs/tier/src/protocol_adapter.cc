#include "tier/protocol_adapter.h"

namespace cherrydyke {

std::string RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kMalformed:
      return "malformed";
    case RefusalReason::kNoConfiguration:
      return "no_configuration";
    case RefusalReason::kNoRoute:
      return "no_route";
    case RefusalReason::kStaleConfiguration:
      return "stale_configuration";
    case RefusalReason::kQuarantined:
      return "quarantined";
    case RefusalReason::kNoTarget:
      return "no_target";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kTargetsBackedOff:
      return "targets_closed";
    case RefusalReason::kTargetsFailed:
      return "targets_failed";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kMemory:
      return "memory";
    case RefusalReason::kShutdown:
      return "shutdown";
  }
  return "unknown";
}

}  // namespace cherrydyke
