#include "load_model.h"

#include <algorithm>
#include <utility>

#include "dispatch/extra_budget.h"
#include "dispatch/replica_choice.h"

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr int kConnections = 3;
constexpr absl::Duration kMargin = absl::Milliseconds(12);

// Runs tasks in the order of simulated time.
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

using Reply = std::function<void(AttemptEnd)>;

class TargetModel {
 public:
  TargetModel(Timeline& timeline, const LoadScenario& scenario, int shard,
              int replica, std::mt19937& random)
      : timeline_(timeline),
        scenario_(scenario),
        random_(random),
        dark_(scenario.dark_shards.count(shard) > 0),
        shed_(replica < scenario.shedding_replicas ? scenario.shed : 0),
        factor_(replica == 0 && shard % 2 == 0 ? scenario.slow_factor : 1),
        phase_(absl::Milliseconds(random() % 4500)) {}

  void Arrive(Reply reply) {
    if (dark_) return;
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(random_) < shed_ ||
        waiting_.size() >= static_cast<size_t>(scenario_.queue)) {
      return reply(AttemptEnd::kNotRun);
    }
    waiting_.push_back(std::move(reply));
    StartNext();
  }

 private:
  void StartNext() {
    if (running_ == scenario_.slots || waiting_.empty()) return;
    ++running_;
    const Reply reply = std::move(waiting_.front());
    waiting_.pop_front();
    timeline_.At(EndOf(scenario_.work * factor_), [this, reply] {
      --running_;
      reply(AttemptEnd::kSuccess);
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
  const double factor_;
  const absl::Duration phase_;
  std::deque<Reply> waiting_;
  int running_ = 0;
};

FleetBounds Bounds() {
  FleetBounds bounds;
  bounds.retry_ratio = 0.2;
  bounds.retry_window = absl::Seconds(10);
  bounds.retry_slack = 54;
  return bounds;
}

// One host: its places in the fleet and what it has learned.
class HostModel : public Placement {
 public:
  HostModel(const LoadScenario& scenario, LoadPolicy policy, int number,
            std::mt19937& random, LoadResult& result)
      : scenario_(scenario),
        policy_(policy),
        number_(number),
        random_(random),
        result_(result),
        budget_(Bounds(), absl::InfinitePast()) {
    budget_.SetHosts(scenario.hosts);
    for (int shard = 0; shard < scenario.shards; ++shard) {
      for (int replica = 0; replica < scenario.replicas; ++replica) {
        health_.try_emplace(Name(shard, replica), Distance(replica),
                            absl::Milliseconds(10));
      }
    }
  }

  static TargetId Name(int shard, int replica) {
    return std::to_string(shard) + "/" + std::to_string(replica);
  }

  // One replica of each shard is near, the others are in other regions.
  absl::Duration Distance(int replica) const {
    return replica == number_ % scenario_.replicas ? absl::Milliseconds(1)
                                                   : absl::Milliseconds(42);
  }

  std::optional<Placed> Place(const PlacementNeed& need,
                              absl::Time now) override {
    std::vector<TargetId> names;
    std::vector<ReplicaState> states;
    for (int replica = 0; replica < scenario_.replicas; ++replica) {
      const TargetId name = need.service + "/" + std::to_string(replica);
      if (std::count(need.exclude->begin(), need.exclude->end(), name) > 0) {
        continue;
      }
      names.push_back(name);
      states.push_back({&health_.at(name), scenario_.slots, kConnections,
                        Distance(replica), true, false, false});
    }
    if (names.empty()) return std::nullopt;
    if (policy_ == LoadPolicy::kNaive) {
      Count(need.extra.has_value());
      return Placed{names[random_() % names.size()], absl::InfiniteDuration(),
                    absl::ZeroDuration()};
    }
    const auto choice = ChooseReplica(states, now);
    if (!choice) return std::nullopt;
    if (need.extra && !budget_.TryTake(need.service, *need.extra, now)) {
      return std::nullopt;
    }
    Count(need.extra.has_value());
    TargetHealth& health = health_.at(names[choice->index]);
    const Placed placed{names[choice->index], health.OverdueAfter(now),
                        choice->cost, choice->next_cost};
    health.OnSent();
    return placed;
  }

  ExtraBudget& budget() { return budget_; }
  TargetHealth& health(const TargetId& name) { return health_.at(name); }

 private:
  void Count(bool extra) {
    ++(extra ? result_.extra_sends : result_.first_sends);
  }

  const LoadScenario& scenario_;
  const LoadPolicy policy_;
  const int number_;
  std::mt19937& random_;
  LoadResult& result_;
  ExtraBudget budget_;
  std::map<TargetId, TargetHealth> health_;
};

// One request under way.
struct Play : std::enable_shared_from_this<Play> {
  Play(Timeline& time, HostModel& from,
       std::map<TargetId, std::unique_ptr<TargetModel>>& all, RequestPlan plan,
       const LoadScenario& load, LoadResult& sum)
      : timeline(time),
        host(from),
        targets(all),
        run(std::move(plan), from),
        scenario(load),
        result(sum),
        begun(time.now()) {}

  void Perform(const RunActions& actions) {
    for (const size_t attempt : actions.overdue) {
      host.health(run.target(attempt))
          .OnOverdue(sent_at[attempt], timeline.now());
    }
    for (const AttemptSend& send : actions.send) Send(send);
    if (actions.conclusion) return Conclude(*actions.conclusion);
    const absl::Time next = run.NextTimer();
    if (next == timer_at) return;
    timer_at = next;
    timeline.At(next, [self = shared_from_this(), next] {
      if (!self->run.done() && self->timer_at == next) {
        self->timer_at = absl::InfiniteFuture();
        self->Perform(self->run.OnTimer(self->timeline.now()));
      }
    });
  }

  void Send(const AttemptSend& send) {
    const absl::Time sent = timeline.now();
    sent_at[send.attempt] = sent;
    const int replica =
        std::stoi(send.target.substr(send.target.find('/') + 1));
    const absl::Duration one_way = host.Distance(replica) / 2;
    timeline.At(sent + one_way, [self = shared_from_this(), send, one_way] {
      self->targets.at(send.target)
          ->Arrive([self, send, one_way](AttemptEnd end) {
            self->timeline.At(self->timeline.now() + one_way,
                              [self, send, end] { self->OnReply(send, end); });
          });
    });
  }

  void OnReply(const AttemptSend& send, AttemptEnd end) {
    const absl::Time now = timeline.now();
    host.health(send.target)
        .OnEnded(end == AttemptEnd::kSuccess ? TargetSign::kAnswered
                                             : TargetSign::kRejected,
                 now - sent_at[send.attempt], now);
    if (!run.done()) Perform(run.OnEnded(send.attempt, end, now));
  }

  void Conclude(ConclusionKind kind) {
    const absl::Duration took = timeline.now() - begun;
    result.total_ms += absl::ToDoubleMilliseconds(took);
    if (kind == ConclusionKind::kNotRun) {
      ++result.refused;
    } else if (kind != ConclusionKind::kAnswer) {
      ++result.failed;
    } else if (took > scenario.goal) {
      ++result.late;
    } else {
      const auto winners = run.Winners();
      const auto parts = std::count_if(winners.begin(), winners.end(),
                                       [](const auto& w) { return !!w; });
      const double share =
          static_cast<double>(parts) / static_cast<double>(winners.size());
      ++result.in_goal;
      result.credit += share * share;
    }
  }

  Timeline& timeline;
  HostModel& host;
  std::map<TargetId, std::unique_ptr<TargetModel>>& targets;
  RequestRun run;
  const LoadScenario& scenario;
  LoadResult& result;
  const absl::Time begun;
  absl::Time timer_at = absl::InfiniteFuture();
  std::map<size_t, absl::Time> sent_at;
};

RequestPlan PlanOf(const LoadScenario& scenario, LoadPolicy policy,
                   absl::Time now) {
  RequestPlan plan;
  for (int shard = 0; shard < scenario.shards; ++shard) {
    plan.services.push_back(std::to_string(shard));
  }
  plan.is_fanout = true;
  plan.idempotent = true;
  plan.attempts = policy == LoadPolicy::kNaive ? scenario.replicas : 2;
  plan.needed = scenario.needed;
  plan.deadline = now + scenario.time_limit;
  plan.answer_at = policy == LoadPolicy::kNaive ? plan.deadline
                                                : now + scenario.goal - kMargin;
  return plan;
}

}  // namespace

LoadResult PlayLoad(const LoadScenario& scenario, LoadPolicy policy,
                    uint32_t seed) {
  LoadResult result;
  std::mt19937 random(seed);
  Timeline timeline;
  std::map<TargetId, std::unique_ptr<TargetModel>> targets;
  for (int shard = 0; shard < scenario.shards; ++shard) {
    for (int replica = 0; replica < scenario.replicas; ++replica) {
      targets[HostModel::Name(shard, replica)] = std::make_unique<TargetModel>(
          timeline, scenario, shard, replica, random);
    }
  }
  std::deque<HostModel> hosts;
  for (int host = 0; host < scenario.hosts; ++host) {
    hosts.emplace_back(scenario, policy, host, random, result);
  }
  std::exponential_distribution<double> gap(scenario.rate);
  absl::Time arrival = kStart;
  while (arrival < kStart + scenario.length) {
    arrival += absl::Seconds(gap(random));
    timeline.At(arrival, [&] {
      HostModel& host = hosts[random() % hosts.size()];
      ++result.requests;
      RequestPlan plan = PlanOf(scenario, policy, timeline.now());
      for (const ServiceName& service : plan.services) {
        host.budget().OnRequest(service, timeline.now());
      }
      const auto play = std::make_shared<Play>(
          timeline, host, targets, std::move(plan), scenario, result);
      play->Perform(play->run.Start(timeline.now()));
    });
  }
  timeline.Run();
  return result;
}

}  // namespace cherrydyke
