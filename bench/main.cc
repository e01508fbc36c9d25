#include <fstream>
#include <functional>
#include <iostream>
#include <map>

#include "CLI/CLI.hpp"
#include "bench/experiments.h"
#include "hosting/program.h"

namespace cherrydyke {
namespace {

using Experiment = std::function<std::vector<Table>()>;

Experiment SingleTable(Table (*measure)()) {
  return [measure] {
    std::vector<Table> tables;
    tables.push_back(measure());
    return tables;
  };
}

int Main(int argc, char** argv) {
  const std::map<std::string, std::pair<std::string, Experiment>> experiments =
      {{"micro",
        {"Cost of operations without I/O, by problem size", MeasureMicro}},
       {"data-path",
        {"CPU time of the data path per sub-request",
         SingleTable(MeasureDataPath)}},
       {"fleet-shares",
        {"Time to recompute shares of fleet-wide limits, by fleet size",
         SingleTable(MeasureFleetShares)}},
       {"http-paths",
        {"HTTP exchanges with a thread per connection and with an event loop",
         SingleTable(MeasureHttpPaths)}},
       {"added-time",
        {"Latency added by the tier on an idle machine",
         SingleTable(MeasureAddedLatency)}},
       {"stragglers",
        {"Queries over 140 shards with stragglers, with and without hedging",
         SingleTable(MeasureStragglers)}},
       {"classes",
        {"The same faults under the entry classes coverage and latency",
         SingleTable(MeasureEntryClasses)}},
       {"domain",
        {"Responses while a failure domain is out of service",
         SingleTable(MeasureDomainOutOfService)}},
       {"warm-up",
        {"Time until targets are warm after a gate restart",
         SingleTable(MeasureWarmUp)}},
       {"control",
        {"Control-plane cost and propagation time, by number of daemons",
         SingleTable(MeasureControlPlane)}}};
  CLI::App app("Runs a benchmark experiment and prints its tables",
               "cherrydyke-bench");
  app.require_subcommand(1);
  std::string json_file;
  app.add_option("--json", json_file,
                 "Also write the tables as JSON to this file");
  for (const auto& [name, experiment] : experiments) {
    app.add_subcommand(name, experiment.first);
  }
  if (const auto code = ParseCommandLine(app, argc, argv)) return *code;
  std::string json = "[";
  const std::string experiment_name = app.get_subcommands().front()->get_name();
  for (const Table& table : experiments.at(experiment_name).second()) {
    std::cout << table.Text() << "\n";
    json += (json.size() > 1 ? ",\n" : "") + table.Json();
  }
  if (!json_file.empty()) std::ofstream(json_file) << json << "]\n";
  return 0;
}

}  // namespace
}  // namespace cherrydyke

int main(int argc, char** argv) { return cherrydyke::Main(argc, argv); }
