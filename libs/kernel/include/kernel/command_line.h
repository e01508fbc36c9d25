#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace CLI {
class App;
}  // namespace CLI

namespace cherrydyke {

/// Parses a program's command line; prints help, version or the fault.
/// @return the exit code if the program is to end here: 0 after help or
/// version, 2 for a fault.
std::optional<int> ParseCommandLine(CLI::App& app, int argc, char** argv);

/// Prints the faults of settings.
/// @return the exit code of a program that does not start for them.
int PrintSettingsErrors(const std::vector<std::string>& faults);

/// Prints the line that tells that a program is listening.
/// @param addresses names and `IP:PORT` of what it listens on.
void PrintReady(
    const std::vector<std::pair<std::string, std::string>>& addresses);

}  // namespace cherrydyke
