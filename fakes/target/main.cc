#include <iostream>

#include "fakes/fake_program.h"
#include "hosting/program.h"
#include "target_model.h"
#include "wire/socket.h"

namespace cherrydyke {
namespace {

/// Each open connection holds a thread.
constexpr int kThreads = 48;

int Run(const FakeSettings& settings) {
  TargetModel model(settings.id, settings.model);
  HttpServer server({kThreads, 1U << 20U});
  server.Post("/search", [&](const auto& r) { return model.Search(r); });
  server.Post("/act", [&](const auto& r) { return model.Act(r); });
  server.Post("/cancel", [&](const auto& r) { return model.Cancel(r); });
  server.Get("/health", [&](const auto& r) { return model.Health(r); });
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
  return cherrydyke::RunFakeMain(argc, argv, "fake-target", cherrydyke::Run);
}
