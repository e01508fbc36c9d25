#include <iostream>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "ctl/explain.h"
#include "ctl/fleet.h"
#include "fakes/query_response_check.h"
#include "load/report.h"
#include "load/runner.h"
#include "support/cluster.h"
#include "wire/socket.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr int kMatchInterval = 16;

// Deployment of the organisation "cooperative". The desk service is scaled down
// from 10 instances of 3 searchers to 5; ledger and dues have their full size.
ClusterSpec CooperativeSpec() {
  ClusterSpec spec;
  spec.services = {
      {"desk", "cooperative", 15, 5, 3, 2, 25, 1, 10, 2, 1, {41}},
      {"ledger", "cooperative", 7, 7, 3, 4, 100, 1, 10, 3, 1, {41}},
      {"dues", "cooperative", 3, 3, 2, 4, 100, 1, 10, 3, 1, {41}}};
  spec.entries = {
      {"desk", "desk", "cooperative", "latency", "query", 2000, 128, 250, 800},
      {"ledger", "ledger", "cooperative", "coverage", "query", 500, 64},
      {"dues", "dues", "cooperative", "coverage", "query", 500, 64},
      {"refund", "ledger", "cooperative", "coverage", "action", 50, 16}};
  return spec;
}

void PrintHeading(const std::string& text) {
  std::cout << "\n== " << text << "\n" << std::flush;
}

bool g_failed = false;

void Expect(bool condition, const std::string& what) {
  if (condition) return;
  g_failed = true;
  std::cout << "   EXPECTATION FAILED: " << what << "\n";
}

void PrintResponse(const std::string& host, const std::string& entry,
                   const HttpJsonResponse& response) {
  if (response.status != 200) {
    std::cout << "   " << entry << " at " << host << ": refused with "
              << response.status << ", " << response.body.value("outcome", "?")
              << ", " << response.body.value("reason", "?") << ", retry after "
              << response.body.value("retry_after_ms", 0) << " ms\n";
    return;
  }
  const json& coverage = response.body["coverage"];
  std::cout << absl::StrFormat(
      "   %s at %s: %d results, index version %d, %s, coverage %.4f (%d of %d "
      "shards)\n",
      entry, host, response.body["results"].size(),
      response.body["snapshot"]["index_version"].get<int>(),
      coverage["complete"].get<bool>() ? "complete" : "PARTIAL",
      coverage["fraction"].get<double>(), coverage["answered"].get<int>(),
      coverage["shards"].get<int>());
  for (const json& missing : coverage["missing"]) {
    std::cout << "      missing " << missing["shard"].get<std::string>()
              << ", keys " << missing["range"].dump() << ": "
              << missing["reason"].get<std::string>() << "\n";
  }
}

HttpJsonResponse QueryAndCheck(Cluster& cluster, const HostId& host,
                               const EntryName& entry,
                               const std::string& term) {
  const HttpJsonResponse response =
      cluster.Query(host, entry, {{"term", term}, {"every", kMatchInterval}});
  PrintResponse(host, entry, response);
  const std::string error =
      response.status == 200
          ? CheckQueryResponse(response.text, {term, kMatchInterval})
          : "";
  Expect(error.empty(), error);
  return response;
}

void ShowQueries(Cluster& cluster) {
  PrintHeading(
      "Complete queries for the desk, the ledger and the dues register");
  for (const char* entry : {"desk", "ledger", "dues"}) {
    const HttpJsonResponse response =
        QueryAndCheck(cluster, "sofia-1", entry, "receipts");
    Expect(response.status == 200 &&
               response.body["coverage"]["complete"].get<bool>(),
           "a response with complete coverage");
  }
}

void ShowLostShard(Cluster& cluster) {
  PrintHeading("The same ledger query with every replica of one shard lost");
  const json& shard =
      cluster.catalogue()["services/ledger"]["shard_map"]["shards"][0];
  const auto replicas = shard["replicas"].get<std::vector<TargetId>>();
  for (const TargetId& replica : replicas) {
    cluster.target(replica).Kill();
    std::cout << "   killed " << replica << "\n";
  }
  const HttpJsonResponse response =
      QueryAndCheck(cluster, "plovdiv-1", "ledger", "term close");
  Expect(response.status == 200 &&
             !response.body["coverage"]["complete"].get<bool>(),
         "a response with status 200 and partial coverage");
  for (const TargetId& replica : replicas) cluster.StartTarget(replica);
  const bool is_complete = WaitUntil([&] {
    const HttpJsonResponse retry_response =
        cluster.Query("plovdiv-1", "ledger", {{"term", "again"}});
    return retry_response.status == 200 &&
           retry_response.body["coverage"]["complete"].get<bool>();
  });
  std::cout << "   targets restarted; coverage is "
            << (is_complete ? "complete again\n" : "NOT complete\n");
  Expect(is_complete, "complete coverage after the targets restarted");
}

void ShowAction(Cluster& cluster) {
  PrintHeading("A refund with one ticket, sent through two entries, runs once");
  const HttpJsonResponse ticket_response =
      cluster.Post(cluster.EntryHttp("sofia-1"), "/v1/tickets",
                   {{"entry", "refund"}, {"key", "a0"}});
  std::cout << "   ticket " << ticket_response.body.value("ticket", "none")
            << "\n";
  const json action = {{"ticket", ticket_response.body.value("ticket", "")},
                       {"entry", "refund"},
                       {"key", "a0"},
                       {"payload", {{"stotinki", 1250}}}};
  for (const char* host : {"sofia-1", "varna-1"}) {
    const HttpJsonResponse action_response =
        cluster.Post(cluster.EntryHttp(host), "/v1/actions", action);
    std::cout << "   " << host << ": "
              << action_response.body.value("outcome", "?") << " "
              << action_response.body.value("result", json()).dump() << "\n";
    Expect(action_response.body.value("outcome", "") == "done",
           "outcome \"done\" of the action");
  }
  const int64_t runs = cluster.SumStats("actions");
  std::cout << "   targets ran " << runs << " action\n";
  Expect(runs == 1, "exactly one run of the action");
}

void ShowDomainOut(Cluster& cluster) {
  PrintHeading("Failure domain Varna out of service and back under load");
  LoadPlan plan;
  plan.entries = cluster.AllEntryHttp();
  plan.mix = {{"desk", 3}, {"ledger", 1}};
  plan.rate_per_s = 60;
  plan.duration = absl::Seconds(9);
  plan.workers = 64;
  plan.balancer_lag = absl::Seconds(1);
  LoadResult result;
  std::thread load([&] { result = RunLoad(plan); });
  absl::SleepFor(absl::Seconds(3));
  cluster.PublishCatalogue(
      {{"failure_domains/Varna", {{"state", "out"}, {"region", "bg"}}}});
  std::cout << "   Varna is out of service\n" << std::flush;
  absl::SleepFor(absl::Seconds(3));
  cluster.PublishCatalogue(
      {{"failure_domains/Varna", {{"state", "in"}, {"region", "bg"}}}});
  std::cout << "   Varna is in service\n" << std::flush;
  load.join();
  const LoadReport report = MakeReport(result);
  std::cout << ReportTable(report);
  Expect(report.all.wrong == 0 && report.all.no_response == 0,
         "no wrong response and no aborted request");
}

void ShowTools(Cluster& cluster) {
  PrintHeading(
      "Operator tools: configuration revisions and spans of a request");
  FleetAddress fleet{cluster.PlatformHttp(),
                     PortOf(cluster.EntryHttp("sofia-1")),
                     PortOf(cluster.GateHttp("sofia-1"))};
  const auto daemons = ListDaemons(fleet);
  if (GetError(daemons) != nullptr) return;
  std::cout << RevisionTable(ReadStatuses(GetValue(daemons)));
  const HttpJsonResponse response =
      cluster.Query("sofia-1", "dues", {{"term", "explained"}});
  const std::string id = response.body.value("request_id", "");
  std::cout << "   request " << id << "\n"
            << SpanTree(CollectSpans(GetValue(daemons), id));
}

void ShowStop(Cluster& cluster) {
  PrintHeading("Graceful shutdown");
  for (const HostId& host : cluster.hosts()) {
    const int entry = cluster.entry(host).Stop().value_or(-1);
    const int gate = cluster.gate(host).Stop().value_or(-1);
    std::cout << "   " << host << ": entry exited with " << entry
              << ", gate with " << gate << "\n";
    Expect(entry == 0 && gate == 0, "exit code 0");
  }
}

int Main() {
  PrintHeading(
      "Starting the fake platform, fake targets and the tier in Sofia, Plovdiv "
      "and Varna");
  Cluster cluster(CooperativeSpec());
  const std::string failure = cluster.Start();
  if (!failure.empty()) {
    std::cout << failure << "\n";
    return 1;
  }
  for (const char* service : {"desk", "ledger", "dues"}) {
    Expect(cluster.WarmUp(service, service), "all targets warm");
  }
  std::cout << "   " << cluster.hosts().size() << " hosts, each an entry and a "
            << "gate; 25 targets, warm\n";
  ShowQueries(cluster);
  ShowLostShard(cluster);
  ShowAction(cluster);
  ShowDomainOut(cluster);
  ShowTools(cluster);
  ShowStop(cluster);
  std::cout << (g_failed ? "\nAt least one expectation failed.\n"
                         : "\nAll expectations were met.\n");
  return g_failed ? 1 : 0;
}

}  // namespace
}  // namespace cherrydyke

int main() { return cherrydyke::Main(); }
