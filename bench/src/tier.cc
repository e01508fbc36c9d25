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

constexpr absl::Duration kRequestTimeout = absl::Seconds(5);

std::unique_ptr<Cluster> StartOrExit(const ClusterSpec& spec) {
  auto cluster = std::make_unique<Cluster>(spec);
  const std::string failure = cluster->Start();
  if (failure.empty()) return cluster;
  std::cerr << failure << "\n";
  std::exit(1);
}

LoadReport RunClusterLoad(const Cluster& cluster, LoadPlan plan) {
  plan.entries = cluster.AllEntryHttp();
  return MakeReport(RunLoad(plan));
}

LoadPlan MakeLoadPlan(const EntryName& entry, double rate, double seconds) {
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
  const double complete_fraction = all.answered == 0
                                       ? 0
                                       : static_cast<double>(all.complete) /
                                             static_cast<double>(all.answered);
  return {all.latency_ms.p50,
          all.latency_ms.p90,
          all.latency_ms.p99,
          all.latency_ms.p999,
          all.mean_coverage,
          complete_fraction,
          report.load_factor,
          static_cast<double>(all.requests - all.answered),
          static_cast<double>(all.wrong + all.no_response)};
}

// 140 shards with two replicas each on 40 targets; seven shards per target.
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

// Slows two of the 40 targets, which hold one replica of 14 of the 140 shards.
void InjectStragglers(Cluster& cluster, double extra_ms) {
  const std::vector<TargetId> targets = cluster.targets("wide");
  for (const size_t index : {size_t{3}, size_t{20}}) {
    cluster.InjectFault(targets[index], {{"straggle_ms", extra_ms}});
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
  RunClusterLoad(*cluster, MakeLoadPlan("wide-coverage", 10, 5));
  InjectStragglers(*cluster, variant.straggle_ms);
  LoadPlan plan = MakeLoadPlan("wide-coverage", 15, 20);
  plan.seed = 7;
  table.AddRow(variant.name, LoadRow(RunClusterLoad(*cluster, plan)));
}

/// Resources used by one process since its start.
struct ProcessCost {
  double cpu_s = 0;
  double gossip_bytes = 0;
  double platform_calls = 0;
  double resident_kb = 0;
};

// @return field `number` (from 1) of `/proc/PID/stat`, or 0 if it is absent.
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

ProcessCost ReadProcessCost(Cluster& cluster, const Endpoint& http, pid_t pid) {
  constexpr int kResidentPages = 24;
  ProcessCost cost;
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

bool AllDaemonsHaveRevision(Cluster& cluster, Revision revision) {
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
      "CPU time of the data path by query rate, 140 sub-requests per query "
      "(sum of all processes of a kind)",
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
        RunClusterLoad(*cluster, MakeLoadPlan("wide-coverage", rate, kSeconds));
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

Table MeasureAddedLatency() {
  ClusterSpec spec = SmallSpec(1);
  spec.services[0].targets = 1;
  spec.services[0].shards = 1;
  spec.services[0].replicas = 1;
  spec.services[0].service_ms = 0;
  spec.services[0].jitter_ms = 0;
  const auto cluster = StartOrExit(spec);
  cluster->WarmUp("small", "small");
  constexpr int kRequests = 3000;
  std::vector<double> through_tier_ms;
  std::vector<double> direct_ms;
  HttpClient entry(cluster->EntryHttp("sofia-1"));
  HttpClient target(cluster->TargetHttp("small-t0"));
  const std::string query =
      R"({"entry":"small","query":{"term":"a","every":16}})";
  for (int i = 0; i < kRequests; ++i) {
    absl::Time start = absl::Now();
    entry.Post("/v1/query", query, {}, kRequestTimeout);
    through_tier_ms.push_back(absl::ToDoubleMilliseconds(absl::Now() - start));
    start = absl::Now();
    target.Post("/search", R"({"query":{"term":"a","every":16}})",
                {{"X-Attempt-Id", "1-1"},
                 {"X-Deadline-Ms", "400"},
                 {"X-Shard", "small-s0"},
                 {"X-Index-Version", "41"}},
                kRequestTimeout);
    direct_ms.push_back(absl::ToDoubleMilliseconds(absl::Now() - start));
  }
  const Quantiles through_tier_quantiles = QuantilesOf(through_tier_ms);
  const Quantiles direct_quantiles = QuantilesOf(direct_ms);
  Table table("Latency added by the tier, one request at a time",
              {"path", "p50 ms", "p90 ms", "p99 ms"});
  table.AddRow("through the tier",
               {through_tier_quantiles.p50, through_tier_quantiles.p90,
                through_tier_quantiles.p99});
  table.AddRow(
      "direct to the target",
      {direct_quantiles.p50, direct_quantiles.p90, direct_quantiles.p99});
  table.AddRow("added", {through_tier_quantiles.p50 - direct_quantiles.p50,
                         through_tier_quantiles.p90 - direct_quantiles.p90,
                         through_tier_quantiles.p99 - direct_quantiles.p99});
  return table;
}

Table MeasureStragglers() {
  Table table(
      "140 shards on 40 targets, 15 queries/s; stragglers: for one shard in "
      "ten, one replica is 60 ms slower",
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

Table MeasureEntryClasses() {
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
      cluster->InjectFault(replica.get<TargetId>(), {{"straggle_ms", 150}});
    }
    cluster->target(targets[30]).Kill();
    LoadPlan plan = MakeLoadPlan(entry, 10, 20);
    plan.seed = 7;
    table.AddRow(entry, LoadRow(RunClusterLoad(*cluster, plan)));
  }
  return table;
}

Table MeasureDomainOutOfService() {
  ClusterSpec spec = SmallSpec(2);
  spec.domains = {"Sofia", "Plovdiv", "Varna"};
  const auto cluster = StartOrExit(spec);
  cluster->WarmUp("small", "small");
  LoadPlan plan = MakeLoadPlan("small", 80, 20);
  plan.balancer_lag = absl::Seconds(1);
  LoadReport report;
  std::thread load([&] { report = RunClusterLoad(*cluster, plan); });
  const auto set_domain_state = [&](const char* state) {
    cluster->PublishCatalogue(
        {{"failure_domains/Varna", {{"state", state}, {"region", "bg"}}}});
  };
  absl::SleepFor(absl::Seconds(6));
  set_domain_state("out");
  absl::SleepFor(absl::Seconds(6));
  set_domain_state("in");
  load.join();
  Table table(
      "One of three failure domains is out of service from 5 s to 11 s of a "
      "load of 80/s",
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
  Table table(
      "Time after a gate restart under a load of 100/s until its targets are",
      {"successes declared", "held s", "warm s"});
  for (const int successes : {10, 20, 40, 80}) {
    ClusterSpec spec = SmallSpec(3);
    spec.services[0].cold_successes = successes;
    const auto cluster = StartOrExit(spec);
    cluster->WarmUp("small", "small");
    LoadReport report;
    std::thread load([&] {
      report = RunClusterLoad(*cluster, MakeLoadPlan("small", 100, 14));
    });
    absl::SleepFor(absl::Seconds(1));
    HostId gate_host;
    for (const HostId& host : cluster->hosts()) {
      const json status =
          cluster->Get(cluster->GateHttp(host), "/v1/status").body;
      if (!status["targets"].empty()) gate_host = host;
    }
    cluster->gate(gate_host).Kill();
    cluster->StartGate(gate_host);
    const absl::Time start = absl::Now();
    const auto all_targets =
        [&](const std::function<bool(const std::string&)>& matches) {
          return [&cluster, gate_host, matches] {
            const json status =
                cluster->Get(cluster->GateHttp(gate_host), "/v1/status").body;
            if (!status.is_object() || status["targets"].empty()) return false;
            for (const json& target : status["targets"]) {
              if (!matches(target["state"].get<std::string>())) return false;
            }
            return true;
          };
        };
    WaitUntil(
        all_targets([](const std::string& state) { return state != "gone"; }));
    const double held_s = absl::ToDoubleSeconds(absl::Now() - start);
    WaitUntil(
        all_targets([](const std::string& state) { return state == "warm"; }));
    const double warm_s = absl::ToDoubleSeconds(absl::Now() - start);
    load.join();
    table.AddRow(absl::StrCat(successes), {held_s, warm_s});
  }
  return table;
}

Table MeasureControlPlane() {
  Table table(
      "Control plane of one failure domain without queries, one change per "
      "second: cost per daemon, and time until all daemons have a change",
      {"daemons", "cpu %", "sent B/s", "resident MB", "platform calls/s",
       "in force ms", "worst ms"});
  for (const int hosts : {2, 4, 8, 16}) {
    const auto cluster = StartOrExit(SmallSpec(hosts));
    const auto measure = [&] {
      ProcessCost sum;
      for (const HostId& host : cluster->hosts()) {
        for (const bool is_entry : {true, false}) {
          const ProcessCost cost = ReadProcessCost(
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
    const ProcessCost before = measure();
    const absl::Time start = absl::Now();
    for (int i = 0; i < 10; ++i) {
      json entry = cluster->catalogue()["entries/small"];
      entry["limits"]["concurrency"] = 10 + i;
      cluster->PublishCatalogue({{"entries/small", entry}});
      absl::SleepFor(absl::Seconds(1));
    }
    const double seconds = absl::ToDoubleSeconds(absl::Now() - start);
    const ProcessCost after = measure();
    double total_ms = 0;
    double worst_ms = 0;
    constexpr int kChanges = 10;
    for (int i = 0; i < kChanges; ++i) {
      json entry = cluster->catalogue()["entries/small"];
      entry["limits"]["concurrency"] = 30 + i;
      const absl::Time published = absl::Now();
      const Revision revision =
          cluster->PublishCatalogue({{"entries/small", entry}});
      while (!AllDaemonsHaveRevision(*cluster, revision))
        absl::SleepFor(absl::Milliseconds(1));
      const double propagation_ms =
          absl::ToDoubleMilliseconds(absl::Now() - published);
      total_ms += propagation_ms;
      worst_ms = std::max(worst_ms, propagation_ms);
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
