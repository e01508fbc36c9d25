#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>

#include "absl/time/time.h"
#include "dispatch/policy.h"
#include "dispatch/request_run.h"
#include "load_model.h"

namespace cherrydyke {

/// Start of the simulation.
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

/// Event queue: runs tasks in the order of simulated time.
class Timeline {
 public:
  absl::Time now() const { return now_; }
  void At(absl::Time when, std::function<void()> task) {
    tasks_.emplace(std::max(when, now_), std::move(task));
  }
  void Run() {
    while (!tasks_.empty()) {
      auto node = tasks_.extract(tasks_.begin());
      now_ = node.key();
      node.mapped()();
    }
  }

 private:
  absl::Time now_ = kStart;
  std::multimap<absl::Time, std::function<void()>> tasks_;
};

using Reply = std::function<void(AttemptResult)>;

/// One send: waiting for a connection, at its target, or ended.
struct Exchange {
  Reply reply;
  bool sent = false;
  bool ended = false;
};
using ExchangePtr = std::shared_ptr<Exchange>;

/// A target with slots, a queue and pauses.
class TargetModel {
 public:
  TargetModel(Timeline& timeline, const LoadScenario& scenario, int shard,
              int replica, std::mt19937& random)
      : timeline_(timeline),
        scenario_(scenario),
        random_(random),
        unresponsive_(scenario.unresponsive_shards.count(shard) > 0),
        rejection_rate_(replica < scenario.rejecting_replicas
                            ? scenario.rejection_rate
                            : 0),
        loss_rate_(replica < scenario.losing_replicas ? scenario.loss_rate : 0),
        work_factor_(replica == 0 && shard % 2 == 0 ? scenario.slow_factor : 1),
        phase_(absl::Milliseconds(random() % 4500)) {}

  void Arrive(ExchangePtr exchange) {
    if (unresponsive_) return;
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(random_) < rejection_rate_ ||
        waiting_.size() >= static_cast<size_t>(scenario_.max_queue)) {
      return exchange->reply(AttemptResult::kNotRun);
    }
    waiting_.push_back(std::move(exchange));
    StartNext();
  }

 private:
  void StartNext() {
    // Requests that were cancelled while they waited are not run.
    while (!waiting_.empty() && waiting_.front()->ended) waiting_.pop_front();
    if (running_ == scenario_.slots || waiting_.empty()) return;
    ++running_;
    const ExchangePtr exchange = std::move(waiting_.front());
    waiting_.pop_front();
    timeline_.At(EndOf(scenario_.work * work_factor_), [this, exchange] {
      --running_;
      std::uniform_real_distribution<double> chance(0, 1);
      const bool answer_lost =
          timeline_.now() > kStart + scenario_.duration / 4 && loss_rate_ > 0 &&
          chance(random_) < loss_rate_;
      if (!exchange->ended) {
        exchange->reply(answer_lost ? AttemptResult::kUnknown
                                    : AttemptResult::kSuccess);
      }
      StartNext();
    });
  }

  // A pause delays the end of the work that it interrupts.
  absl::Time EndOf(absl::Duration work) const {
    const absl::Time end = timeline_.now() + work;
    const absl::Duration into_period =
        (end - kStart + phase_) % scenario_.pause_period;
    return into_period < scenario_.pause ? end + (scenario_.pause - into_period)
                                         : end;
  }

  Timeline& timeline_;
  const LoadScenario& scenario_;
  std::mt19937& random_;
  const bool unresponsive_;
  const double rejection_rate_;
  const double loss_rate_;
  const double work_factor_;
  const absl::Duration phase_;
  std::deque<ExchangePtr> waiting_;
  int running_ = 0;
};

/// The connections of one host to one target.
class PoolModel {
 public:
  PoolModel(Timeline& timeline, TargetModel& target, int connections,
            absl::Duration one_way)
      : timeline_(timeline),
        target_(target),
        connections_(connections),
        one_way_(one_way) {}

  ExchangePtr Send(Reply reply) {
    const auto exchange = std::make_shared<Exchange>();
    exchange->reply = [this, weak = std::weak_ptr<Exchange>(exchange),
                       reply = std::move(reply)](AttemptResult end) {
      timeline_.At(timeline_.now() + one_way_,
                   [this, locked = weak.lock(), reply, end] {
                     if (!locked->ended) {
                       Finish(*locked);
                       reply(end);
                     }
                   });
    };
    waiting_.push_back(exchange);
    SendNext();
    return exchange;
  }

  // Drops a request that was not sent; others may end within the grace period.
  void Cancel(const ExchangePtr& exchange, const Reply& on_cancelled) {
    if (!exchange->sent) {
      exchange->ended = true;
      waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), exchange),
                     waiting_.end());
      return on_cancelled(AttemptResult::kNotRun);
    }
    timeline_.At(timeline_.now() + Policy().cancel_grace,
                 [this, exchange, on_cancelled] {
                   if (exchange->ended) return;
                   Finish(*exchange);
                   on_cancelled(AttemptResult::kUnknown);
                 });
  }

 private:
  void Finish(Exchange& exchange) {
    exchange.ended = true;
    --running_;
    SendNext();
  }

  void SendNext() {
    if (running_ == connections_ || waiting_.empty()) return;
    ++running_;
    const ExchangePtr exchange = waiting_.front();
    waiting_.pop_front();
    exchange->sent = true;
    timeline_.At(timeline_.now() + one_way_, [this, exchange] {
      if (!exchange->ended) target_.Arrive(exchange);
    });
  }

  Timeline& timeline_;
  TargetModel& target_;
  const int connections_;
  const absl::Duration one_way_;
  std::deque<ExchangePtr> waiting_;
  int running_ = 0;
};

}  // namespace cherrydyke
