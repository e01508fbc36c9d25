#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"

namespace cherrydyke::review {

/// One run of a request on a target.
struct Run {
  std::string request_id;
  int64_t arrived_at_ms = 0;
};

/// Stand-in of one of the users' searchers: registers itself in the store, runs
/// as many requests at once as it has slots, and queues the others.
class Target {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 4;
    int64_t work_ms = 60;
    size_t response_bytes = 3000;
  };

  Target(const std::string& ip, Options options, Store& store, Record& record);

  const std::string& id() const { return options_.id; }
  const std::string& service() const { return options_.service; }
  std::string StoreKey() const { return "servers/" + options_.id; }
  /// Writes its entry to the store.
  void SendHeartbeat();
  /// Fails part of the requests from now on, after they have run.
  /// @param status status of these responses.
  /// @param every the numbers of the requests that fail are multiples of this.
  void FailRequests(int status, int every) {
    failure_status_ = status;
    fail_every_ = every;
  }
  /// Sends a second, late copy of part of the responses from now on, without
  /// the request's id.
  /// @param every the numbers of these requests are multiples of this.
  void RepeatResponses(int every) { repeat_every_ = every; }
  /// From now on, requests for a path crash the process when they begin to run;
  /// it is back under the same id after the given time.
  void CrashOn(const std::string& path, int64_t back_after_ms);
  /// @return all runs so far.
  std::vector<Run> Runs() const;

 private:
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse RunRequest(const HttpRequest& request);
  bool CrashesOn(const std::string& path) const;
  void Crash();
  void AcquireSlot();
  void ReleaseSlot();

  const Options options_;
  Store& store_;
  Record& record_;
  std::atomic<int64_t> born_ms_;
  std::atomic<bool> is_down_{false};
  std::atomic<int> failure_status_{500};
  std::atomic<int> fail_every_{0};
  std::atomic<int> repeat_every_{0};
  std::atomic<int> sequence_{0};
  mutable std::mutex mutex_;
  std::string crash_path_;
  int64_t back_after_ms_ = 0;
  std::condition_variable slot_freed_;
  int running_ = 0;
  std::vector<Run> runs_;
  HttpServer server_;
};

/// Targets of a deployment and their heartbeats.
class Targets {
 public:
  Targets(std::string ip, Store& store, Record& record);

  /// Adds the targets of one service, one after the other in the given zones.
  void AddService(const std::string& service, int count,
                  const std::vector<std::string>& zones,
                  Target::Options options);
  /// Registers all targets and starts the heartbeats.
  void Start();
  /// Ends the heartbeats of a target.
  void StopHeartbeats(const std::string& id);
  std::vector<Target*> OfService(const std::string& service) const;
  /// @return the runs of all targets by request id.
  std::map<std::string, std::vector<Run>> RunsByRequest() const;

 private:
  void SendHeartbeats();

  const std::string ip_;
  Store& store_;
  Record& record_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::string> silent_;
};

}  // namespace cherrydyke::review
