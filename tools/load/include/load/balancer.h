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

/// Chooses the entry for each request as the platform's balancer does: among
/// those that said that they are ready, as it was some time ago.
class Balancer {
 public:
  /// @param lag how old the balancer's knowledge is; zero for no checks at all.
  Balancer(std::vector<Endpoint> entries, absl::Duration lag);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// @return the next entry in turn.
  Endpoint Next();

 private:
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
