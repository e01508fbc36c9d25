#include "fakes/fake_program.h"

#include <iostream>

#include "CLI/CLI.hpp"
#include "hosting/program.h"
#include "telemetry/log.h"
#include "wire/socket.h"
#define TOML_EXCEPTIONS 0
#include "toml++/toml.h"

namespace cherrydyke {
namespace {

int ReportSettingsError(const std::string& file, const std::string& message) {
  std::cerr << file << ":" << message << "\n";
  return 2;
}

}  // namespace

int RunFakeMain(int argc, char** argv, const std::string& name,
                const std::function<int(const FakeSettings&)>& run) {
  CLI::App app("Fake program for tests: " + name, name);
  std::string file;
  bool check = false;
  app.add_option("--config", file, "Settings file (TOML)")->required();
  app.add_flag("--check", check, "Check the settings and exit");
  app.set_version_flag("--version", name + " " + CHERRYDYKE_VERSION);
  if (const auto code = ParseCommandLine(app, argc, argv)) return *code;
  const toml::parse_result parsed = toml::parse_file(file);
  if (!parsed) {
    return ReportSettingsError(
        file,
        std::to_string(parsed.error().source().begin.line) +
            ": expected TOML: " + std::string(parsed.error().description()));
  }
  FakeSettings settings;
  settings.id = parsed["listen"]["id"].value_or(name);
  settings.address = parsed["listen"]["address"].value_or("127.0.0.1");
  settings.port = parsed["listen"]["port"].value_or(0);
  const std::string model = parsed["model"]["json"].value_or("{}");
  settings.model = nlohmann::json::parse(model, nullptr, false);
  if (!settings.model.is_object()) {
    return ReportSettingsError(file, " model.json: expected a JSON object");
  }
  if (check) return 0;
  BlockStopSignals();
  StartLogging(name, settings.id);
  return run(settings);
}

int ServeFake(const FakeSettings& settings, HttpServer::Options options,
              const std::function<void(HttpServer&)>& add_routes,
              const std::function<void()>& stop_model) {
  HttpServer server(options);
  add_routes(server);
  const Result<int> port = server.Start(settings.address, settings.port);
  if (const Error* error = GetError(port)) {
    std::cerr << error->message << "\n";
    return 1;
  }
  PrintReady({{"http", MakeEndpoint(settings.address, GetValue(port))}});
  WaitForStopSignal();
  stop_model();
  server.Stop();
  return 0;
}

HttpResponse MakeJsonResponse(const nlohmann::json& body, int status) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

}  // namespace cherrydyke
