#pragma once

#include <functional>
#include <map>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"

namespace cherrydyke {

/// Runs the tasks that access control state on one thread, in the order in
/// which they are due.
///
///     ControlThread control(clock);
///     control.Post([&] { store.Apply(changes); });
///     control.Every(absl::Seconds(1), [&] { SendHeartbeats(); });
class ControlThread {
 public:
  using Task = std::function<void()>;

  explicit ControlThread(const Clock& clock);
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// Runs `task` after the tasks that are already due.
  void Post(Task task) { PostAfter(absl::ZeroDuration(), std::move(task)); }

  /// Runs `task` no earlier than `delay` from now.
  void PostAfter(absl::Duration delay, Task task);

  /// Runs `task` repeatedly until `Stop`: first after `period`, then `period`
  /// after the end of its previous run.
  void Every(absl::Duration period, Task task);

  /// Runs `task` on the thread and waits until it has finished. After `Stop`,
  /// returns without running it.
  void RunAndWait(const Task& task);

  /// Drops tasks that are not due yet and joins the thread. Idempotent.
  void Stop();

 private:
  void Run();
  bool HasDueTaskLocked(absl::Time now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Clock& clock_;
  absl::Mutex mutex_;
  std::multimap<absl::Time, Task> tasks_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  absl::CondVar tasks_changed_;
  std::thread thread_;
};

}  // namespace cherrydyke
