#include <iostream>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "ctl/explain.h"
#include "ctl/fleet.h"
#include "fakes/answer_check.h"
#include "load/report.h"
#include "load/runner.h"
#include "support/cluster.h"
#include "wire/socket.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr int kEvery = 16;

// The Cooperative's deployment: desk 10 instances of 3 searchers scaled to 5
// instances, ledger and dues register as they are.
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

void Heading(const std::string& text) {
  std::cout << "\n== " << text << "\n" << std::flush;
}

bool g_failed = false;

void Expect(bool condition, const std::string& what) {
  if (condition) return;
  g_failed = true;
  std::cout << "   NOT AS EXPECTED: " << what << "\n";
}

void PrintAnswer(const std::string& host, const std::string& entry,
                 const JsonAnswer& answer) {
  if (answer.status != 200) {
    std::cout << "   " << entry << " at " << host << ": refused with "
              << answer.status << ", " << answer.body.value("outcome", "?")
              << ", " << answer.body.value("reason", "?") << ", come back in "
              << answer.body.value("retry_after_ms", 0) << " ms\n";
    return;
  }
  const json& coverage = answer.body["coverage"];
  std::cout << absl::StrFormat(
      "   %s at %s: %d results, index version %d, %s, coverage %.4f (%d of %d "
      "shards)\n",
      entry, host, answer.body["results"].size(),
      answer.body["snapshot"]["index_version"].get<int>(),
      coverage["complete"].get<bool>() ? "complete" : "PARTIAL",
      coverage["fraction"].get<double>(), coverage["answered"].get<int>(),
      coverage["shards"].get<int>());
  for (const json& missing : coverage["missing"]) {
    std::cout << "      missing " << missing["shard"].get<std::string>()
              << ", keys " << missing["range"].dump() << ": "
              << missing["reason"].get<std::string>() << "\n";
  }
}

JsonAnswer Ask(Cluster& cluster, const HostId& host, const EntryName& entry,
               const std::string& term) {
  const JsonAnswer answer =
      cluster.Query(host, entry, {{"term", term}, {"every", kEvery}});
  PrintAnswer(host, entry, answer);
  const std::string fault =
      answer.status == 200 ? CheckAnswer(answer.text, {term, kEvery}) : "";
  Expect(fault.empty(), fault);
  return answer;
}

void ShowQueries(Cluster& cluster) {
  Heading("Complete queries for the desk, the ledger and the dues register");
  for (const char* entry : {"desk", "ledger", "dues"}) {
    const JsonAnswer answer = Ask(cluster, "sofia-1", entry, "receipts");
    Expect(
        answer.status == 200 && answer.body["coverage"]["complete"].get<bool>(),
        "a complete answer");
  }
}

void ShowLostShard(Cluster& cluster) {
  Heading("The same ledger query with every replica of one shard lost");
  const json& shard =
      cluster.catalogue()["services/ledger"]["shard_map"]["shards"][0];
  const auto replicas = shard["replicas"].get<std::vector<TargetId>>();
  for (const TargetId& replica : replicas) {
    cluster.target(replica).Kill();
    std::cout << "   killed " << replica << "\n";
  }
  const JsonAnswer answer = Ask(cluster, "plovdiv-1", "ledger", "term close");
  Expect(
      answer.status == 200 && !answer.body["coverage"]["complete"].get<bool>(),
      "a partial answer that says so");
  for (const TargetId& replica : replicas) cluster.StartTarget(replica);
  const bool whole = WaitUntil([&] {
    const JsonAnswer again =
        cluster.Query("plovdiv-1", "ledger", {{"term", "again"}});
    return again.status == 200 &&
           again.body["coverage"]["complete"].get<bool>();
  });
  std::cout << "   targets are back; answers are "
            << (whole ? "complete again\n" : "NOT complete\n");
  Expect(whole, "complete answers after the targets came back");
}

void ShowAction(Cluster& cluster) {
  Heading("A refund by ticket, sent twice through two entries, run once");
  const JsonAnswer ticket =
      cluster.Post(cluster.EntryHttp("sofia-1"), "/v1/tickets",
                   {{"entry", "refund"}, {"key", "a0"}});
  std::cout << "   ticket " << ticket.body.value("ticket", "none") << "\n";
  const json action = {{"ticket", ticket.body.value("ticket", "")},
                       {"entry", "refund"},
                       {"key", "a0"},
                       {"payload", {{"stotinki", 1250}}}};
  for (const char* host : {"sofia-1", "varna-1"}) {
    const JsonAnswer done =
        cluster.Post(cluster.EntryHttp(host), "/v1/actions", action);
    std::cout << "   " << host << ": " << done.body.value("outcome", "?") << " "
              << done.body.value("result", json()).dump() << "\n";
    Expect(done.body.value("outcome", "") == "done", "the action's outcome");
  }
  const int64_t runs = cluster.SumStats("actions");
  std::cout << "   targets ran " << runs << " action\n";
  Expect(runs == 1, "one run");
}

void ShowDomainOut(Cluster& cluster) {
  Heading("Failure domain Varna taken out and brought back under load");
  LoadPlan plan;
  plan.entries = cluster.EveryEntryHttp();
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
  std::cout << "   Varna is out\n" << std::flush;
  absl::SleepFor(absl::Seconds(3));
  cluster.PublishCatalogue(
      {{"failure_domains/Varna", {{"state", "in"}, {"region", "bg"}}}});
  std::cout << "   Varna is back\n" << std::flush;
  load.join();
  const LoadReport report = MakeReport(result);
  std::cout << ReportTable(report);
  Expect(report.all.wrong == 0 && report.all.no_response == 0,
         "no wrong answer and no cut request");
}

void ShowTools(Cluster& cluster) {
  Heading("What operators see");
  FleetAddress fleet{cluster.PlatformHttp(),
                     PortOf(cluster.EntryHttp("sofia-1")),
                     PortOf(cluster.GateHttp("sofia-1"))};
  const auto daemons = ListDaemons(fleet);
  if (GetError(daemons) != nullptr) return;
  std::cout << RevisionTable(ReadStatuses(GetValue(daemons)));
  const JsonAnswer answer =
      cluster.Query("sofia-1", "dues", {{"term", "explained"}});
  const std::string id = answer.body.value("request_id", "");
  std::cout << "   request " << id << "\n"
            << SpanTree(CollectSpans(GetValue(daemons), id));
}

void ShowStop(Cluster& cluster) {
  Heading("Graceful stop");
  for (const HostId& host : cluster.hosts()) {
    const int entry = cluster.entry(host).Stop().value_or(-1);
    const int gate = cluster.gate(host).Stop().value_or(-1);
    std::cout << "   " << host << ": entry exited with " << entry
              << ", gate with " << gate << "\n";
    Expect(entry == 0 && gate == 0, "exit code 0");
  }
}

int Main() {
  Heading("Starting stand-ins and the tier in Sofia, Plovdiv and Varna");
  Cluster cluster(CooperativeSpec());
  const std::string failure = cluster.Start();
  if (!failure.empty()) {
    std::cout << failure << "\n";
    return 1;
  }
  for (const char* service : {"desk", "ledger", "dues"}) {
    Expect(cluster.WarmUp(service, service), "warm targets");
  }
  std::cout << "   " << cluster.hosts().size() << " hosts, each an entry and a "
            << "gate; 25 targets, warm\n";
  ShowQueries(cluster);
  ShowLostShard(cluster);
  ShowAction(cluster);
  ShowDomainOut(cluster);
  ShowTools(cluster);
  ShowStop(cluster);
  std::cout << (g_failed ? "\nSomething was not as expected.\n"
                         : "\nEverything was as expected.\n");
  return g_failed ? 1 : 0;
}

}  // namespace
}  // namespace cherrydyke

int main() { return cherrydyke::Main(); }
