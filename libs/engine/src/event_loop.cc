#include "engine/event_loop.h"

#include <utility>
#include <vector>

#include "boost/asio/io_context.hpp"
#include "boost/asio/post.hpp"
#include "boost/asio/signal_set.hpp"
#include "boost/asio/steady_timer.hpp"

namespace cherrydyke::engine {

struct EventLoop::AsioState {
  explicit AsioState(boost::asio::io_context& context) : timer(context) {}

  boost::asio::steady_timer timer;
  std::vector<std::unique_ptr<boost::asio::signal_set>> signals;
};

EventLoop::EventLoop(const Clock& clock)
    : clock_(clock),
      // Concurrency hint 1: only one thread runs the loop, so Asio can omit
      // locks.
      context_(std::make_unique<boost::asio::io_context>(1)),
      asio_state_(std::make_unique<AsioState>(*context_)) {}

EventLoop::~EventLoop() {
  // Tasks and handlers may hold the last references to connections, which
  // cancel timers and use the context when they are destroyed.
  auto tasks = std::exchange(timers_, {});
  deadlines_.clear();
  tasks.clear();
  asio_state_.reset();
  context_.reset();
}

TimerId EventLoop::RunAt(absl::Time when, Task task) {
  const TimerId timer = ++last_timer_id_;
  timers_.emplace(std::make_pair(when, timer), std::move(task));
  deadlines_.emplace(timer, when);
  if (when < armed_deadline_) ArmTimer();
  return timer;
}

void EventLoop::Cancel(TimerId timer) {
  const auto found = deadlines_.find(timer);
  if (found == deadlines_.end()) return;
  timers_.erase({found->second, timer});
  deadlines_.erase(found);
}

void EventLoop::Post(Task task) {
  boost::asio::post(*context_, std::move(task));
}

void EventLoop::OnSignal(int signal, Task task) {
  auto set = std::make_unique<boost::asio::signal_set>(*context_, signal);
  boost::asio::signal_set* const raw = set.get();
  asio_state_->signals.push_back(std::move(set));
  // A wait completes for one signal only; start a new one after each.
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

void EventLoop::ArmTimer() {
  if (timers_.empty()) return;
  armed_deadline_ = timers_.begin()->first.first;
  const absl::Duration delay =
      std::max(armed_deadline_ - Now(), absl::ZeroDuration());
  asio_state_->timer.expires_after(absl::ToChronoNanoseconds(delay));
  asio_state_->timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    armed_deadline_ = absl::InfiniteFuture();
    RunDueTimers();
    if (armed_deadline_ == absl::InfiniteFuture()) ArmTimer();
  });
}

void EventLoop::RunDueTimers() {
  const absl::Time now = Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto node = timers_.extract(timers_.begin());
    deadlines_.erase(node.key().second);
    node.mapped()();
  }
}

void EventLoop::Run() {
  const auto work = boost::asio::make_work_guard(*context_);
  context_->run();
}

void EventLoop::Stop() { context_->stop(); }

}  // namespace cherrydyke::engine
