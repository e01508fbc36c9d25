#include "load_model.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "dispatch/concurrency_limit.h"
#include "dispatch/replica_choice.h"
#include "dispatch/retry_after_scheduler.h"
#include "dispatch/retry_budget.h"
#include "dispatch/target_health_report.h"
#include "load_targets.h"

namespace cherrydyke {
namespace {

constexpr absl::Duration kMargin = absl::Milliseconds(12);
/// As the link between hosts has it.
constexpr absl::Duration kTellPeriod = absl::Milliseconds(250);
constexpr size_t kTellFanout = 24;

FleetLimits Bounds() {
  FleetLimits bounds;
  bounds.retry_ratio = 0.2;
  bounds.retry_window = absl::Seconds(10);
  bounds.retry_slack = 54;
  return bounds;
}

// One host: its places in the fleet and what it has learned.
class HostModel : public TargetSelector {
 public:
  HostModel(Timeline& timeline,
            std::map<TargetId, std::unique_ptr<TargetModel>>& targets,
            const LoadScenario& scenario, LoadPolicy policy, int number,
            std::mt19937& random, LoadResult& result)
      : scenario_(scenario),
        policy_(policy),
        number_(number),
        random_(random),
        result_(result),
        budget_(Bounds(), absl::InfinitePast()) {
    budget_.SetHostCount(scenario.hosts);
    for (int shard = 0; shard < scenario.shards; ++shard) {
      for (int replica = 0; replica < scenario.replicas; ++replica) {
        const TargetId name = Name(shard, replica);
        names_.emplace(HashOf(name), name);
        health_.try_emplace(name, Distance(replica), absl::Milliseconds(10));
        limits_.try_emplace(name, scenario.connections);
        pools_.try_emplace(name, timeline, *targets.at(name),
                           scenario.connections, Distance(replica) / 2);
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

  std::optional<SelectedTarget> Select(const SelectionCriteria& need,
                                       absl::Time now) override {
    std::vector<TargetId> names;
    std::vector<ReplicaState> states;
    for (int replica = 0; replica < scenario_.replicas; ++replica) {
      const TargetId name = need.service + "/" + std::to_string(replica);
      if (std::count(need.exclude->begin(), need.exclude->end(), name) > 0) {
        continue;
      }
      if (scenario_.concurrency_limit && policy_ == LoadPolicy::kTier &&
          !need.is_last_chance &&
          !limits_.at(name).HasRoom(health_.at(name).outstanding())) {
        continue;
      }
      names.push_back(name);
      states.push_back({&health_.at(name), scenario_.slots,
                        scenario_.connections, Distance(replica), true, false,
                        false});
    }
    if (names.empty()) return std::nullopt;
    if (policy_ == LoadPolicy::kNaive) {
      Count(need.retry_priority.has_value());
      return SelectedTarget{names[random_() % names.size()],
                            absl::InfiniteDuration(), absl::ZeroDuration()};
    }
    const auto choice = ChooseReplica(states, now);
    if (!choice) return std::nullopt;
    if (need.retry_priority &&
        !budget_.TryAcquire(need.service, *need.retry_priority, now)) {
      return std::nullopt;
    }
    Count(need.retry_priority.has_value());
    TargetHealth& health = health_.at(names[choice->index]);
    const SelectedTarget placed{
        names[choice->index],
        health.OverdueAfter(now, Policy().hedge_deviations), choice->cost,
        choice->next_cost};
    health.OnSent();
    return placed;
  }

  RetryBudget& budget() { return budget_; }
  TargetHealth& health(const TargetId& name) { return health_.at(name); }
  RetryAfterScheduler& returns() { return returns_; }
  ConcurrencyLimit& limit(const TargetId& name) { return limits_.at(name); }
  void Learn(const TargetId& name, TargetOutcome sign, absl::Duration spent,
             absl::Time now) {
    health_.at(name).OnEnded(sign, spent, now);
    book_.RecordOutcome(HashOf(name), sign);
  }
  std::vector<TargetHealthReport> TakeEvidence(absl::Time now) {
    const auto is_doubtful = [&](uint32_t target) {
      return health_.at(names_.at(target)).HasElevatedFailureRate(now);
    };
    return book_.TakeReports(kMostTold, is_doubtful, now);
  }
  void OnEvidence(const std::vector<TargetHealthReport>& told, absl::Time now) {
    for (const TargetHealthReport& entry : told) {
      health_.at(names_.at(entry.target))
          .OnPeerReport(entry.answers, entry.failures, now);
    }
  }
  PoolModel& pool(const TargetId& name) { return pools_.at(name); }

 private:
  static constexpr size_t kMostTold = 100;
  static uint32_t HashOf(const TargetId& name) {
    return static_cast<uint32_t>(StableHash(name));
  }
  void Count(bool extra) {
    ++(extra ? result_.extra_sends : result_.first_sends);
  }

  const LoadScenario& scenario_;
  const LoadPolicy policy_;
  const int number_;
  std::mt19937& random_;
  LoadResult& result_;
  RetryBudget budget_;
  RetryAfterScheduler returns_{Policy().retry_after,
                               Policy().retry_after_spread};
  HealthReportCollector book_;
  std::unordered_map<uint32_t, TargetId> names_;
  std::map<TargetId, TargetHealth> health_;
  std::map<TargetId, ConcurrencyLimit> limits_;
  std::map<TargetId, PoolModel> pools_;
};

// One request under way.
struct Play : std::enable_shared_from_this<Play> {
  Play(Timeline& time, HostModel& from, RequestPlan plan,
       const LoadScenario& load, LoadResult& sum,
       std::function<void()> on_refused)
      : timeline(time),
        host(from),
        refused(std::move(on_refused)),
        run(std::move(plan), from),
        scenario(load),
        result(sum),
        begun(time.now()) {}

  void Perform(const RunActions& actions) {
    for (const size_t attempt : actions.overdue) {
      host.health(run.target(attempt))
          .OnOverdue(sent_at[attempt], timeline.now());
    }
    for (const size_t attempt : actions.cancel) Cancel(attempt);
    for (const AttemptSend& send : actions.send) Send(send);
    if (actions.outcome) return Conclude(*actions.outcome);
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
    sent_at[send.attempt] = timeline.now();
    exchanges[send.attempt] =
        host.pool(send.target)
            .Send([self = shared_from_this(), send](AttemptResult end) {
              self->OnReply(send, end);
            });
  }

  void Cancel(size_t attempt) {
    const TargetId& target = run.target(attempt);
    const auto exchange = exchanges.find(attempt);
    if (exchange == exchanges.end())
      return host.health(target).OnSendCancelled();
    host.pool(target).Cancel(exchange->second, [self = shared_from_this(),
                                                attempt](AttemptResult end) {
      self->Learn(attempt, end == AttemptResult::kNotRun
                               ? TargetOutcome::kNotSent
                               : TargetOutcome::kCancelled);
    });
  }

  void OnReply(const AttemptSend& send, AttemptResult end) {
    Learn(send.attempt,
          end == AttemptResult::kSuccess   ? TargetOutcome::kAnswered
          : end == AttemptResult::kUnknown ? TargetOutcome::kLost
                                           : TargetOutcome::kRejected);
    if (!run.done()) {
      Perform(run.OnEnded(send.attempt, end, timeline.now()));
    }
  }

  void Learn(size_t attempt, TargetOutcome sign) {
    const absl::Time now = timeline.now();
    const TargetId& target = run.target(attempt);
    const absl::Duration spent = now - sent_at[attempt];
    host.Learn(target, sign, spent, now);
    if (sign == TargetOutcome::kAnswered) {
      host.limit(target).OnAnswered(spent, scenario.goal - kMargin, now);
    } else if (sign != TargetOutcome::kRejected &&
               sign != TargetOutcome::kLost) {
      host.limit(target).OnCancelled(spent, scenario.goal - kMargin, now);
    }
  }

  void Conclude(RequestOutcome kind) {
    const absl::Duration took = timeline.now() - begun;
    result.total_ms += absl::ToDoubleMilliseconds(took);
    if (kind == RequestOutcome::kNotRun) {
      refused();
    } else if (kind != RequestOutcome::kAnswer) {
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
      if (returned) ++result.in_goal_after_retry;
      result.credit += share * share;
      host.returns().OnAnswered(timeline.now());
    }
  }

  Timeline& timeline;
  HostModel& host;
  const std::function<void()> refused;
  RequestRun run;
  const LoadScenario& scenario;
  LoadResult& result;
  const absl::Time begun;
  /// Whether its caller has been refused before.
  bool returned = false;
  absl::Time timer_at = absl::InfiniteFuture();
  std::map<size_t, absl::Time> sent_at;
  std::map<size_t, ExchangePtr> exchanges;
};

RequestPlan PlanOf(const LoadScenario& scenario, LoadPolicy policy,
                   absl::Time now) {
  RequestPlan plan;
  for (int shard = 0; shard < scenario.shards; ++shard) {
    plan.services.push_back(std::to_string(shard));
  }
  plan.is_fanout = true;
  plan.idempotent = true;
  plan.max_attempts = policy == LoadPolicy::kNaive ? scenario.replicas : 2;
  plan.min_parts = scenario.needed;
  plan.deadline = now + scenario.time_limit;
  plan.answer_at = policy == LoadPolicy::kNaive ? plan.deadline
                                                : now + scenario.goal - kMargin;
  return plan;
}

// Callers who ask any host, and come back once to any other after a refusal.
class CallerModel {
 public:
  CallerModel(Timeline& timeline, const LoadScenario& scenario,
              LoadPolicy policy, std::deque<HostModel>& hosts,
              std::mt19937& random, LoadResult& result)
      : timeline_(timeline),
        scenario_(scenario),
        policy_(policy),
        hosts_(hosts),
        random_(random),
        result_(result) {}

  // Lets one caller ask, and the next one come after it.
  void Begin() {
    const absl::Time now = timeline_.now();
    const absl::Time burst = kStart + scenario_.length / 4;
    const bool in_burst = scenario_.burst_rate > 0 && now >= burst &&
                          now < burst + scenario_.burst_length;
    std::exponential_distribution<double> gap(in_burst ? scenario_.burst_rate
                                                       : scenario_.rate);
    const absl::Time next = now + absl::Seconds(gap(random_));
    if (next < kStart + scenario_.length) {
      timeline_.At(next, [this] { Begin(); });
    }
    ++result_.requests;
    Ask(true);
  }

 private:
  void Ask(bool first) {
    HostModel& host = hosts_[random_() % hosts_.size()];
    RequestPlan plan = PlanOf(scenario_, policy_, timeline_.now());
    for (const ServiceName& service : plan.services) {
      host.budget().OnRequest(service, timeline_.now());
    }
    const auto play = std::make_shared<Play>(
        timeline_, host, std::move(plan), scenario_, result_,
        [this, first, &host] { OnRefused(first, host); });
    play->returned = !first;
    play->Perform(play->run.Start(timeline_.now()));
  }

  void OnRefused(bool first, HostModel& host) {
    if (!first || !scenario_.callers_retry) {
      ++result_.refused;
      return;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    const absl::Duration told =
        scenario_.schedule_retries
            ? host.returns().NextDelay(draw(random_), timeline_.now())
            : host.returns().BaseDelay(draw(random_));
    // Callers wait for a third of their time at most.
    const absl::Duration wait = std::min(told, scenario_.time_limit / 3);
    timeline_.At(timeline_.now() + wait, [this] { Ask(false); });
  }

  Timeline& timeline_;
  const LoadScenario& scenario_;
  const LoadPolicy policy_;
  std::deque<HostModel>& hosts_;
  std::mt19937& random_;
  LoadResult& result_;
};

// Each host tells some of those that stand where it does.
void TellEachOther(std::deque<HostModel>& hosts, const LoadScenario& scenario,
                   std::mt19937& random, const Timeline& timeline) {
  const auto domains = static_cast<size_t>(scenario.replicas);
  for (size_t i = 0; i < hosts.size(); ++i) {
    const std::vector<TargetHealthReport> told =
        hosts[i].TakeEvidence(timeline.now());
    std::vector<size_t> mates;
    for (size_t other = i % domains; other < hosts.size(); other += domains) {
      if (other != i) mates.push_back(other);
    }
    std::shuffle(mates.begin(), mates.end(), random);
    if (mates.size() > kTellFanout) mates.resize(kTellFanout);
    for (const size_t mate : mates) {
      hosts[mate].OnEvidence(told, timeline.now());
    }
  }
}

}  // namespace

LoadResult SimulateLoad(const LoadScenario& scenario, LoadPolicy policy,
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
    hosts.emplace_back(timeline, targets, scenario, policy, host, random,
                       result);
  }
  CallerModel callers(timeline, scenario, policy, hosts, random, result);
  timeline.At(kStart, [&] { callers.Begin(); });
  if (scenario.hosts_gossip && policy == LoadPolicy::kTier) {
    for (absl::Time at = kStart; at < kStart + scenario.length;
         at += kTellPeriod) {
      timeline.At(at,
                  [&] { TellEachOther(hosts, scenario, random, timeline); });
    }
  }
  timeline.Run();
  return result;
}

}  // namespace cherrydyke
