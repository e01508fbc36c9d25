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

constexpr absl::Duration kResponseTimeout = absl::Seconds(10);
constexpr absl::Duration kMetricsTimeout = absl::Seconds(2);
constexpr absl::Duration kProgressPeriod = absl::Seconds(1);

struct Arrival {
  absl::Duration offset;
  EntryName entry;
  std::string term;
};

std::vector<Arrival> PlanArrivals(const LoadPlan& plan) {
  std::mt19937_64 random(plan.seed);
  std::exponential_distribution<double> interval(plan.rate_per_s);
  std::vector<double> weights;
  for (const WeightedEntry& entry : plan.mix) weights.push_back(entry.weight);
  std::discrete_distribution<size_t> entry_index(weights.begin(),
                                                 weights.end());
  std::vector<Arrival> arrivals;
  absl::Duration offset = absl::Seconds(interval(random));
  while (offset < plan.duration) {
    const auto query = random() % static_cast<uint64_t>(plan.distinct_queries);
    arrivals.push_back({offset, plan.mix[entry_index(random)].entry,
                        absl::StrCat("q", plan.seed, "-", query)});
    offset += absl::Seconds(interval(random));
  }
  return arrivals;
}

/// Sums of the metrics counters of all entries.
struct EntryCounters {
  int64_t sub_requests = 0;
  int64_t needed = 0;
  int64_t hedges = 0;
};

EntryCounters ReadCounters(const std::vector<Endpoint>& entries) {
  EntryCounters sum;
  for (const Endpoint& entry : entries) {
    const HttpClient::Outcome outcome =
        HttpClient(entry).Get("/metrics", kMetricsTimeout);
    const auto* reply = std::get_if<HttpReply>(&outcome);
    if (reply == nullptr) continue;
    std::istringstream lines(reply->body);
    for (std::string line; std::getline(lines, line);) {
      const int64_t value =
          std::strtoll(line.substr(line.rfind(' ') + 1).c_str(), nullptr, 10);
      const auto matches = [&](const char* name) {
        return line.rfind(name, 0) == 0;
      };
      if (matches("cherrydyke_sub_requests_total")) sum.sub_requests += value;
      if (matches("cherrydyke_needed_sub_requests_total")) sum.needed += value;
      if (matches("cherrydyke_hedges_total")) sum.hedges += value;
    }
  }
  return sum;
}

/// Passes planned arrivals to worker threads and collects their results.
class Runner {
 public:
  explicit Runner(const LoadPlan& plan)
      : plan_(plan), balancer_(plan.entries, plan.balancer_lag) {}

  LoadResult Run() {
    // Gives the balancer time for a readiness check that is old enough to be
    // used.
    absl::SleepFor(plan_.balancer_lag);
    const EntryCounters before = ReadCounters(plan_.entries);
    start_ = absl::Now();
    std::vector<std::thread> workers;
    for (int i = 0; i < plan_.workers; ++i) {
      workers.emplace_back([this] { RunWorker(); });
    }
    EnqueueArrivals();
    for (std::thread& worker : workers) worker.join();
    const EntryCounters after = ReadCounters(plan_.entries);
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
  void EnqueueArrivals() {
    absl::Time next_progress = start_ + kProgressPeriod;
    for (Arrival& arrival : PlanArrivals(plan_)) {
      const absl::Time due_time = start_ + arrival.offset;
      while (plan_.progress && next_progress < due_time) {
        absl::SleepFor(next_progress - absl::Now());
        ReportProgress();
        next_progress += kProgressPeriod;
      }
      absl::SleepFor(due_time - absl::Now());
      const absl::MutexLock lock(&mutex_);
      if (queued_ + in_flight_ >= plan_.workers) {
        ++not_sent_;
        continue;
      }
      ++queued_;
      queue_.push_back(std::move(arrival));
      queue_changed_.Signal();
    }
    const absl::MutexLock lock(&mutex_);
    queue_closed_ = true;
    queue_changed_.SignalAll();
  }

  void ReportProgress() {
    const absl::MutexLock lock(&mutex_);
    plan_.progress(
        absl::StrFormat("%4.0f s  finished %d  in flight %d  not sent %d",
                        absl::ToDoubleSeconds(absl::Now() - start_),
                        samples_.size(), in_flight_, not_sent_));
  }

  void RunWorker() {
    std::map<Endpoint, std::unique_ptr<HttpClient>> clients;
    while (true) {
      Arrival arrival;
      {
        const absl::MutexLock lock(&mutex_);
        while (queue_.empty() && !queue_closed_) queue_changed_.Wait(&mutex_);
        if (queue_.empty()) return;
        arrival = std::move(queue_.front());
        queue_.pop_front();
        --queued_;
        ++in_flight_;
      }
      Sample sample = SendRequest(arrival, clients);
      const absl::MutexLock lock(&mutex_);
      --in_flight_;
      samples_.push_back(std::move(sample));
    }
  }

  Sample SendRequest(const Arrival& arrival,
                     std::map<Endpoint, std::unique_ptr<HttpClient>>& clients) {
    const Endpoint entry = balancer_.Next();
    auto& client = clients[entry];
    if (client == nullptr) client = std::make_unique<HttpClient>(entry);
    json body = {{"entry", arrival.entry},
                 {"query", {{"term", arrival.term}, {"every", plan_.every}}}};
    if (plan_.timeout_ms > 0) body["timeout_ms"] = plan_.timeout_ms;
    const HttpClient::Outcome outcome =
        client->Post("/v1/query", body.dump(), {}, kResponseTimeout);
    Sample sample;
    sample.entry = arrival.entry;
    sample.arrival = arrival.offset;
    sample.latency = absl::Now() - (start_ + arrival.offset);
    const auto* reply = std::get_if<HttpReply>(&outcome);
    if (reply == nullptr) {
      client = nullptr;
      sample.refusal = "cut";
      return sample;
    }
    RecordResponse(*reply, arrival.term, sample);
    return sample;
  }

  void RecordResponse(const HttpReply& reply, const std::string& term,
                      Sample& sample) {
    sample.status = reply.status;
    const json response = json::parse(reply.body, nullptr, false);
    if (reply.status != 200) {
      sample.refusal = response.is_object()
                           ? response.value("reason", "unreadable")
                           : "unreadable";
      return;
    }
    sample.error =
        CheckQueryResponse(reply.body, {term, plan_.every, plan_.documents});
    if (!sample.error.empty()) return;
    sample.coverage = response["coverage"]["fraction"].get<double>();
    sample.complete = response["coverage"]["complete"].get<bool>();
  }

  const LoadPlan& plan_;
  Balancer balancer_;
  absl::Time start_;
  absl::Mutex mutex_;
  absl::CondVar queue_changed_;
  std::deque<Arrival> queue_ ABSL_GUARDED_BY(mutex_);
  bool queue_closed_ ABSL_GUARDED_BY(mutex_) = false;
  int queued_ ABSL_GUARDED_BY(mutex_) = 0;
  int in_flight_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t not_sent_ = 0;
  std::vector<Sample> samples_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace

LoadResult RunLoad(const LoadPlan& plan) { return Runner(plan).Run(); }

}  // namespace cherrydyke
