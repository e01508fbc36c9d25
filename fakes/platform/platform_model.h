#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "adapters/http_server.h"
#include "base/ids.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {

/// Model of the platform: a configuration service and a host list, both read by
/// long polls, with fault injection. Thread-safe.
class PlatformModel {
 public:
  /// Long poll for the configuration.
  /// @param request has `since`, a revision, and `wait_ms`, the time to wait
  /// for a newer one.
  /// @return the changes after `since`.
  HttpResponse GetConfig(const HttpRequest& request);
  /// Long poll for the host list, with the parameters of `GetConfig`.
  /// @return the full list.
  HttpResponse GetHosts(const HttpRequest& request);

  /// Publishes changes, `{"KEY": VALUE | null, ...}`; each change gets its own
  /// revision.
  HttpResponse PublishConfig(const HttpRequest& request);
  /// Replaces the host list, `{"hosts": [...]}`.
  HttpResponse PublishHosts(const HttpRequest& request);
  /// Sets faults: `down` closes connections without a response, `stale` serves
  /// the state as of now until it is reset, `delay_ms` delays each poll.
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse Stats();

  /// Ends pending long polls.
  void Stop();

 private:
  using Json = nlohmann::json;

  struct State {
    Revision revision = 0;
    /// By key: `{"key", "revision", "value"}`.
    std::map<std::string, Json> values;
    Revision hosts_revision = 0;
    Json hosts = Json::array();
  };

  const State& VisibleState() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return stale_ ? stale_state_ : state_;
  }
  void RecordCall() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// Counts the call and applies `delay_ms`.
  /// @return false if the connection has to be closed without a response.
  bool BeginCall();
  void Publish(const Json& changes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  absl::Mutex mutex_;
  absl::CondVar changed_;
  State state_ ABSL_GUARDED_BY(mutex_);
  State stale_state_ ABSL_GUARDED_BY(mutex_);
  bool stale_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::atomic<bool> down_{false};
  std::atomic<int> delay_ms_{0};
  uint64_t call_count_ ABSL_GUARDED_BY(mutex_) = 0;
  size_t max_calls_per_s_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<absl::Time> recent_call_times_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
