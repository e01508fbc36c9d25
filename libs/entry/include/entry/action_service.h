#pragma once

#include <memory>
#include <random>
#include <string>
#include <variant>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "adapters/caller_json.h"
#include "base/clock.h"
#include "catalogue/config_store.h"
#include "entry/admission_controller.h"
#include "entry/gate_links.h"
#include "entry/refusal.h"
#include "entry/target_directory.h"
#include "telemetry/span.h"

namespace cherrydyke {

/// Requests tickets from gates, and sends actions to the gate that issued their
/// ticket. Thread-safe.
class ActionService {
 public:
  ActionService(TargetDirectory& directory, GateLinks& links,
                AdmissionController& admission, const ReplicaPicker& picker)
      : directory_(directory),
        links_(links),
        admission_(admission),
        picker_(picker),
        random_(NewIncarnation()) {}

  struct IssuedTicket {
    std::string ticket;
    int64_t expires_in_ms = 0;
  };

  /// Has a ticket issued by the gate assigned to a replica of the key's shard.
  /// Tries the reachable replicas one after another.
  std::variant<IssuedTicket, Refusal> IssueTicket(const TicketCall& call,
                                                  const Catalogue& catalogue);

  /// Runs the action, or reads the outcome of its earlier run with the same
  /// ticket.
  /// @return the result as JSON text, or a refusal. For a well-formed ticket
  /// the refusal states "not run" only if the gate that issued the ticket has
  /// confirmed it.
  std::variant<std::string, Refusal> Run(const ActionCall& call,
                                         const Catalogue& catalogue,
                                         const std::string& request_id,
                                         const SpanContext& parent);

 private:
  std::vector<ReplicaView> Candidates(const Shard& shard) const;
  size_t Pick(const std::vector<ReplicaView>& candidates);

  TargetDirectory& directory_;
  GateLinks& links_;
  AdmissionController& admission_;
  const ReplicaPicker& picker_;
  absl::Mutex mutex_;
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
