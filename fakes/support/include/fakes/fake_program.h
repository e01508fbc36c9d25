#pragma once

#include <functional>
#include <string>

#include "adapters/http_server.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {

/// Settings that all stand-ins have in common.
struct FakeSettings {
  std::string id;
  std::string address = "127.0.0.1";
  /// 0 lets the kernel choose.
  int port = 0;
  /// The stand-in's own section as JSON.
  nlohmann::json model;
};

/// Runs a stand-in's `main`: `--config FILE.toml`, `--check`, `--version` and
/// `--help`; the file has `[listen]` with `id`, `address` and `port`, and
/// `[model]` with a JSON text under `json`.
int RunFakeMain(int argc, char** argv, const std::string& name,
                const std::function<int(const FakeSettings&)>& run);

/// Serves a stand-in until the stop signal.
/// @param routes adds the routes.
/// @param stop ends requests that wait inside the model.
/// @return the exit code.
int ServeFake(const FakeSettings& settings, HttpServer::Options options,
              const std::function<void(HttpServer&)>& add_routes,
              const std::function<void()>& stop_model);

/// @return a JSON response.
HttpResponse MakeJsonResponse(const nlohmann::json& body, int status = 200);

}  // namespace cherrydyke
