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

/// Gets tickets from gates and hands actions to the gate that a ticket names.
/// Thread-safe.
class ActionService {
 public:
  ActionService(TargetDirectory& directory, GateLinks& links,
                AdmissionController& desk, const ReplicaPicker& picker)
      : directory_(directory),
        links_(links),
        desk_(desk),
        picker_(picker),
        random_(NewIncarnation()) {}

  struct IssuedTicket {
    std::string ticket;
    int64_t expires_in_ms = 0;
  };

  /// Issues a ticket at the home gate of a replica that holds the key.
  std::variant<IssuedTicket, Refusal> IssueTicket(const TicketCall& call,
                                                  const Catalogue& catalogue);

  /// Runs the action or gives the outcome of its earlier run.
  /// @return the result, JSON text, or a refusal that says "not run" only on
  /// the word of the ticket's executor.
  std::variant<std::string, Refusal> Run(const ActionCall& call,
                                         const Catalogue& catalogue,
                                         const std::string& request_id,
                                         const SpanContext& parent);

 private:
  std::vector<ReplicaView> Candidates(const Shard& shard) const;
  size_t Pick(const std::vector<ReplicaView>& candidates);

  TargetDirectory& directory_;
  GateLinks& links_;
  AdmissionController& desk_;
  const ReplicaPicker& picker_;
  absl::Mutex mutex_;
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
