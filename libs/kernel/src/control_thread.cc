#include "kernel/control_thread.h"

#include <utility>

#include "absl/synchronization/notification.h"

namespace cherrydyke {

ControlThread::ControlThread(const Clock& clock)
    : clock_(clock), thread_([this] { Run(); }) {}

ControlThread::~ControlThread() { Stop(); }

void ControlThread::PostAfter(absl::Duration delay, Task task) {
  const absl::MutexLock lock(&mutex_);
  if (stopping_) return;
  tasks_.emplace(clock_.Now() + delay, std::move(task));
  tasks_changed_.Signal();
}

void ControlThread::Every(absl::Duration period, Task task) {
  PostAfter(period, [this, period, task = std::move(task)] {
    task();
    Every(period, task);
  });
}

void ControlThread::RunAndWait(const Task& task) {
  absl::Notification done;
  {
    const absl::MutexLock lock(&mutex_);
    if (!stopping_) {
      tasks_.emplace(clock_.Now(), [&] {
        task();
        done.Notify();
      });
      tasks_changed_.Signal();
    } else {
      done.Notify();
    }
  }
  done.WaitForNotification();
}

void ControlThread::Stop() {
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
    tasks_changed_.Signal();
  }
  if (thread_.joinable()) thread_.join();
}

bool ControlThread::HasDueTaskLocked(absl::Time now) const {
  return !tasks_.empty() && tasks_.begin()->first <= now;
}

void ControlThread::Run() {
  while (true) {
    Task task;
    {
      const absl::MutexLock lock(&mutex_);
      while (!HasDueTaskLocked(clock_.Now())) {
        if (stopping_) return;
        const absl::Duration wait = tasks_.empty()
                                        ? absl::Seconds(1)
                                        : tasks_.begin()->first - clock_.Now();
        tasks_changed_.WaitWithTimeout(&mutex_, wait);
      }
      task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
    }
    task();
  }
}

}  // namespace cherrydyke
