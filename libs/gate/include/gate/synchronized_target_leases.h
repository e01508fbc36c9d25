#pragma once

#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "shares/target_leases.h"

namespace cherrydyke {

/// Thread-safe `TargetLeases`. The control thread updates the leases; worker
/// threads check them immediately before they send a request.
class SynchronizedTargetLeases {
 public:
  SynchronizedTargetLeases(HostId self, FailureDomainName failure_domain,
                           const Clock& clock)
      : clock_(clock),
        leases_(std::move(self), std::move(failure_domain), {}) {}

  /// Calls `change(TargetLeases&, absl::Time now)` and then acquires the leases
  /// whose conditions are met.
  /// @return the targets of the leases acquired.
  template <typename Change>
  std::vector<TargetId> Update(const Change& change) {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = clock_.Now();
    change(leases_, now);
    return leases_.AcquireReady(now);
  }

  bool TryBegin(const TargetId& target) {
    const absl::MutexLock lock(&mutex_);
    return leases_.TryBegin(target, clock_.Now());
  }

  void End(const TargetId& target) {
    const absl::MutexLock lock(&mutex_);
    leases_.End(target);
  }

  bool Holds(const TargetId& target) const {
    const absl::MutexLock lock(&mutex_);
    return leases_.Holds(target, clock_.Now());
  }

  bool Fenced() const {
    const absl::MutexLock lock(&mutex_);
    return leases_.Fenced(clock_.Now());
  }

  Revision settled_revision() const {
    const absl::MutexLock lock(&mutex_);
    return leases_.settled_revision();
  }

  std::vector<TargetId> AssignedTargets() const {
    const absl::MutexLock lock(&mutex_);
    return leases_.AssignedTargets();
  }

 private:
  const Clock& clock_;
  mutable absl::Mutex mutex_;
  TargetLeases leases_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
