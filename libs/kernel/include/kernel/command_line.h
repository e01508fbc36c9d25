#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace CLI {
class App;
}  // namespace CLI

namespace cherrydyke {

/// Parses a program's command line and prints the help, the version or the
/// error, if any.
/// @return the exit code if the program must exit: 0 after help or version, 2
/// after an error. Otherwise nothing.
std::optional<int> ParseCommandLine(CLI::App& app, int argc, char** argv);

/// Prints errors of settings to standard error, one per line.
/// @return the exit code of a program that cannot start because of them.
int PrintSettingsErrors(const std::vector<std::string>& errors);

/// Prints a JSON line to standard output that reports that the program listens.
/// @param addresses name and `IP:PORT` of each listening socket.
void PrintReady(
    const std::vector<std::pair<std::string, std::string>>& addresses);

}  // namespace cherrydyke
