#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <variant>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "adapters/caller_json.h"
#include "base/clock.h"
#include "catalogue/config_store.h"
#include "entry/admission_controller.h"
#include "entry/gate_links.h"
#include "entry/refusal.h"
#include "entry/target_directory.h"
#include "hosting/settings.h"
#include "routing/latency_estimator.h"
#include "telemetry/metrics.h"
#include "telemetry/span.h"

namespace cherrydyke {

/// Remembers fingerprints of queries that ran well, which need no canary.
class KnownGoodQueries {
 public:
  explicit KnownGoodQueries(size_t capacity) : capacity_(capacity) {}
  bool Contains(uint64_t fingerprint) const;
  void Add(uint64_t fingerprint);
  void Remove(uint64_t fingerprint);

 private:
  const size_t capacity_;
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<uint64_t, bool> known_ ABSL_GUARDED_BY(mutex_);
};

/// Runs callers' queries: fixes the snapshot, fans out, merges, and states the
/// coverage. Thread-safe; each query runs on its caller's thread.
class QueryService {
 public:
  struct Environment {
    const Clock& clock;
    TargetDirectory& directory;
    GateLinks& links;
    AdmissionController& desk;
    SpanStore& spans;
    Metrics& metrics;
    /// @return an attempt id never used before.
    std::function<AttemptId()> next_attempt;
    /// Told when a fingerprint was quarantined here.
    std::function<void()> on_quarantine;
  };

  QueryService(const RoutingSettings& settings, Environment environment);
  ~QueryService();

  struct Context {
    std::string request_id;
    SpanContext parent;
  };

  /// @param catalogue the configuration in force when the query came.
  std::variant<QueryResult, Refusal> Run(const QueryCall& call,
                                         const Catalogue& catalogue,
                                         const Context& context);

 private:
  struct Attempt;

  std::variant<QueryResult, Refusal> RunAdmitted(const QueryCall& call,
                                                 const Entry& entry,
                                                 const Service& service,
                                                 uint64_t fingerprint,
                                                 const Context& context);
  QueryResult RunOnce(const Attempt& attempt);
  void Perform(const QueryActions& actions, const Attempt& attempt,
               const std::shared_ptr<SubAnswerQueue>& box, absl::Time now);
  LatencyEstimator& HedgeLatency(const ServiceName& service);
  void Record(const Entry& entry, const QueryResult& result,
              absl::Duration latency);

  const RoutingSettings settings_;
  const Environment environment_;
  std::unique_ptr<ReplicaPicker> picker_;
  RatioBudget hedge_budget_;
  RatioBudget retry_budget_;
  KnownGoodQueries known_good_;
  std::atomic<uint64_t> seed_;
  absl::Mutex mutex_;
  std::map<ServiceName, std::unique_ptr<LatencyEstimator>> hedge_latency_
      ABSL_GUARDED_BY(mutex_);
};

/// @return the entry if the catalogue has it for `kind`, else the refusal.
std::variant<Entry, Refusal> FindEntry(const Catalogue& catalogue,
                                       const EntryName& name, EntryKind kind);

}  // namespace cherrydyke
