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

// Reads `entry=weight`.
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
                 "Entries, each IP:PORT; requests go to them in turn")
      ->required();
  run.add_option("--mix", options.mix,
                 "Catalogue entries with weights, ENTRY=WEIGHT")
      ->capture_default_str();
  run.add_option("--rate", plan.rate_per_s, "Arrivals a second")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  run.add_option("--seconds", options.seconds, "Length of the run")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  run.add_option("--timeout-ms", plan.timeout_ms,
                 "Timeout asked for; 0 leaves it to the entry");
  run.add_option("--workers", plan.workers, "Requests waiting at once")
      ->check(CLI::Range(1, 2000))
      ->capture_default_str();
  run.add_option("--every", plan.every, "One document in so many matches")
      ->check(CLI::PositiveNumber);
  run.add_option("--documents", plan.documents,
                 "Documents that the stand-ins hold");
  run.add_option("--distinct", plan.distinct_queries, "Distinct queries");
  run.add_option("--balancer-lag", options.balancer_lag_s,
                 "Seconds by which the balancer's knowledge of ready entries "
                 "lags; 0 sends to all");
  run.add_option("--seed", plan.seed, "Seed of the arrivals");
  run.add_option("--json", options.json_file, "Write the report as JSON here");
  run.add_option("--plot", options.plot_file, "Write a picture (SVG) here");
  run.add_flag("--quiet", options.quiet, "No progress lines");
}

int Main(int argc, char** argv) {
  CLI::App app(
      "Offers open-loop load to a tier over stand-in targets and checks every "
      "answer against what they hold",
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
      app.add_subcommand("compare", "Show two JSON reports side by side");
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
