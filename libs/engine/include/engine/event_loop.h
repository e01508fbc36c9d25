#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "absl/time/time.h"
#include "base/clock.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace cherrydyke::engine {

/// Identifies a timer until it has fired or was cancelled; 0 is no timer.
using TimerId = uint64_t;

/// Runs the handlers of all sockets, timers and tasks of a daemon on the thread
/// that calls `Run`. Only `Post` is thread-safe.
///
/// All timers share one ordered queue and one Asio timer, which is rearmed only
/// for an earlier deadline: most requests end before any of their timers fires.
class EventLoop {
 public:
  using Task = std::function<void()>;

  explicit EventLoop(const Clock& clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  absl::Time Now() const { return clock_.Now(); }

  /// Runs `task` once, no earlier than `when`.
  /// @return the timer, for `Cancel`.
  TimerId RunAt(absl::Time when, Task task);
  TimerId RunAfter(absl::Duration delay, Task task) {
    return RunAt(Now() + delay, std::move(task));
  }
  /// Cancels a timer. Has no effect if it has fired or is 0.
  void Cancel(TimerId timer);

  /// Queues `task` behind the handlers that are ready. Thread-safe.
  void Post(Task task);

  /// Runs `task` each time the process receives `signal`.
  void OnSignal(int signal, Task task);

  /// Runs handlers until `Stop` is called.
  void Run();
  void Stop();

  boost::asio::io_context& context() { return *context_; }

 private:
  struct AsioState;
  /// Sets the Asio timer to the earliest deadline.
  void ArmTimer();
  void RunDueTimers();

  const Clock& clock_;
  std::unique_ptr<boost::asio::io_context> context_;
  std::unique_ptr<AsioState> asio_state_;
  std::map<std::pair<absl::Time, TimerId>, Task> timers_;
  std::map<TimerId, absl::Time> deadlines_;
  TimerId last_timer_id_ = 0;
  absl::Time armed_deadline_ = absl::InfiniteFuture();
};

/// Timers and tasks of one object. Those that have not run when the scope is
/// destroyed are dropped.
class TimerScope {
 public:
  explicit TimerScope(EventLoop& loop) : loop_(loop) {}
  ~TimerScope() { *alive_ = false; }
  TimerScope(const TimerScope&) = delete;
  TimerScope& operator=(const TimerScope&) = delete;

  TimerId RunAt(absl::Time when, EventLoop::Task task) {
    return loop_.RunAt(when, Guard(std::move(task)));
  }
  TimerId RunAfter(absl::Duration delay, EventLoop::Task task) {
    return loop_.RunAfter(delay, Guard(std::move(task)));
  }
  /// Runs `task` repeatedly, `period` after the end of its previous run.
  void Every(absl::Duration period, EventLoop::Task task) {
    RunAfter(period, [this, period, task = std::move(task)] {
      task();
      Every(period, task);
    });
  }
  void Post(EventLoop::Task task) { loop_.Post(Guard(std::move(task))); }

 private:
  EventLoop::Task Guard(EventLoop::Task task) const {
    return [alive = alive_, task = std::move(task)] {
      if (*alive) task();
    };
  }

  EventLoop& loop_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cherrydyke::engine
