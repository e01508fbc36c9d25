#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <thread>

#include "fakes/answer_check.h"
#include "load/report.h"
#include "load/runner.h"
#include "support/cluster.h"

namespace cherrydyke {

/// One service "desk" of three shards with two replicas each, for queries under
/// `desk` (coverage class), `counter` (latency class) and actions under
/// `refund`.
inline ClusterSpec DeskSpec() {
  ClusterSpec spec;
  ServiceSpec desk;
  desk.name = "desk";
  spec.services = {desk};
  EntrySpec query;
  query.name = "desk";
  query.service = "desk";
  EntrySpec counter = query;
  counter.name = "counter";
  counter.entry_class = "latency";
  counter.owner = "retornos";
  EntrySpec refund = query;
  refund.name = "refund";
  refund.kind = "action";
  spec.entries = {query, counter, refund};
  return spec;
}

/// Starts a deployment for a test, or fails it.
inline std::unique_ptr<Cluster> StartCluster(const ClusterSpec& spec) {
  auto cluster = std::make_unique<Cluster>(spec);
  CPPUNIT_ASSERT_EQUAL(std::string(), cluster->Start());
  return cluster;
}

/// @return whether the answer is a complete one that holds the truth.
inline bool IsWhole(const JsonAnswer& answer, const DocumentQuery& query) {
  return answer.status == 200 && CheckAnswer(answer.text, query).empty() &&
         answer.body["coverage"]["complete"].get<bool>();
}

/// A load that runs beside the test's own steps.
class BackgroundLoad {
 public:
  BackgroundLoad(const Cluster& cluster, LoadPlan plan)
      : plan_(std::move(plan)) {
    plan_.entries = cluster.EveryEntryHttp();
    thread_ = std::thread([this] { result_ = RunLoad(plan_); });
  }
  ~BackgroundLoad() {
    if (thread_.joinable()) thread_.join();
  }
  BackgroundLoad(const BackgroundLoad&) = delete;
  BackgroundLoad& operator=(const BackgroundLoad&) = delete;

  /// Waits for the end. @return the figures.
  LoadReport Join() {
    thread_.join();
    return MakeReport(result_);
  }

 private:
  LoadPlan plan_;
  LoadResult result_;
  std::thread thread_;
};

/// @return a plan of one entry at a rate for some seconds.
inline LoadPlan PlanOf(const EntryName& entry, double rate_per_s,
                       double seconds) {
  LoadPlan plan;
  plan.mix = {{entry, 1}};
  plan.rate_per_s = rate_per_s;
  plan.duration = absl::Seconds(seconds);
  plan.workers = 64;
  return plan;
}

/// @return the first fault found in answers, or "".
inline std::string FirstFault(const LoadReport& report) {
  return report.errors.empty() ? "" : report.errors.front();
}

}  // namespace cherrydyke
