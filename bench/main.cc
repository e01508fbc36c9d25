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

Experiment One(Table (*measure)()) {
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
         One(MeasureDataPath)}},
       {"fleet-shares",
        {"Dividing shared limits against the fleet's size",
         One(MeasureFleetShares)}},
       {"http-paths",
        {"One exchange on a thread for each connection and on an event loop",
         One(MeasureHttpPaths)}},
       {"added-time",
        {"The tier's own added time on an idle machine",
         One(MeasureAddedTime)}},
       {"stragglers",
        {"Queries over 140 shards against naive baselines",
         One(MeasureStragglers)}},
       {"classes",
        {"The same faults under both customers' classes", One(MeasureClasses)}},
       {"domain",
        {"Service while a failure domain leaves and returns",
         One(MeasureDomain)}},
       {"warm-up",
        {"Time until targets are warm after a gate restart",
         One(MeasureWarmUp)}},
       {"control",
        {"Cost of control and spread of a change against daemons",
         One(MeasureControl)}}};
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
  const std::string chosen = app.get_subcommands().front()->get_name();
  for (const Table& table : experiments.at(chosen).second()) {
    std::cout << table.Text() << "\n";
    json += (json.size() > 1 ? ",\n" : "") + table.Json();
  }
  if (!json_file.empty()) std::ofstream(json_file) << json << "]\n";
  return 0;
}

}  // namespace
}  // namespace cherrydyke

int main(int argc, char** argv) { return cherrydyke::Main(argc, argv); }
