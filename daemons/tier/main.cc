#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <string>

#include "CLI/CLI.hpp"
#include "base/clock.h"
#include "engine/event_loop.h"
#include "kernel/command_line.h"
#include "platform/http_protocol_adapter.h"
#include "platform/published_decoder.h"
#include "platform/store_client.h"
#include "telemetry/log.h"
#include "tier/policy_file.h"
#include "tier/settings_file.h"
#include "tier/tier_node.h"

namespace cherrydyke {
namespace {

/// How often the settings file is looked at: it may change without a signal.
constexpr absl::Duration kSettingsCheckPeriod = absl::Seconds(1);
/// Environment variable in which the platform names the settings file.
constexpr char kSettingsVariable[] = "CHERRYDYKE_SETTINGS";
/// Lines of one message in a second, in budgets of an outcome's: more than all
/// outcomes of requests together have.
constexpr int kBudgetsOfAMessage = 10;

// Re-reads the settings file when it has changed or a signal says so.
class SettingsWatcher {
 public:
  SettingsWatcher(std::string path, TierNode& node)
      : path_(std::move(path)), node_(node), seen_(Stamp()) {}

  void Check() {
    if (Stamp() != seen_) Reload();
  }

  void Reload() {
    seen_ = Stamp();
    const auto read = ReadTierFile(path_);
    if (const auto* faults = std::get_if<SettingsFaults>(&read)) {
      LogError("changed settings refused; the old ones stay",
               {{"fault", faults->front()}, {"faults", faults->size()}});
      return;
    }
    const auto& settings = std::get<TierFile>(read);
    node_.SetSeeds(settings.tier.seeds);
    LogInfo("settings read again", {{"seeds", settings.tier.seeds.size()}});
  }

 private:
  /// @return what tells two versions of the file apart.
  std::pair<int64_t, int64_t> Stamp() const {
    struct stat status = {};
    if (stat(path_.c_str(), &status) != 0) return {0, 0};
    return {status.st_mtim.tv_sec * 1'000'000'000 + status.st_mtim.tv_nsec,
            status.st_size};
  }

  const std::string path_;
  TierNode& node_;
  std::pair<int64_t, int64_t> seen_;
};

int Serve(const std::string& path, const TierFile& settings) {
  // A reader of the log that has stopped reading, or has gone, must not stop
  // the daemon.
  signal(SIGPIPE, SIG_IGN);
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  StartLogging("cherrydyke-tier", settings.host_name,
               LogOutput::kStandardOutput);
  LimitLines(kBudgetsOfAMessage * settings.tier.policy.log_lines);
  const BootClock clock;
  engine::EventLoop loop(clock);
  const platform::HttpProtocolAdapter face;
  const platform::JsonDecoder decoder;
  platform::StoreClient store(loop, settings.store_endpoint);
  TierNode node(loop, settings.tier, {face, decoder, store});
  if (const Status started = node.Start(); GetError(started) != nullptr) {
    LogError("not started", {{"error", GetError(started)->message}});
    return 1;
  }
  PrintReady({{"http", settings.tier.caller_endpoint}});
  LogInfo("started", {{"version", CHERRYDYKE_VERSION},
                      {"callers", settings.tier.caller_endpoint},
                      {"store", settings.store_endpoint}});
  SettingsWatcher watcher(path, node);
  loop.OnSignal(SIGTERM, [&] { node.BeginStop(); });
  loop.OnSignal(SIGINT, [&] { node.BeginStop(); });
  loop.OnSignal(SIGHUP, [&] { watcher.Reload(); });
  engine::TimerScope timers(loop);
  timers.Every(kSettingsCheckPeriod, [&] { watcher.Check(); });
  loop.Run();
  return 0;
}

int Main(int argc, char** argv) {
  const char* const from_environment = std::getenv(kSettingsVariable);
  std::string path = from_environment == nullptr ? "" : from_environment;
  std::string policy_path;
  bool check = false;
  CLI::App app("Serves callers on the users' platform", "cherrydyke-tier");
  app.add_option("--config", path,
                 "settings file; by default the one that the "
                 "environment names");
  app.add_option("--policy", policy_path,
                 "file with the operator's policy; without it, the defaults");
  app.add_flag("--check", check, "check the settings and the policy, and exit");
  app.set_version_flag("--version", CHERRYDYKE_VERSION);
  if (const auto code = ParseCommandLine(app, argc, argv)) return *code;
  auto read = ReadTierFile(path);
  std::variant<Policy, SettingsFaults> policy;
  if (!policy_path.empty()) policy = ReadPolicy(policy_path);
  SettingsFaults faults;
  if (const auto* of_settings = std::get_if<SettingsFaults>(&read)) {
    faults = *of_settings;
  }
  if (const auto* of_policy = std::get_if<SettingsFaults>(&policy)) {
    faults.insert(faults.end(), of_policy->begin(), of_policy->end());
  }
  if (!faults.empty()) return ReportFaults(faults);
  if (check) return 0;
  auto& settings = std::get<TierFile>(read);
  settings.tier.policy = std::get<Policy>(policy);
  return Serve(path, settings);
}

}  // namespace
}  // namespace cherrydyke

int main(int argc, char** argv) { return cherrydyke::Main(argc, argv); }
