#include "kernel/command_line.h"

#include <cstdio>
#include <iostream>

#include "CLI/CLI.hpp"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

constexpr int kErrorExitCode = 2;

}  // namespace

std::optional<int> ParseCommandLine(CLI::App& app, int argc, char** argv) {
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kErrorExitCode;
  }
  return std::nullopt;
}

int PrintSettingsErrors(const std::vector<std::string>& errors) {
  for (const std::string& error : errors) std::cerr << error << "\n";
  return kErrorExitCode;
}

void PrintReady(
    const std::vector<std::pair<std::string, std::string>>& addresses) {
  nlohmann::ordered_json line = {{"ready", true}};
  for (const auto& [name, address] : addresses) line[name] = address;
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

}  // namespace cherrydyke
