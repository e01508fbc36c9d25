#include <iostream>

#include "fakes/fake_program.h"
#include "hosting/program.h"
#include "platform_model.h"
#include "wire/socket.h"

namespace cherrydyke {
namespace {

/// Each waiting watch holds a thread.
constexpr int kThreads = 512;

int Run(const FakeSettings& settings) {
  PlatformModel model;
  HttpServer server({kThreads, 16U << 20U});
  server.Get("/v1/config", [&](const auto& r) { return model.GetConfig(r); });
  server.Get("/v1/hosts", [&](const auto& r) { return model.GetHosts(r); });
  server.Post("/admin/config",
              [&](const auto& r) { return model.PublishConfig(r); });
  server.Post("/admin/hosts",
              [&](const auto& r) { return model.PublishHosts(r); });
  server.Post("/fault", [&](const auto& r) { return model.SetFaults(r); });
  server.Get("/stats", [&](const auto&) { return model.Stats(); });
  const Result<int> port = server.Start(settings.address, settings.port);
  if (const Error* error = GetError(port)) {
    std::cerr << error->message << "\n";
    return 1;
  }
  PrintReady({{"http", MakeEndpoint(settings.address, GetValue(port))}});
  WaitForStopSignal();
  model.Stop();
  server.Stop();
  return 0;
}

}  // namespace
}  // namespace cherrydyke

int main(int argc, char** argv) {
  return cherrydyke::RunFakeMain(argc, argv, "fake-platform", cherrydyke::Run);
}
