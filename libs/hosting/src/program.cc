#include "hosting/program.h"

#include <signal.h>
#include <unistd.h>

#include <iostream>
#include <set>

#include "CLI/CLI.hpp"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

HttpResponse JsonResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

HttpResponse SetPartitionedAddresses(
    PartitionedAddresses& partitioned_addresses, const std::string& body) {
  const nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("addresses") ||
      !parsed["addresses"].is_array()) {
    return JsonResponse(400, R"({"message":"addresses: expected an array"})");
  }
  std::set<std::string> addresses;
  for (const auto& address : parsed["addresses"]) {
    if (address.is_string()) addresses.insert(address.get<std::string>());
  }
  partitioned_addresses.Replace(std::move(addresses));
  return JsonResponse(200, "{}");
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

void RequestStop() { kill(getpid(), SIGTERM); }

int RunDaemonMain(int argc, char** argv, const std::string& name,
                  const std::string& description,
                  const std::function<int(const DaemonSettings&)>& run) {
  CLI::App app(description, name);
  std::string config;
  bool check = false;
  app.add_option("--config", config, "Settings file (TOML)")->required();
  app.add_flag("--check", check,
               "Check the settings, print each fault with file, line and key, "
               "and exit with 2 if there is one");
  app.set_version_flag("--version", name + " " + CHERRYDYKE_VERSION);
  if (const auto code = ParseCommandLine(app, argc, argv)) return *code;
  const auto settings = ReadSettings(config);
  if (const auto* faults = std::get_if<SettingsErrors>(&settings)) {
    return PrintSettingsErrors(*faults);
  }
  if (check) {
    std::cout << config << ": settings are valid\n";
    return 0;
  }
  const auto& valid = std::get<DaemonSettings>(settings);
  BlockStopSignals();
  StartLogging(name, valid.host_id);
  SetLogLevel(valid.log_level);
  return run(valid);
}

void AddOperatorRoutes(HttpServer& server, const OperatorApi& face) {
  server.Get("/livez", [](const HttpRequest&) {
    return JsonResponse(200, R"({"live":true})");
  });
  server.Get("/readyz", [face](const HttpRequest&) {
    return face.is_ready() ? JsonResponse(200, R"({"ready":true})")
                           : JsonResponse(503, R"({"ready":false})");
  });
  server.Get("/metrics", [face](const HttpRequest&) {
    HttpResponse response = JsonResponse(200, face.metrics.Render());
    response.content_type = "text/plain; version=0.0.4";
    return response;
  });
  server.Get("/v1/status", [face](const HttpRequest&) {
    return JsonResponse(200, face.status());
  });
  server.Get("/v1/spans", [face](const HttpRequest& request) {
    return JsonResponse(200,
                        face.spans.JsonFor(request.Parameter("request_id")));
  });
  server.Post("/v1/log_level", [](const HttpRequest& request) {
    if (SetLogLevel(request.Parameter("level"))) return JsonResponse(200, "{}");
    return JsonResponse(
        400, R"({"message":"level: expected debug, info, warning or error"})");
  });
  server.Post("/v1/drain", [face](const HttpRequest&) {
    face.drain();
    return JsonResponse(202, R"({"draining":true})");
  });
  if (!face.allow_faults) return;
  server.Post("/debug/cut", [face](const HttpRequest& request) {
    return SetPartitionedAddresses(face.partitioned_addresses, request.body);
  });
}

}  // namespace cherrydyke
