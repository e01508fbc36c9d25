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

/// When the load model begins.
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

/// Runs tasks in the order of simulated time.
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

/// One send on its way: waiting for a connection, at its target, or over.
struct Exchange {
  Reply reply;
  bool sent = false;
  bool over = false;
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
        dark_(scenario.unresponsive_shards.count(shard) > 0),
        shed_(replica < scenario.shedding_replicas ? scenario.shed : 0),
        lost_(replica < scenario.losing_replicas ? scenario.lost : 0),
        factor_(replica == 0 && shard % 2 == 0 ? scenario.slow_factor : 1),
        phase_(absl::Milliseconds(random() % 4500)) {}

  void Arrive(ExchangePtr exchange) {
    if (dark_) return;
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(random_) < shed_ ||
        waiting_.size() >= static_cast<size_t>(scenario_.queue)) {
      return exchange->reply(AttemptResult::kNotRun);
    }
    waiting_.push_back(std::move(exchange));
    StartNext();
  }

 private:
  void StartNext() {
    // What was broken off while it waited is not begun.
    while (!waiting_.empty() && waiting_.front()->over) waiting_.pop_front();
    if (running_ == scenario_.slots || waiting_.empty()) return;
    ++running_;
    const ExchangePtr exchange = std::move(waiting_.front());
    waiting_.pop_front();
    timeline_.At(EndOf(scenario_.work * factor_), [this, exchange] {
      --running_;
      std::uniform_real_distribution<double> chance(0, 1);
      const bool loses = timeline_.now() > kStart + scenario_.length / 4 &&
                         lost_ > 0 && chance(random_) < lost_;
      if (!exchange->over) {
        exchange->reply(loses ? AttemptResult::kUnknown
                              : AttemptResult::kSuccess);
      }
      StartNext();
    });
  }

  // Work that a pause falls into takes the pause longer.
  absl::Time EndOf(absl::Duration work) const {
    const absl::Time end = timeline_.now() + work;
    const absl::Duration into =
        (end - kStart + phase_) % scenario_.pause_period;
    return into < scenario_.pause ? end + (scenario_.pause - into) : end;
  }

  Timeline& timeline_;
  const LoadScenario& scenario_;
  std::mt19937& random_;
  const bool dark_;
  const double shed_;
  const double lost_;
  const double factor_;
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
                   [this, held = weak.lock(), reply, end] {
                     if (!held->over) {
                       End(*held);
                       reply(end);
                     }
                   });
    };
    waiting_.push_back(exchange);
    SendNext();
    return exchange;
  }

  // What was not sent yet never is; the rest may end within the grace.
  void Cancel(const ExchangePtr& exchange, const Reply& broken_off) {
    if (!exchange->sent) {
      exchange->over = true;
      waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), exchange),
                     waiting_.end());
      return broken_off(AttemptResult::kNotRun);
    }
    timeline_.At(timeline_.now() + Policy().cancel_grace,
                 [this, exchange, broken_off] {
                   if (exchange->over) return;
                   End(*exchange);
                   broken_off(AttemptResult::kUnknown);
                 });
  }

 private:
  void End(Exchange& exchange) {
    exchange.over = true;
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
      if (!exchange->over) target_.Arrive(exchange);
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
