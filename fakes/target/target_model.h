#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "adapters/http_server.h"
#include "base/ids.h"
#include "base/key_range.h"
#include "fakes/documents.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {

/// A searcher over generated documents. Enforces its concurrency limits, is
/// cold after a start until it has served `cold_successes` requests, and
/// injects faults that can be set while it runs. Thread-safe.
class TargetModel {
 public:
  /// @param id the target's identifier; also seeds its random numbers.
  /// @param settings `slots` (concurrency limit when warm), `cold_concurrency`
  /// (limit while cold), `cold_successes`, `service_ms` and `jitter_ms`
  /// (service time and the maximum random addition to it), `documents` (in the
  /// whole key space), and `shards` as an array of `{"shard", "range",
  /// "index_versions"}`.
  TargetModel(std::string id, const nlohmann::json& settings);

  /// Searches one shard. Responds with 429, 503 or 409 and an `error` if the
  /// request is rejected, is cancelled or exceeds its deadline.
  HttpResponse Search(const HttpRequest& request);
  /// Runs an action; it takes effect on admission, whether or not the response
  /// is sent.
  HttpResponse Act(const HttpRequest& request);
  /// Cancels the attempt named by `attempt_id` in the body.
  HttpResponse Cancel(const HttpRequest& request);
  HttpResponse Health(const HttpRequest& request);
  /// Sets faults; see docs/operations/fakes.md for each.
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse Stats();
  /// Ends the waits of requests that are held without a response.
  void Stop();

 private:
  using Json = nlohmann::json;

  struct HeldShard {
    KeyRange range;
    std::vector<IndexVersion> versions;
  };

  struct Faults {
    double extra_service_ms = 0;
    bool shed = false;
    bool drain = false;
    bool truncate = false;
    bool wrong_attempt_id = false;
    double response_delay_ms = 0;
    std::string crash_on_text;
    std::string drop_on_text;
    std::string reported_state;
  };

  /// Result of an admitted request.
  enum class ServeResult { kServed, kCancelled, kExpired };

  void ParseShards(const Json& shards) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Json ShardListJson() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  int ConcurrencyLimit() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void MarkCold() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// Reserves a slot. @return a rejection, or nothing if a slot was reserved.
  std::optional<HttpResponse> Admit() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// Checks the shard, range and index version that the request names.
  /// @return the shard's current range, or a rejection.
  std::variant<KeyRange, HttpResponse> CheckShard(
      const HttpRequest& request) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void CrashIfRequested(const std::string& body);
  /// @return whether requests on the peer's connection get no response.
  bool RecordPeerAndCheckUnresponsive(const std::string& peer);
  void WaitWithoutResponding();
  /// Waits for the service time and releases the slot.
  ServeResult Serve(const HttpRequest& request, absl::Time arrival_time);
  absl::Duration ServiceTime() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Json SearchResponseBody(const HttpRequest& request, const KeyRange& range);

  const std::string id_;
  std::string incarnation_;
  int slots_;
  int cold_concurrency_;
  int successes_until_warm_;
  double service_ms_;
  double jitter_ms_;
  int documents_;

  absl::Mutex mutex_;
  absl::CondVar changed_;
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  std::map<ShardId, HeldShard> shards_ ABSL_GUARDED_BY(mutex_);
  Faults faults_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool cold_ ABSL_GUARDED_BY(mutex_) = true;
  int cold_success_count_ ABSL_GUARDED_BY(mutex_) = 0;
  int in_flight_ ABSL_GUARDED_BY(mutex_) = 0;
  int max_in_flight_ ABSL_GUARDED_BY(mutex_) = 0;
  std::set<std::string> cancelled_attempts_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> peers_seen_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> unresponsive_peers_ ABSL_GUARDED_BY(mutex_);

  int64_t arrival_count_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t served_count_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t cold_rejections_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t slot_rejections_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t draining_rejections_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t cancel_count_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t cold_reset_count_ ABSL_GUARDED_BY(mutex_) = 0;
  double last_cold_duration_ms_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time cold_start_ ABSL_GUARDED_BY(mutex_);
  absl::Time last_arrival_time_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int> runs_by_ticket_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int> runs_by_payload_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
