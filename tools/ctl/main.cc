#include <fstream>
#include <iostream>
#include <sstream>

#include "CLI/CLI.hpp"
#include "catalogue/checks.h"
#include "ctl/explain.h"
#include "ctl/fleet.h"
#include "ctl/log_explanation.h"
#include "hosting/program.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

struct Options {
  FleetAddress fleet;
  bool as_json = false;
  std::string file;
  std::string request_id;
  std::vector<std::string> logs;
  std::string host;
  std::string daemon = "both";
};

int CheckFile(const Options& options) {
  std::ifstream file(options.file);
  if (!file) {
    std::cerr << options.file << ": cannot be read\n";
    return 2;
  }
  std::stringstream text;
  text << file.rdbuf();
  const std::vector<std::string> errors =
      CheckCatalogueFile(options.file, text.str());
  if (options.as_json) {
    std::cout << json{{"valid", errors.empty()}, {"faults", errors}}.dump(2)
              << "\n";
  } else {
    for (const std::string& error : errors) std::cout << error << "\n";
    if (errors.empty()) std::cout << options.file << ": no errors found\n";
  }
  return errors.empty() ? 0 : 1;
}

// Calls `action` with the daemons of the fleet, or prints why the host list
// could not be read.
//
// @return the exit code.
template <typename Action>
int WithDaemons(const Options& options, const Action& action) {
  const auto daemons = ListDaemons(options.fleet);
  if (const Error* error = GetError(daemons)) {
    std::cerr << options.fleet.platform << ": " << error->message << "\n";
    return 1;
  }
  return action(GetValue(daemons));
}

void Print(const Options& options, const json& data, const std::string& text) {
  std::cout << (options.as_json ? data.dump(2) + "\n" : text);
}

int ShowRevisions(const Options& options) {
  return WithDaemons(options, [&](const auto& daemons) {
    const json statuses = ReadStatuses(daemons);
    Print(options, statuses, RevisionTable(statuses));
    return 0;
  });
}

int ShowTargets(const Options& options) {
  return WithDaemons(options, [&](const auto& daemons) {
    const json statuses = ReadStatuses(daemons);
    Print(options, statuses, TargetTable(statuses));
    return 0;
  });
}

int ExplainFromLogs(const Options& options) {
  LogLines log;
  for (const std::string& name : options.logs) {
    if (name == "-") {
      log.Read(std::cin);
      continue;
    }
    std::ifstream file(name);
    if (!file) {
      std::cerr << name << ": cannot be read\n";
      return 2;
    }
    log.Read(file);
  }
  const LogExplanation explanation = ExplainRequest(log, options.request_id);
  std::cout << explanation.text;
  return explanation.found ? 0 : 1;
}

int Explain(const Options& options) {
  if (!options.logs.empty()) return ExplainFromLogs(options);
  if (options.fleet.platform.empty()) {
    std::cerr << "explain: expected --logs or --platform\n";
    return 2;
  }
  return WithDaemons(options, [&](const auto& daemons) {
    const json spans = CollectSpans(daemons, options.request_id);
    Print(options, spans, SpanTree(spans));
    return spans.empty() ? 1 : 0;
  });
}

int Drain(const Options& options) {
  return WithDaemons(options, [&](const auto& daemons) {
    int drained = 0;
    for (const DaemonAddress& daemon : daemons) {
      const bool is_selected =
          options.daemon == "both" || options.daemon == daemon.kind;
      if (daemon.host != options.host || !is_selected) continue;
      const bool accepted = RequestDrain(daemon);
      std::cout << daemon.host << "/" << daemon.kind
                << (accepted ? ": shutting down gracefully\n"
                             : ": drain request not accepted\n");
      if (accepted) ++drained;
    }
    if (drained == 0) std::cerr << options.host << ": no daemon drained\n";
    return drained > 0 ? 0 : 1;
  });
}

CLI::Option* AddFleetOptions(CLI::App& command, Options& options) {
  CLI::Option* const platform =
      command.add_option("--platform", options.fleet.platform,
                         "The platform's IP:PORT, for the list of hosts");
  command
      .add_option("--entry-port", options.fleet.entry_port,
                  "HTTP port of entries")
      ->capture_default_str();
  command
      .add_option("--gate-port", options.fleet.gate_port, "HTTP port of gates")
      ->capture_default_str();
  command.add_flag("--json", options.as_json, "Print JSON for programs");
  return platform;
}

int Main(int argc, char** argv) {
  CLI::App app(
      "Shows and checks a cherrydyke tier.\n\nTypical use:\n"
      "  cherrydyke-ctl check catalogue.json      before publishing it\n"
      "  cherrydyke-ctl revisions --platform P    which revisions are in use\n"
      "  cherrydyke-ctl explain ID --platform P   where a request spent time\n"
      "  cherrydyke-ctl explain ID --logs *.log   why a request of the tier "
      "ended as it did",
      "cherrydyke-ctl");
  app.set_version_flag("--version",
                       std::string("cherrydyke-ctl ") + CHERRYDYKE_VERSION);
  app.require_subcommand(1);
  Options options;
  CLI::App* check = app.add_subcommand(
      "check",
      "Check a catalogue file, {\"entries/NAME\": {...}, ...}; print each "
      "error "
      "with file, line and key, and exit with 1 if there is one");
  check->add_option("file", options.file)->required();
  check->add_flag("--json", options.as_json, "Print JSON for programs");
  CLI::App* revisions =
      app.add_subcommand("revisions", "Show which revision each daemon uses");
  AddFleetOptions(*revisions, options)->required();
  CLI::App* targets =
      app.add_subcommand("targets", "Show targets with their gates and states");
  AddFleetOptions(*targets, options)->required();
  CLI::App* explain = app.add_subcommand(
      "explain",
      "Explain the outcome of one request from log lines or the daemons' "
      "spans");
  explain->add_option("request_id", options.request_id)->required();
  CLI::Option* const logs = explain->add_option(
      "--logs", options.logs,
      "Log files of hosts of the tier; - reads standard input");
  AddFleetOptions(*explain, options)->excludes(logs);
  CLI::App* drain =
      app.add_subcommand("drain", "Shut down the daemons of a host gracefully");
  drain->add_option("host", options.host)->required();
  drain->add_option("--daemon", options.daemon, "entry, gate or both")
      ->check(CLI::IsMember({"entry", "gate", "both"}))
      ->capture_default_str();
  AddFleetOptions(*drain, options)->required();
  if (const auto code = ParseCommandLine(app, argc, argv)) return *code;
  if (*check) return CheckFile(options);
  if (*revisions) return ShowRevisions(options);
  if (*targets) return ShowTargets(options);
  if (*explain) return Explain(options);
  return Drain(options);
}

}  // namespace
}  // namespace cherrydyke

int main(int argc, char** argv) { return cherrydyke::Main(argc, argv); }
