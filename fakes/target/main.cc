#include "fakes/fake_program.h"
#include "target_model.h"

namespace cherrydyke {
namespace {

/// Each open connection occupies a thread.
constexpr int kServerThreads = 48;

int Run(const FakeSettings& settings) {
  TargetModel model(settings.id, settings.model);
  const auto add_routes = [&](HttpServer& server) {
    server.Post("/search", [&](const auto& r) { return model.Search(r); });
    server.Post("/act", [&](const auto& r) { return model.Act(r); });
    server.Post("/cancel", [&](const auto& r) { return model.Cancel(r); });
    server.Get("/health", [&](const auto& r) { return model.Health(r); });
    server.Post("/fault", [&](const auto& r) { return model.SetFaults(r); });
    server.Get("/stats", [&](const auto&) { return model.Stats(); });
  };
  return ServeFake(settings, {kServerThreads, 1U << 20U}, add_routes,
                   [&] { model.Stop(); });
}

}  // namespace
}  // namespace cherrydyke

int main(int argc, char** argv) {
  return cherrydyke::RunFakeMain(argc, argv, "fake-target", cherrydyke::Run);
}
