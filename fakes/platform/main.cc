#include "fakes/fake_program.h"
#include "platform_model.h"

namespace cherrydyke {
namespace {

/// Each pending long poll occupies a thread.
constexpr int kServerThreads = 512;

int Run(const FakeSettings& settings) {
  PlatformModel model;
  const auto add_routes = [&](HttpServer& server) {
    server.Get("/v1/config", [&](const auto& r) { return model.GetConfig(r); });
    server.Get("/v1/hosts", [&](const auto& r) { return model.GetHosts(r); });
    server.Post("/admin/config",
                [&](const auto& r) { return model.PublishConfig(r); });
    server.Post("/admin/hosts",
                [&](const auto& r) { return model.PublishHosts(r); });
    server.Post("/fault", [&](const auto& r) { return model.SetFaults(r); });
    server.Get("/stats", [&](const auto&) { return model.Stats(); });
  };
  return ServeFake(settings, {kServerThreads, 16U << 20U}, add_routes,
                   [&] { model.Stop(); });
}

}  // namespace
}  // namespace cherrydyke

int main(int argc, char** argv) {
  return cherrydyke::RunFakeMain(argc, argv, "fake-platform", cherrydyke::Run);
}
