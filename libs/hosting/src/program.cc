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
  const nlohmann::json body_json = nlohmann::json::parse(body, nullptr, false);
  if (!body_json.is_object() || !body_json.contains("addresses") ||
      !body_json["addresses"].is_array()) {
    return JsonResponse(400, R"({"message":"addresses: expected an array"})");
  }
  std::set<std::string> addresses;
  for (const auto& address : body_json["addresses"]) {
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
  app.add_flag(
      "--check", check,
      "Validate the settings, print each error with file, line and key, "
      "and exit with status 2 if there are any");
  app.set_version_flag("--version", name + " " + CHERRYDYKE_VERSION);
  if (const auto code = ParseCommandLine(app, argc, argv)) return *code;
  const auto settings = ReadSettings(config);
  if (const auto* errors = std::get_if<SettingsErrors>(&settings)) {
    return PrintSettingsErrors(*errors);
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

void AddOperatorRoutes(HttpServer& server, const OperatorApi& api) {
  server.Get("/livez", [](const HttpRequest&) {
    return JsonResponse(200, R"({"live":true})");
  });
  server.Get("/readyz", [api](const HttpRequest&) {
    return api.is_ready() ? JsonResponse(200, R"({"ready":true})")
                          : JsonResponse(503, R"({"ready":false})");
  });
  server.Get("/metrics", [api](const HttpRequest&) {
    HttpResponse response = JsonResponse(200, api.metrics.Render());
    response.content_type = "text/plain; version=0.0.4";
    return response;
  });
  server.Get("/v1/status", [api](const HttpRequest&) {
    return JsonResponse(200, api.status());
  });
  server.Get("/v1/spans", [api](const HttpRequest& request) {
    return JsonResponse(200,
                        api.spans.JsonFor(request.Parameter("request_id")));
  });
  server.Post("/v1/log_level", [](const HttpRequest& request) {
    if (SetLogLevel(request.Parameter("level"))) return JsonResponse(200, "{}");
    return JsonResponse(
        400, R"({"message":"level: expected debug, info, warning or error"})");
  });
  server.Post("/v1/drain", [api](const HttpRequest&) {
    api.drain();
    return JsonResponse(202, R"({"draining":true})");
  });
  if (!api.allow_faults) return;
  server.Post("/debug/cut", [api](const HttpRequest& request) {
    return SetPartitionedAddresses(api.partitioned_addresses, request.body);
  });
}

}  // namespace cherrydyke
