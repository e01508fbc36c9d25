#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "bench/experiments.h"
#include "load/report.h"
#include "load/runner.h"
#include "support/cluster.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr absl::Duration kTimeout = absl::Seconds(5);

std::unique_ptr<Cluster> StartOrExit(const ClusterSpec& spec) {
  auto cluster = std::make_unique<Cluster>(spec);
  const std::string failure = cluster->Start();
  if (failure.empty()) return cluster;
  std::cerr << failure << "\n";
  std::exit(1);
}

LoadReport Load(const Cluster& cluster, LoadPlan plan) {
  plan.entries = cluster.EveryEntryHttp();
  return MakeReport(RunLoad(plan));
}

LoadPlan PlanOf(const EntryName& entry, double rate, double seconds) {
  LoadPlan plan;
  plan.mix = {{entry, 1}};
  plan.rate_per_s = rate;
  plan.duration = absl::Seconds(seconds);
  plan.workers = 128;
  return plan;
}

const std::vector<std::string> kLoadColumns = {
    "variant",  "p50 ms",   "p90 ms",      "p99 ms",  "p99.9 ms",
    "coverage", "complete", "load factor", "refused", "wrong"};

std::vector<double> LoadRow(const LoadReport& report) {
  const EntryReport& all = report.all;
  const double complete = all.answered == 0
                              ? 0
                              : static_cast<double>(all.complete) /
                                    static_cast<double>(all.answered);
  return {all.latency_ms.p50,
          all.latency_ms.p90,
          all.latency_ms.p99,
          all.latency_ms.p999,
          all.mean_coverage,
          complete,
          report.load_factor,
          static_cast<double>(all.requests - all.answered),
          static_cast<double>(all.wrong + all.no_response)};
}

// 140 shards of two replicas on 40 targets, seven shards each.
ClusterSpec WideSpec(const std::string& settings, const std::string& canary) {
  ClusterSpec spec;
  spec.domains = {"Sofia", "Plovdiv"};
  spec.hosts_per_domain = 2;
  ServiceSpec wide;
  wide.name = "wide";
  wide.targets = 40;
  wide.shards = 140;
  wide.replicas = 2;
  wide.slots = 16;
  wide.cold_concurrency = 4;
  wide.cold_successes = 10;
  wide.service_ms = 4;
  wide.jitter_ms = 4;
  spec.services = {wide};
  for (const char* entry_class : {"coverage", "latency"}) {
    EntrySpec entry;
    entry.name = std::string("wide-") + entry_class;
    entry.service = "wide";
    entry.entry_class = entry_class;
    entry.canary = canary;
    entry.soft_deadline_ms = 120;
    entry.hard_deadline_ms = 400;
    spec.entries.push_back(entry);
  }
  spec.extra_settings = settings;
  return spec;
}

// Two of forty targets: one replica of 14 of the 140 shards.
void Straggle(Cluster& cluster, double extra_ms) {
  const std::vector<TargetId> targets = cluster.targets("wide");
  for (const size_t index : {size_t{3}, size_t{20}}) {
    cluster.Fault(targets[index], {{"straggle_ms", extra_ms}});
  }
}

struct Variant {
  std::string name;
  std::string settings;
  double straggle_ms = 0;
  std::string canary = "always";
};

void AddVariant(Table& table, const Variant& variant) {
  const auto cluster = StartOrExit(WideSpec(variant.settings, variant.canary));
  cluster->WarmUp("wide-coverage", "wide");
  Load(*cluster, PlanOf("wide-coverage", 10, 5));
  Straggle(*cluster, variant.straggle_ms);
  LoadPlan plan = PlanOf("wide-coverage", 15, 20);
  plan.seed = 7;
  table.AddRow(variant.name, LoadRow(Load(*cluster, plan)));
}

/// Processor time and gossip of one process so far.
struct Cost {
  double cpu_s = 0;
  double gossip_bytes = 0;
  double platform_calls = 0;
  double resident_kb = 0;
};

// @return field `number` (from 1) of the process's stat line.
double StatField(pid_t pid, int number) {
  std::ifstream stat(absl::StrCat("/proc/", pid, "/stat"));
  std::string word;
  for (int field = 1; stat >> word; ++field) {
    if (field == number) return std::strtod(word.c_str(), nullptr);
  }
  return 0;
}

double CpuSecondsOf(pid_t pid) {
  constexpr int kUserTicks = 14;
  constexpr int kSystemTicks = 15;
  return (StatField(pid, kUserTicks) + StatField(pid, kSystemTicks)) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

Cost CostOf(Cluster& cluster, const Endpoint& http, pid_t pid) {
  constexpr int kResidentPages = 24;
  Cost cost;
  cost.cpu_s = CpuSecondsOf(pid);
  cost.resident_kb = StatField(pid, kResidentPages) *
                     static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
  std::istringstream metrics(cluster.Get(http, "/metrics").text);
  for (std::string line; std::getline(metrics, line);) {
    const double value =
        std::strtod(line.substr(line.rfind(' ') + 1).c_str(), nullptr);
    if (line.rfind("cherrydyke_gossip_sent_bytes_total", 0) == 0) {
      cost.gossip_bytes = value;
    }
    if (line.rfind("cherrydyke_platform_calls_total", 0) == 0) {
      cost.platform_calls += value;
    }
  }
  return cost;
}

bool AllAt(Cluster& cluster, Revision revision) {
  for (const HostId& host : cluster.hosts()) {
    for (const Endpoint& http :
         {cluster.EntryHttp(host), cluster.GateHttp(host)}) {
      const json status = cluster.Get(http, "/v1/status").body;
      if (status.value("catalogue_revision", Revision{0}) < revision) {
        return false;
      }
    }
  }
  return true;
}

ClusterSpec SmallSpec(int hosts) {
  ClusterSpec spec;
  spec.domains = {"Sofia"};
  spec.hosts_per_domain = hosts;
  ServiceSpec service;
  service.name = "small";
  spec.services = {service};
  EntrySpec entry;
  entry.name = "small";
  entry.service = "small";
  spec.entries = {entry};
  return spec;
}

}  // namespace

Table MeasureDataPath() {
  Table table(
      "Processor time of the data path against the rate, 140 sub-requests a "
      "query (all entries and gates together)",
      {"queries/s", "sub-requests/s", "entry us/sub", "gate us/sub",
       "target us/sub", "p50 ms"});
  const auto cluster = StartOrExit(WideSpec("", "never"));
  cluster->WarmUp("wide-coverage", "wide");
  for (const double rate : {4.0, 8.0, 16.0, 32.0}) {
    const auto cpu = [&] {
      std::vector<double> seconds(3);
      for (const HostId& host : cluster->hosts()) {
        seconds[0] += CpuSecondsOf(cluster->entry(host).pid());
        seconds[1] += CpuSecondsOf(cluster->gate(host).pid());
      }
      for (const TargetId& target : cluster->targets("wide")) {
        seconds[2] += CpuSecondsOf(cluster->target(target).pid());
      }
      return seconds;
    };
    constexpr double kSeconds = 10;
    const std::vector<double> before = cpu();
    const LoadReport report =
        Load(*cluster, PlanOf("wide-coverage", rate, kSeconds));
    const std::vector<double> after = cpu();
    const double sub_requests =
        static_cast<double>(report.all.answered) * 140 * report.load_factor;
    std::vector<double> row = {sub_requests / kSeconds};
    for (size_t i = 0; i < before.size(); ++i) {
      row.push_back((after[i] - before[i]) * 1e6 / sub_requests);
    }
    row.push_back(report.all.latency_ms.p50);
    table.AddRow(absl::StrFormat("%.0f", rate), row);
  }
  return table;
}

Table MeasureAddedTime() {
  ClusterSpec spec = SmallSpec(1);
  spec.services[0].targets = 1;
  spec.services[0].shards = 1;
  spec.services[0].replicas = 1;
  spec.services[0].service_ms = 0;
  spec.services[0].jitter_ms = 0;
  const auto cluster = StartOrExit(spec);
  cluster->WarmUp("small", "small");
  constexpr int kRequests = 3000;
  std::vector<double> through;
  std::vector<double> direct;
  HttpClient entry(cluster->EntryHttp("sofia-1"));
  HttpClient target(cluster->TargetHttp("small-t0"));
  const std::string query =
      R"({"entry":"small","query":{"term":"a","every":16}})";
  for (int i = 0; i < kRequests; ++i) {
    absl::Time start = absl::Now();
    entry.Post("/v1/query", query, {}, kTimeout);
    through.push_back(absl::ToDoubleMilliseconds(absl::Now() - start));
    start = absl::Now();
    target.Post("/search", R"({"query":{"term":"a","every":16}})",
                {{"X-Attempt-Id", "1-1"},
                 {"X-Deadline-Ms", "400"},
                 {"X-Shard", "small-s0"},
                 {"X-Index-Version", "41"}},
                kTimeout);
    direct.push_back(absl::ToDoubleMilliseconds(absl::Now() - start));
  }
  const Quantiles a = QuantilesOf(through);
  const Quantiles b = QuantilesOf(direct);
  Table table("The tier's own added time, one request at a time",
              {"path", "p50 ms", "p90 ms", "p99 ms"});
  table.AddRow("through the tier", {a.p50, a.p90, a.p99});
  table.AddRow("straight to the target", {b.p50, b.p90, b.p99});
  table.AddRow("added", {a.p50 - b.p50, a.p90 - b.p90, a.p99 - b.p99});
  return table;
}

Table MeasureStragglers() {
  Table table(
      "140 shards on 40 targets, 15 queries/s; stragglers: one replica of one "
      "shard in ten is 60 ms slower",
      kLoadColumns);
  const std::string naive =
      "[routing]\nreplica_picker = \"random\"\nhedge_ratio = 0\n"
      "retry_ratio = 1\n";
  const std::string unhedged = "[routing]\nhedge_ratio = 0\n";
  AddVariant(table, {"tier, no stragglers", "", 0});
  AddVariant(table, {"tier, stragglers", "", 60});
  AddVariant(table, {"tier, no canary, stragglers", "", 60, "never"});
  AddVariant(table, {"no hedging, stragglers", unhedged, 60});
  AddVariant(table, {"naive, no stragglers", naive, 0, "never"});
  AddVariant(table, {"naive, stragglers", naive, 60, "never"});
  return table;
}

Table MeasureClasses() {
  Table table(
      "The same faults under both classes: 140 shards, one target of 40 lost, "
      "both replicas of seven shards slow by 150 ms",
      kLoadColumns);
  for (const char* entry : {"wide-coverage", "wide-latency"}) {
    const auto cluster = StartOrExit(WideSpec("", "always"));
    cluster->WarmUp("wide-coverage", "wide");
    const std::vector<TargetId> targets = cluster->targets("wide");
    const json& shards =
        cluster->catalogue()["services/wide"]["shard_map"]["shards"];
    for (const json& replica : shards[5]["replicas"]) {
      cluster->Fault(replica.get<TargetId>(), {{"straggle_ms", 150}});
    }
    cluster->target(targets[30]).Kill();
    LoadPlan plan = PlanOf(entry, 10, 20);
    plan.seed = 7;
    table.AddRow(entry, LoadRow(Load(*cluster, plan)));
  }
  return table;
}

Table MeasureDomain() {
  ClusterSpec spec = SmallSpec(2);
  spec.domains = {"Sofia", "Plovdiv", "Varna"};
  const auto cluster = StartOrExit(spec);
  cluster->WarmUp("small", "small");
  LoadPlan plan = PlanOf("small", 80, 20);
  plan.balancer_lag = absl::Seconds(1);
  LoadReport report;
  std::thread load([&] { report = Load(*cluster, plan); });
  const auto set = [&](const char* state) {
    cluster->PublishCatalogue(
        {{"failure_domains/Varna", {{"state", state}, {"region", "bg"}}}});
  };
  absl::SleepFor(absl::Seconds(6));
  set("out");
  absl::SleepFor(absl::Seconds(6));
  set("in");
  load.join();
  Table table(
      "A failure domain of three leaves at 5 s and returns at 11 s of a load "
      "of 80/s",
      {"second", "answered", "complete", "refused", "p50 ms", "p99 ms"});
  for (const SecondReport& second : report.timeline) {
    table.AddRow(
        absl::StrCat(second.second),
        {static_cast<double>(second.answered),
         static_cast<double>(second.complete),
         static_cast<double>(second.refused), second.p50_ms, second.p99_ms});
  }
  return table;
}

Table MeasureWarmUp() {
  Table table("A gate restarts under a load of 100/s: until its targets are",
              {"successes declared", "held s", "warm s"});
  for (const int successes : {10, 20, 40, 80}) {
    ClusterSpec spec = SmallSpec(3);
    spec.services[0].cold_successes = successes;
    const auto cluster = StartOrExit(spec);
    cluster->WarmUp("small", "small");
    LoadReport report;
    std::thread load(
        [&] { report = Load(*cluster, PlanOf("small", 100, 14)); });
    absl::SleepFor(absl::Seconds(1));
    HostId home;
    for (const HostId& host : cluster->hosts()) {
      const json status =
          cluster->Get(cluster->GateHttp(host), "/v1/status").body;
      if (!status["targets"].empty()) home = host;
    }
    cluster->gate(home).Kill();
    cluster->StartGate(home);
    const absl::Time start = absl::Now();
    const auto all = [&](const std::function<bool(const std::string&)>& is) {
      return [&cluster, home, is] {
        const json status =
            cluster->Get(cluster->GateHttp(home), "/v1/status").body;
        if (!status.is_object() || status["targets"].empty()) return false;
        for (const json& target : status["targets"]) {
          if (!is(target["state"].get<std::string>())) return false;
        }
        return true;
      };
    };
    WaitUntil(all([](const std::string& state) { return state != "gone"; }));
    const double held = absl::ToDoubleSeconds(absl::Now() - start);
    WaitUntil(all([](const std::string& state) { return state == "warm"; }));
    const double warm = absl::ToDoubleSeconds(absl::Now() - start);
    load.join();
    table.AddRow(absl::StrCat(successes), {held, warm});
  }
  return table;
}

Table MeasureControl() {
  Table table(
      "Control of one failure domain without traffic, one change a second: "
      "cost a daemon, and time until a change is in force everywhere",
      {"daemons", "cpu %", "sent B/s", "resident MB", "platform calls/s",
       "in force ms", "worst ms"});
  for (const int hosts : {2, 4, 8, 16}) {
    const auto cluster = StartOrExit(SmallSpec(hosts));
    const auto measure = [&] {
      Cost sum;
      for (const HostId& host : cluster->hosts()) {
        for (const bool is_entry : {true, false}) {
          const Cost cost = CostOf(
              *cluster,
              is_entry ? cluster->EntryHttp(host) : cluster->GateHttp(host),
              (is_entry ? cluster->entry(host) : cluster->gate(host)).pid());
          sum.cpu_s += cost.cpu_s;
          sum.gossip_bytes += cost.gossip_bytes;
          sum.platform_calls += cost.platform_calls;
          sum.resident_kb += cost.resident_kb;
        }
      }
      return sum;
    };
    const Cost before = measure();
    const absl::Time start = absl::Now();
    for (int i = 0; i < 10; ++i) {
      json entry = cluster->catalogue()["entries/small"];
      entry["limits"]["concurrency"] = 10 + i;
      cluster->PublishCatalogue({{"entries/small", entry}});
      absl::SleepFor(absl::Seconds(1));
    }
    const double seconds = absl::ToDoubleSeconds(absl::Now() - start);
    const Cost after = measure();
    double total_ms = 0;
    double worst_ms = 0;
    constexpr int kChanges = 10;
    for (int i = 0; i < kChanges; ++i) {
      json entry = cluster->catalogue()["entries/small"];
      entry["limits"]["concurrency"] = 30 + i;
      const absl::Time published = absl::Now();
      const Revision revision =
          cluster->PublishCatalogue({{"entries/small", entry}});
      while (!AllAt(*cluster, revision)) absl::SleepFor(absl::Milliseconds(1));
      const double ms = absl::ToDoubleMilliseconds(absl::Now() - published);
      total_ms += ms;
      worst_ms = std::max(worst_ms, ms);
    }
    const double daemons = 2.0 * hosts;
    table.AddRow(
        absl::StrCat(2 * hosts),
        {(after.cpu_s - before.cpu_s) / seconds / daemons * 100,
         (after.gossip_bytes - before.gossip_bytes) / seconds / daemons,
         after.resident_kb / daemons / 1024,
         (after.platform_calls - before.platform_calls) / seconds,
         total_ms / kChanges, worst_ms});
  }
  return table;
}

}  // namespace cherrydyke
