#pragma once

#include <functional>
#include <string>

#include "adapters/http_server.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {

/// Settings common to all fake programs.
struct FakeSettings {
  std::string id;
  std::string address = "127.0.0.1";
  /// 0 selects a free port.
  int port = 0;
  /// Settings of the program's model.
  nlohmann::json model;
};

/// Implements `main` of a fake program with the options `--config FILE.toml`,
/// `--check`, `--version` and `--help`. The file has `[listen]` with `id`,
/// `address` and `port`, and `[model]` with a JSON object as text under `json`.
/// @param run runs the program and returns its exit code.
/// @return the exit code; 2 if the settings are invalid.
int RunFakeMain(int argc, char** argv, const std::string& name,
                const std::function<int(const FakeSettings&)>& run);

/// Serves HTTP until the stop signal.
/// @param add_routes adds the routes to the server before it starts.
/// @param stop_model ends requests that wait inside the model.
/// @return the exit code; 1 if the server can't listen.
int ServeFake(const FakeSettings& settings, HttpServer::Options options,
              const std::function<void(HttpServer&)>& add_routes,
              const std::function<void()>& stop_model);

HttpResponse MakeJsonResponse(const nlohmann::json& body, int status = 200);

}  // namespace cherrydyke
