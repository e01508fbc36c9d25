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

constexpr absl::Duration kAnswerMargin = absl::Milliseconds(12);
/// Interval and fan-out of the gossip between hosts, as in the tier library.
constexpr absl::Duration kGossipInterval = absl::Milliseconds(250);
constexpr size_t kGossipFanout = 24;

FleetLimits Bounds() {
  FleetLimits bounds;
  bounds.retry_ratio = 0.2;
  bounds.retry_window = absl::Seconds(10);
  bounds.retry_slack = 54;
  return bounds;
}

// One host, with its state for each target.
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
        names_by_hash_.emplace(HashOf(name), name);
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

  // One replica of each shard is in the region of the host.
  absl::Duration Distance(int replica) const {
    return replica == number_ % scenario_.replicas ? absl::Milliseconds(1)
                                                   : absl::Milliseconds(42);
  }

  std::optional<SelectedTarget> Select(const SelectionCriteria& criteria,
                                       absl::Time now) override {
    std::vector<TargetId> names;
    std::vector<ReplicaState> states;
    for (int replica = 0; replica < scenario_.replicas; ++replica) {
      const TargetId name = criteria.service + "/" + std::to_string(replica);
      if (std::count(criteria.exclude->begin(), criteria.exclude->end(), name) >
          0) {
        continue;
      }
      if (scenario_.concurrency_limit && policy_ == LoadPolicy::kTier &&
          !criteria.is_last_chance &&
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
      Count(criteria.retry_priority.has_value());
      return SelectedTarget{names[random_() % names.size()],
                            absl::InfiniteDuration(), absl::ZeroDuration()};
    }
    const auto choice = ChooseReplica(states, now);
    if (!choice) return std::nullopt;
    if (criteria.retry_priority &&
        !budget_.TryAcquire(criteria.service, *criteria.retry_priority, now)) {
      return std::nullopt;
    }
    Count(criteria.retry_priority.has_value());
    TargetHealth& health = health_.at(names[choice->index]);
    const SelectedTarget selected{
        names[choice->index],
        health.OverdueAfter(now, Policy().hedge_deviations), choice->cost,
        choice->next_cost};
    health.OnSent();
    return selected;
  }

  RetryBudget& budget() { return budget_; }
  TargetHealth& health(const TargetId& name) { return health_.at(name); }
  RetryAfterScheduler& returns() { return returns_; }
  ConcurrencyLimit& limit(const TargetId& name) { return limits_.at(name); }
  void RecordOutcome(const TargetId& name, TargetOutcome outcome,
                     absl::Duration latency, absl::Time now) {
    health_.at(name).OnEnded(outcome, latency, now);
    reports_.RecordOutcome(HashOf(name), outcome);
  }
  std::vector<TargetHealthReport> TakeReports(absl::Time now) {
    const auto has_elevated_failure_rate = [&](uint32_t target) {
      return health_.at(names_by_hash_.at(target)).HasElevatedFailureRate(now);
    };
    return reports_.TakeReports(kMaxReports, has_elevated_failure_rate, now);
  }
  void OnReports(const std::vector<TargetHealthReport>& reports,
                 absl::Time now) {
    for (const TargetHealthReport& entry : reports) {
      health_.at(names_by_hash_.at(entry.target))
          .OnPeerReport(entry.answers, entry.failures, now);
    }
  }
  PoolModel& pool(const TargetId& name) { return pools_.at(name); }

 private:
  static constexpr size_t kMaxReports = 100;
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
  HealthReportCollector reports_;
  std::unordered_map<uint32_t, TargetId> names_by_hash_;
  std::map<TargetId, TargetHealth> health_;
  std::map<TargetId, ConcurrencyLimit> limits_;
  std::map<TargetId, PoolModel> pools_;
};

// One request in progress.
struct SimulatedRequest : std::enable_shared_from_this<SimulatedRequest> {
  SimulatedRequest(Timeline& time, HostModel& from, RequestPlan plan,
                   const LoadScenario& load, LoadResult& sum,
                   std::function<void()> on_refused)
      : timeline(time),
        host(from),
        refused(std::move(on_refused)),
        run(std::move(plan), from),
        scenario(load),
        result(sum),
        started_at(time.now()) {}

  void Perform(const RunActions& actions) {
    for (const size_t attempt : actions.overdue) {
      host.health(run.target(attempt))
          .OnOverdue(sent_at[attempt], timeline.now());
    }
    for (const size_t attempt : actions.cancel) Cancel(attempt);
    for (const AttemptSend& send : actions.send) Send(send);
    if (actions.outcome) return Finish(*actions.outcome);
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
      self->RecordOutcome(attempt, end == AttemptResult::kNotRun
                                       ? TargetOutcome::kNotSent
                                       : TargetOutcome::kCancelled);
    });
  }

  void OnReply(const AttemptSend& send, AttemptResult end) {
    RecordOutcome(send.attempt,
                  end == AttemptResult::kSuccess   ? TargetOutcome::kAnswered
                  : end == AttemptResult::kUnknown ? TargetOutcome::kLost
                                                   : TargetOutcome::kRejected);
    if (!run.done()) {
      Perform(run.OnEnded(send.attempt, end, timeline.now()));
    }
  }

  void RecordOutcome(size_t attempt, TargetOutcome outcome) {
    const absl::Time now = timeline.now();
    const TargetId& target = run.target(attempt);
    const absl::Duration latency = now - sent_at[attempt];
    host.RecordOutcome(target, outcome, latency, now);
    if (outcome == TargetOutcome::kAnswered) {
      host.limit(target).OnAnswered(
          latency, scenario.latency_objective - kAnswerMargin, now);
    } else if (outcome != TargetOutcome::kRejected &&
               outcome != TargetOutcome::kLost) {
      host.limit(target).OnCancelled(
          latency, scenario.latency_objective - kAnswerMargin, now);
    }
  }

  void Finish(RequestOutcome outcome) {
    const absl::Duration took = timeline.now() - started_at;
    result.total_ms += absl::ToDoubleMilliseconds(took);
    if (outcome == RequestOutcome::kNotRun) {
      refused();
    } else if (outcome != RequestOutcome::kAnswer) {
      ++result.failed;
    } else if (took > scenario.latency_objective) {
      ++result.late;
    } else {
      const auto winners = run.Winners();
      const auto parts = std::count_if(winners.begin(), winners.end(),
                                       [](const auto& w) { return !!w; });
      const double share =
          static_cast<double>(parts) / static_cast<double>(winners.size());
      ++result.in_time;
      if (is_retry) ++result.in_time_after_retry;
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
  const absl::Time started_at;
  /// Whether it is the retry of a refused caller.
  bool is_retry = false;
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
  plan.deadline = now + scenario.timeout;
  plan.answer_at = policy == LoadPolicy::kNaive
                       ? plan.deadline
                       : now + scenario.latency_objective - kAnswerMargin;
  return plan;
}

// Callers that send requests to random hosts and retry once after a refusal.
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

  // Sends the request of one caller and schedules the arrival of the next.
  void OnArrival() {
    const absl::Time now = timeline_.now();
    const absl::Time burst = kStart + scenario_.duration / 4;
    const bool in_burst = scenario_.burst_rate > 0 && now >= burst &&
                          now < burst + scenario_.burst_duration;
    std::exponential_distribution<double> interarrival_time(
        in_burst ? scenario_.burst_rate : scenario_.rate);
    const absl::Time next = now + absl::Seconds(interarrival_time(random_));
    if (next < kStart + scenario_.duration) {
      timeline_.At(next, [this] { OnArrival(); });
    }
    ++result_.requests;
    SendRequest(true);
  }

 private:
  void SendRequest(bool first) {
    HostModel& host = hosts_[random_() % hosts_.size()];
    RequestPlan plan = PlanOf(scenario_, policy_, timeline_.now());
    for (const ServiceName& service : plan.services) {
      host.budget().OnRequest(service, timeline_.now());
    }
    const auto request = std::make_shared<SimulatedRequest>(
        timeline_, host, std::move(plan), scenario_, result_,
        [this, first, &host] { OnRefused(first, host); });
    request->is_retry = !first;
    request->Perform(request->run.Start(timeline_.now()));
  }

  void OnRefused(bool first, HostModel& host) {
    if (!first || !scenario_.callers_retry) {
      ++result_.refused;
      return;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    const absl::Duration delay =
        scenario_.schedule_retries
            ? host.returns().NextDelay(draw(random_), timeline_.now())
            : host.returns().BaseDelay(draw(random_));
    // Callers wait for at most a third of their timeout.
    const absl::Duration wait = std::min(delay, scenario_.timeout / 3);
    timeline_.At(timeline_.now() + wait, [this] { SendRequest(false); });
  }

  Timeline& timeline_;
  const LoadScenario& scenario_;
  const LoadPolicy policy_;
  std::deque<HostModel>& hosts_;
  std::mt19937& random_;
  LoadResult& result_;
};

// Each host sends its reports to some hosts of its failure domain.
void GossipReports(std::deque<HostModel>& hosts, const LoadScenario& scenario,
                   std::mt19937& random, const Timeline& timeline) {
  const auto domains = static_cast<size_t>(scenario.replicas);
  for (size_t i = 0; i < hosts.size(); ++i) {
    const std::vector<TargetHealthReport> reports =
        hosts[i].TakeReports(timeline.now());
    std::vector<size_t> domain_peers;
    for (size_t other = i % domains; other < hosts.size(); other += domains) {
      if (other != i) domain_peers.push_back(other);
    }
    std::shuffle(domain_peers.begin(), domain_peers.end(), random);
    if (domain_peers.size() > kGossipFanout) domain_peers.resize(kGossipFanout);
    for (const size_t peer : domain_peers) {
      hosts[peer].OnReports(reports, timeline.now());
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
  timeline.At(kStart, [&] { callers.OnArrival(); });
  if (scenario.hosts_gossip && policy == LoadPolicy::kTier) {
    for (absl::Time at = kStart; at < kStart + scenario.duration;
         at += kGossipInterval) {
      timeline.At(at,
                  [&] { GossipReports(hosts, scenario, random, timeline); });
    }
  }
  timeline.Run();
  return result;
}

}  // namespace cherrydyke
