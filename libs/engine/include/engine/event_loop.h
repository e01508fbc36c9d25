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

/// Names a timer until it has fired or was cancelled; 0 names none.
using TimerId = uint64_t;

/// Runs every socket, timer and task of a daemon on the thread that calls
/// `Run`. Not thread-safe but for `Post`.
///
/// Timers live in one ordered queue behind one kernel timer, which is set again
/// only for an earlier deadline: most requests end before any of theirs is due.
class EventLoop {
 public:
  using Task = std::function<void()>;

  explicit EventLoop(const Clock& clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  absl::Time Now() const { return clock_.Now(); }

  /// Runs `task` once, no earlier than `when`.
  TimerId RunAt(absl::Time when, Task task);
  TimerId RunAfter(absl::Duration delay, Task task) {
    return RunAt(Now() + delay, std::move(task));
  }
  /// Forgets a timer; one that has fired or is 0 is ignored.
  void Cancel(TimerId timer);

  /// Runs `task` after the handlers that are due now. Safe from any thread.
  void Post(Task task);

  /// Calls `task` for each signal of that number.
  void OnSignal(int signal, Task task);

  /// Serves until `Stop`.
  void Run();
  void Stop();

  boost::asio::io_context& context() { return *context_; }

 private:
  struct AsioState;
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

/// The timers of one object: those that are not due when the object goes are
/// dropped with it.
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
  /// Runs `task` every `period`, counted from its previous end.
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
