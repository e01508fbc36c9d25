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

/// Bounded set of the fingerprints of queries that all shards answered. Such
/// queries are sent without a canary. Thread-safe.
class KnownGoodQueries {
 public:
  explicit KnownGoodQueries(size_t capacity) : capacity_(capacity) {}
  bool Contains(uint64_t fingerprint) const;
  void Add(uint64_t fingerprint);
  void Remove(uint64_t fingerprint);

 private:
  const size_t capacity_;
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<uint64_t, bool> fingerprints_ ABSL_GUARDED_BY(mutex_);
};

/// Runs callers' queries: chooses the snapshot, fans out to the shards, merges
/// the hits and computes the coverage. Thread-safe. Each query runs on the
/// thread that calls `Run`.
class QueryService {
 public:
  struct Environment {
    const Clock& clock;
    TargetDirectory& directory;
    GateLinks& links;
    AdmissionController& admission;
    SpanStore& spans;
    Metrics& metrics;
    /// @return a unique attempt id.
    std::function<AttemptId()> next_attempt;
    /// Called after a fingerprint was added to the quarantine of this host.
    std::function<void()> on_quarantine;
  };

  QueryService(const RoutingSettings& settings, Environment environment);
  ~QueryService();

  struct Context {
    std::string request_id;
    SpanContext parent;
  };

  /// @param catalogue the configuration that was in effect when the query
  /// arrived.
  std::variant<QueryResult, Refusal> Run(const QueryCall& call,
                                         const Catalogue& catalogue,
                                         const Context& context);

 private:
  struct Execution;

  std::variant<QueryResult, Refusal> RunAdmitted(const QueryCall& call,
                                                 const Entry& entry,
                                                 const Service& service,
                                                 uint64_t fingerprint,
                                                 const Context& context);
  QueryResult RunOnce(const Execution& execution);
  /// Sends and cancels the attempts in `actions`.
  void ApplyActions(const QueryActions& actions, const Execution& execution,
                    const std::shared_ptr<SubRequestReplyQueue>& reply_queue,
                    absl::Time now);
  /// @return the estimator of the latency from which hedge delays are derived.
  LatencyEstimator& HedgeLatency(const ServiceName& service);
  void RecordMetrics(const Entry& entry, const QueryResult& result,
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

/// @return the entry, or a refusal if the catalogue has no entry of this name
/// and kind.
std::variant<Entry, Refusal> FindEntry(const Catalogue& catalogue,
                                       const EntryName& name, EntryKind kind);

}  // namespace cherrydyke
