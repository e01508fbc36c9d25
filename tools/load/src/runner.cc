#include "load/runner.h"

#include <atomic>
#include <cstdlib>
#include <deque>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "adapters/http_client.h"
#include "fakes/query_response_check.h"
#include "load/balancer.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr absl::Duration kAnswerTimeout = absl::Seconds(10);
constexpr absl::Duration kMetricsTimeout = absl::Seconds(2);
constexpr absl::Duration kProgressPeriod = absl::Seconds(1);

struct Arrival {
  absl::Duration at;
  EntryName entry;
  std::string term;
};

std::vector<Arrival> PlanArrivals(const LoadPlan& plan) {
  std::mt19937_64 random(plan.seed);
  std::exponential_distribution<double> gap(plan.rate_per_s);
  std::vector<double> weights;
  for (const MixPart& part : plan.mix) weights.push_back(part.weight);
  std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
  std::vector<Arrival> arrivals;
  absl::Duration at = absl::Seconds(gap(random));
  while (at < plan.duration) {
    const auto query = random() % static_cast<uint64_t>(plan.distinct_queries);
    arrivals.push_back({at, plan.mix[pick(random)].entry,
                        absl::StrCat("q", plan.seed, "-", query)});
    at += absl::Seconds(gap(random));
  }
  return arrivals;
}

/// Counters of the entries before and after a run.
struct TierCounters {
  int64_t sub_requests = 0;
  int64_t needed = 0;
  int64_t hedges = 0;
};

TierCounters ReadCounters(const std::vector<Endpoint>& entries) {
  TierCounters sum;
  for (const Endpoint& entry : entries) {
    const HttpClient::Outcome outcome =
        HttpClient(entry).Get("/metrics", kMetricsTimeout);
    const auto* reply = std::get_if<HttpReply>(&outcome);
    if (reply == nullptr) continue;
    std::istringstream lines(reply->body);
    for (std::string line; std::getline(lines, line);) {
      const int64_t value =
          std::strtoll(line.substr(line.rfind(' ') + 1).c_str(), nullptr, 10);
      const auto starts = [&](const char* name) {
        return line.rfind(name, 0) == 0;
      };
      if (starts("cherrydyke_sub_requests_total")) sum.sub_requests += value;
      if (starts("cherrydyke_needed_sub_requests_total")) sum.needed += value;
      if (starts("cherrydyke_hedges_total")) sum.hedges += value;
    }
  }
  return sum;
}

/// Hands planned arrivals to worker threads and collects what came of them.
class Runner {
 public:
  explicit Runner(const LoadPlan& plan)
      : plan_(plan), balancer_(plan.entries, plan.balancer_lag) {}

  LoadResult Run() {
    // Let the balancer look once before the first request.
    absl::SleepFor(plan_.balancer_lag);
    const TierCounters before = ReadCounters(plan_.entries);
    start_ = absl::Now();
    std::vector<std::thread> workers;
    for (int i = 0; i < plan_.workers; ++i) {
      workers.emplace_back([this] { Work(); });
    }
    Offer();
    for (std::thread& worker : workers) worker.join();
    const TierCounters after = ReadCounters(plan_.entries);
    LoadResult result;
    result.duration = plan_.duration;
    result.not_sent = not_sent_;
    result.sub_requests = after.sub_requests - before.sub_requests;
    result.needed_sub_requests = after.needed - before.needed;
    result.hedges = after.hedges - before.hedges;
    const absl::MutexLock lock(&mutex_);
    result.samples = std::move(samples_);
    return result;
  }

 private:
  void Offer() {
    absl::Time next_progress = start_ + kProgressPeriod;
    for (Arrival& arrival : PlanArrivals(plan_)) {
      const absl::Time due = start_ + arrival.at;
      while (plan_.progress && next_progress < due) {
        absl::SleepFor(next_progress - absl::Now());
        Report();
        next_progress += kProgressPeriod;
      }
      absl::SleepFor(due - absl::Now());
      const absl::MutexLock lock(&mutex_);
      if (waiting_ + running_ >= plan_.workers) {
        ++not_sent_;
        continue;
      }
      ++waiting_;
      queue_.push_back(std::move(arrival));
      arrived_.Signal();
    }
    const absl::MutexLock lock(&mutex_);
    finished_ = true;
    arrived_.SignalAll();
  }

  void Report() {
    const absl::MutexLock lock(&mutex_);
    plan_.progress(
        absl::StrFormat("%4.0f s  answered %d  waiting %d  not sent %d",
                        absl::ToDoubleSeconds(absl::Now() - start_),
                        samples_.size(), running_, not_sent_));
  }

  void Work() {
    std::map<Endpoint, std::unique_ptr<HttpClient>> clients;
    while (true) {
      Arrival arrival;
      {
        const absl::MutexLock lock(&mutex_);
        while (queue_.empty() && !finished_) arrived_.Wait(&mutex_);
        if (queue_.empty()) return;
        arrival = std::move(queue_.front());
        queue_.pop_front();
        --waiting_;
        ++running_;
      }
      Sample sample = Ask(arrival, clients);
      const absl::MutexLock lock(&mutex_);
      --running_;
      samples_.push_back(std::move(sample));
    }
  }

  Sample Ask(const Arrival& arrival,
             std::map<Endpoint, std::unique_ptr<HttpClient>>& clients) {
    const Endpoint entry = balancer_.Next();
    auto& client = clients[entry];
    if (client == nullptr) client = std::make_unique<HttpClient>(entry);
    json body = {{"entry", arrival.entry},
                 {"query", {{"term", arrival.term}, {"every", plan_.every}}}};
    if (plan_.timeout_ms > 0) body["timeout_ms"] = plan_.timeout_ms;
    const HttpClient::Outcome outcome =
        client->Post("/v1/query", body.dump(), {}, kAnswerTimeout);
    Sample sample;
    sample.entry = arrival.entry;
    sample.arrival = arrival.at;
    sample.latency = absl::Now() - (start_ + arrival.at);
    const auto* reply = std::get_if<HttpReply>(&outcome);
    if (reply == nullptr) {
      client = nullptr;
      sample.refusal = "cut";
      return sample;
    }
    Judge(*reply, arrival.term, sample);
    return sample;
  }

  void Judge(const HttpReply& reply, const std::string& term, Sample& sample) {
    sample.status = reply.status;
    const json answer = json::parse(reply.body, nullptr, false);
    if (reply.status != 200) {
      sample.refusal = answer.is_object() ? answer.value("reason", "unreadable")
                                          : "unreadable";
      return;
    }
    sample.fault =
        CheckQueryResponse(reply.body, {term, plan_.every, plan_.documents});
    if (!sample.fault.empty()) return;
    sample.coverage = answer["coverage"]["fraction"].get<double>();
    sample.complete = answer["coverage"]["complete"].get<bool>();
  }

  const LoadPlan& plan_;
  Balancer balancer_;
  absl::Time start_;
  absl::Mutex mutex_;
  absl::CondVar arrived_;
  std::deque<Arrival> queue_ ABSL_GUARDED_BY(mutex_);
  bool finished_ ABSL_GUARDED_BY(mutex_) = false;
  int waiting_ ABSL_GUARDED_BY(mutex_) = 0;
  int running_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t not_sent_ = 0;
  std::vector<Sample> samples_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace

LoadResult RunLoad(const LoadPlan& plan) { return Runner(plan).Run(); }

}  // namespace cherrydyke
