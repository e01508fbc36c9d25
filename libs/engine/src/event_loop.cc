#include "engine/event_loop.h"

#include <vector>

#include "boost/asio/io_context.hpp"
#include "boost/asio/post.hpp"
#include "boost/asio/signal_set.hpp"
#include "boost/asio/steady_timer.hpp"

namespace cherrydyke::engine {

struct EventLoop::Kernel {
  explicit Kernel(boost::asio::io_context& context) : timer(context) {}

  boost::asio::steady_timer timer;
  std::vector<std::unique_ptr<boost::asio::signal_set>> signals;
};

EventLoop::EventLoop(const Clock& clock)
    : clock_(clock),
      // One thread runs the loop, so Asio may leave out its own locking.
      context_(std::make_unique<boost::asio::io_context>(1)),
      kernel_(std::make_unique<Kernel>(*context_)) {}

EventLoop::~EventLoop() = default;

TimerId EventLoop::RunAt(absl::Time when, Task task) {
  const TimerId timer = ++last_timer_;
  timers_.emplace(std::make_pair(when, timer), std::move(task));
  due_.emplace(timer, when);
  if (when < armed_deadline_) Arm();
  return timer;
}

void EventLoop::Cancel(TimerId timer) {
  const auto found = due_.find(timer);
  if (found == due_.end()) return;
  timers_.erase({found->second, timer});
  due_.erase(found);
}

void EventLoop::Post(Task task) {
  boost::asio::post(*context_, std::move(task));
}

void EventLoop::OnSignal(int signal, Task task) {
  auto set = std::make_unique<boost::asio::signal_set>(*context_, signal);
  boost::asio::signal_set* const raw = set.get();
  kernel_->signals.push_back(std::move(set));
  // Each delivery needs a new wait.
  auto wait = std::make_shared<std::function<void()>>();
  *wait = [raw, task = std::move(task), wait] {
    raw->async_wait([task, wait](const boost::system::error_code& error, int) {
      if (error) return;
      task();
      (*wait)();
    });
  };
  (*wait)();
}

void EventLoop::Arm() {
  if (timers_.empty()) return;
  armed_deadline_ = timers_.begin()->first.first;
  const absl::Duration delay =
      std::max(armed_deadline_ - Now(), absl::ZeroDuration());
  kernel_->timer.expires_after(absl::ToChronoNanoseconds(delay));
  kernel_->timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    armed_deadline_ = absl::InfiniteFuture();
    RunDueTimers();
    if (armed_deadline_ == absl::InfiniteFuture()) Arm();
  });
}

void EventLoop::RunDueTimers() {
  const absl::Time now = Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto node = timers_.extract(timers_.begin());
    due_.erase(node.key().second);
    node.mapped()();
  }
}

void EventLoop::Run() {
  const auto work = boost::asio::make_work_guard(*context_);
  context_->run();
}

void EventLoop::Stop() { context_->stop(); }

}  // namespace cherrydyke::engine
