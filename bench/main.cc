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
      {{"micro", {"Costs of the logic alone against its sizes", MeasureMicro}},
       {"data-path",
        {"Processor time of the data path for each sub-request",
         SingleTable(MeasureDataPath)}},
       {"fleet-shares",
        {"Dividing shared limits against the fleet's size",
         SingleTable(MeasureFleetShares)}},
       {"http-paths",
        {"One exchange on a thread for each connection and on an event loop",
         SingleTable(MeasureHttpPaths)}},
       {"added-time",
        {"The tier's own added time on an idle machine",
         SingleTable(MeasureAddedLatency)}},
       {"stragglers",
        {"Queries over 140 shards against naive baselines",
         SingleTable(MeasureStragglers)}},
       {"classes",
        {"The same faults under both customers' classes",
         SingleTable(MeasureEntryClasses)}},
       {"domain",
        {"Service while a failure domain leaves and returns",
         SingleTable(MeasureDomainOutOfService)}},
       {"warm-up",
        {"Time until targets are warm after a gate restart",
         SingleTable(MeasureWarmUp)}},
       {"control",
        {"Cost of control and spread of a change against daemons",
         SingleTable(MeasureControlPlane)}}};
  CLI::App app("Measures cherrydyke; each experiment prints tables",
               "cherrydyke-bench");
  app.require_subcommand(1);
  std::string json_file;
  app.add_option("--json", json_file, "Also write the tables as JSON here");
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
