#include <fstream>
#include <iostream>
#include <sstream>

#include "CLI/CLI.hpp"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "hosting/program.h"
#include "load/report.h"
#include "load/runner.h"

namespace cherrydyke {
namespace {

struct RunOptions {
  LoadPlan plan;
  double seconds = 10;
  double balancer_lag_s = 0;
  std::vector<std::string> mix = {"desk=1"};
  std::string json_file;
  std::string plot_file;
  bool quiet = false;
};

// Parses the `ENTRY=WEIGHT` arguments into the plan. The weight defaults to 1.
bool ParseMix(const std::vector<std::string>& arguments, LoadPlan& plan) {
  for (const std::string& argument : arguments) {
    const size_t equals = argument.find('=');
    WeightedEntry weighted_entry{argument.substr(0, equals), 1};
    const bool valid = equals == std::string::npos ||
                       (absl::SimpleAtod(argument.substr(equals + 1),
                                         &weighted_entry.weight) &&
                        weighted_entry.weight > 0);
    if (!valid || weighted_entry.entry.empty()) {
      std::cerr << "--mix: expected ENTRY=WEIGHT, got " << argument << "\n";
      return false;
    }
    plan.mix.push_back(weighted_entry);
  }
  return true;
}

bool WriteFile(const std::string& name, const std::string& text) {
  if (name.empty()) return true;
  std::ofstream file(name);
  file << text;
  if (file) return true;
  std::cerr << name << ": cannot be written\n";
  return false;
}

bool ReadFile(const std::string& name, std::string& text) {
  std::ifstream file(name);
  std::stringstream content;
  content << file.rdbuf();
  text = content.str();
  if (file) return true;
  std::cerr << name << ": cannot be read\n";
  return false;
}

int Run(RunOptions& options) {
  LoadPlan& plan = options.plan;
  if (!ParseMix(options.mix, plan)) return 2;
  plan.duration = absl::Seconds(options.seconds);
  plan.balancer_lag = absl::Seconds(options.balancer_lag_s);
  if (!options.quiet) {
    plan.progress = [](const std::string& line) { std::cerr << line << "\n"; };
  }
  const LoadReport report = MakeReport(RunLoad(plan));
  std::cout << ReportTable(report);
  const std::string json = ReportJson(report);
  const bool written = WriteFile(options.json_file, json) &&
                       WriteFile(options.plot_file, PlotReport(json));
  if (!written) return 2;
  return report.all.wrong == 0 ? 0 : 1;
}

int Compare(const std::string& first, const std::string& second) {
  std::string a;
  std::string b;
  if (!ReadFile(first, a) || !ReadFile(second, b)) return 2;
  std::cout << CompareReports(a, b);
  return 0;
}

int Plot(const std::string& report, const std::string& output) {
  std::string json;
  if (!ReadFile(report, json)) return 2;
  return WriteFile(output, PlotReport(json)) ? 0 : 2;
}

void AddRunOptions(CLI::App& run, RunOptions& options) {
  LoadPlan& plan = options.plan;
  run.add_option("--entry-http", plan.entries,
                 "HTTP addresses of the entries (IP:PORT), used round-robin")
      ->required();
  run.add_option("--mix", options.mix,
                 "Catalogue entries with weights, ENTRY=WEIGHT")
      ->capture_default_str();
  run.add_option("--rate", plan.rate_per_s, "Arrivals per second")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  run.add_option("--seconds", options.seconds, "Duration of the run")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  run.add_option("--timeout-ms", plan.timeout_ms,
                 "Timeout sent with each query; 0 leaves it to the entry");
  run.add_option("--workers", plan.workers,
                 "Maximum number of requests in flight")
      ->check(CLI::Range(1, 2000))
      ->capture_default_str();
  run.add_option("--every", plan.every,
                 "Each query matches one document in this many")
      ->check(CLI::PositiveNumber);
  run.add_option("--documents", plan.documents,
                 "Number of documents held by the fake targets");
  run.add_option("--distinct", plan.distinct_queries,
                 "Number of distinct queries");
  run.add_option("--balancer-lag", options.balancer_lag_s,
                 "Age in seconds of the readiness information that the "
                 "balancer uses; 0 sends to all entries");
  run.add_option("--seed", plan.seed, "Seed of the random arrivals");
  run.add_option("--json", options.json_file,
                 "Write the report as JSON to this file");
  run.add_option("--plot", options.plot_file,
                 "Write the timeline as SVG to this file");
  run.add_flag("--quiet", options.quiet, "Do not print progress");
}

int Main(int argc, char** argv) {
  CLI::App app(
      "Sends open-loop load to a tier over fake targets and checks every "
      "answer against their documents",
      "cherrydyke-load");
  app.set_version_flag("--version",
                       std::string("cherrydyke-load ") + CHERRYDYKE_VERSION);
  app.require_subcommand(1);
  RunOptions options;
  CLI::App* run = app.add_subcommand(
      "run", "Run a load; exit with 1 if an answer was wrong");
  AddRunOptions(*run, options);
  std::string first;
  std::string second;
  CLI::App* compare =
      app.add_subcommand("compare", "Compare two JSON reports side by side");
  compare->add_option("first", first)->required();
  compare->add_option("second", second)->required();
  std::string report;
  std::string output;
  CLI::App* plot =
      app.add_subcommand("plot", "Draw the timeline of a JSON report as SVG");
  plot->add_option("report", report)->required();
  plot->add_option("output", output)->required();
  if (const auto code = ParseCommandLine(app, argc, argv)) return *code;
  if (*run) return Run(options);
  if (*compare) return Compare(first, second);
  return Plot(report, output);
}

}  // namespace
}  // namespace cherrydyke

int main(int argc, char** argv) { return cherrydyke::Main(argc, argv); }
