#pragma once

#include <atomic>
#include <deque>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// Models the platform's load balancer: distributes requests round-robin over
/// the entries that were ready at a given time in the past. If none was ready,
/// all are used.
class Balancer {
 public:
  /// @param lag age of the readiness information in use; zero disables the
  ///     readiness checks and uses all entries.
  Balancer(std::vector<Endpoint> entries, absl::Duration lag);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// @return the entry for the next request. Thread-safe.
  Endpoint Next();

 private:
  /// Readiness of all entries at one time.
  struct Observation {
    absl::Time time;
    std::vector<bool> ready;
  };

  void Poll();

  const std::vector<Endpoint> entries_;
  const absl::Duration lag_;
  std::atomic<bool> stopping_{false};
  std::atomic<size_t> next_index_{0};
  absl::Mutex mutex_;
  std::deque<Observation> observations_ ABSL_GUARDED_BY(mutex_);
  std::thread poller_;
};

}  // namespace cherrydyke
