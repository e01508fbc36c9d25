#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <thread>

#include "fakes/query_response_check.h"
#include "load/report.h"
#include "load/runner.h"
#include "support/cluster.h"

namespace cherrydyke {

/// @return a deployment with one service, "desk", of three shards with two
/// replicas each. Its entries are `desk` (queries, coverage class), `counter`
/// (queries, latency class, another owner) and `refund` (actions).
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

/// Starts a deployment; fails the test if that is not possible.
inline std::unique_ptr<Cluster> StartCluster(const ClusterSpec& spec) {
  auto cluster = std::make_unique<Cluster>(spec);
  CPPUNIT_ASSERT_EQUAL(std::string(), cluster->Start());
  return cluster;
}

/// @return whether the response has status 200, complete coverage and exactly
/// the documents that `query` matches.
inline bool IsCompleteAndCorrect(const HttpJsonResponse& answer,
                                 const DocumentQuery& query) {
  return answer.status == 200 &&
         CheckQueryResponse(answer.text, query).empty() &&
         answer.body["coverage"]["complete"].get<bool>();
}

/// Runs a load against all entry daemons of a cluster in a thread of its own.
class BackgroundLoad {
 public:
  BackgroundLoad(const Cluster& cluster, LoadPlan plan)
      : plan_(std::move(plan)) {
    plan_.entries = cluster.AllEntryHttp();
    thread_ = std::thread([this] { result_ = RunLoad(plan_); });
  }
  ~BackgroundLoad() {
    if (thread_.joinable()) thread_.join();
  }
  BackgroundLoad(const BackgroundLoad&) = delete;
  BackgroundLoad& operator=(const BackgroundLoad&) = delete;

  /// Waits until the load has ended. Call it at most once.
  LoadReport Join() {
    thread_.join();
    return MakeReport(result_);
  }

 private:
  LoadPlan plan_;
  LoadResult result_;
  std::thread thread_;
};

/// @return a load plan for a single catalogue entry.
inline LoadPlan MakeLoadPlan(const EntryName& entry, double rate_per_s,
                             double seconds) {
  LoadPlan plan;
  plan.mix = {{entry, 1}};
  plan.rate_per_s = rate_per_s;
  plan.duration = absl::Seconds(seconds);
  plan.workers = 64;
  return plan;
}

/// @return the first error that the load runner found in a response, or "".
inline std::string FirstResponseError(const LoadReport& report) {
  return report.errors.empty() ? "" : report.errors.front();
}

}  // namespace cherrydyke
