#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <string>

#include "CLI/CLI.hpp"
#include "absl/strings/str_join.h"
#include "base/clock.h"
#include "engine/event_loop.h"
#include "kernel/command_line.h"
#include "platform/http_protocol_adapter.h"
#include "platform/published_decoder.h"
#include "platform/store_client.h"
#include "telemetry/log.h"
#include "tier/policy_file.h"
#include "tier/settings_file.h"
#include "tier/tier_host.h"

namespace cherrydyke {
namespace {

/// How often the settings file is checked: it may change without a signal.
constexpr absl::Duration kSettingsCheckPeriod = absl::Seconds(1);
/// Environment variable that holds the path of the settings file.
constexpr char kSettingsVariable[] = "CHERRYDYKE_SETTINGS";
/// Limit of log lines per second with the same message, as a multiple of the
/// limit for one outcome of requests: higher than that of all outcomes
/// together.
constexpr int kLogBudgetsPerMessage = 10;

// Reloads the settings file when it has changed or on a signal.
class SettingsWatcher {
 public:
  /// @param in_force what the file had at the start.
  SettingsWatcher(std::string path, TierSettingsFile in_force, TierHost& host)
      : path_(std::move(path)),
        in_force_(std::move(in_force)),
        host_(host),
        last_version_(FileVersion()) {}

  void Check() {
    if (FileVersion() != last_version_) Reload();
  }

  void Reload() {
    last_version_ = FileVersion();
    const auto read = ReadTierSettings(path_);
    if (const auto* errors = std::get_if<SettingsErrors>(&read)) {
      LogError("changed settings file rejected; keeping the previous settings",
               {{"fault", errors->front()}, {"faults", errors->size()}});
      return;
    }
    const auto& settings = std::get<TierSettingsFile>(read);
    host_.SetSeeds(settings.tier.seeds);
    LogInfo("settings file reloaded",
            {{"seeds", settings.tier.seeds.size()},
             {"not_in_force",
              absl::StrJoin(SettingsNotInForce(in_force_, settings), " ")}});
  }

 private:
  /// @return modification time in ns and size in bytes; zeros if the file
  /// cannot be read.
  std::pair<int64_t, int64_t> FileVersion() const {
    struct stat status = {};
    if (stat(path_.c_str(), &status) != 0) return {0, 0};
    return {status.st_mtim.tv_sec * 1'000'000'000 + status.st_mtim.tv_nsec,
            status.st_size};
  }

  const std::string path_;
  const TierSettingsFile in_force_;
  TierHost& host_;
  std::pair<int64_t, int64_t> last_version_;
};

int Serve(const std::string& path, const TierSettingsFile& settings,
          const Policy& policy) {
  // A log reader that stalls or exits must not block or end the daemon.
  signal(SIGPIPE, SIG_IGN);
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  StartLogging("cherrydyke-tier", settings.host_name,
               LogOutput::kStandardOutput);
  LimitLogRate(kLogBudgetsPerMessage * policy.log_lines);
  const BootClock clock;
  engine::EventLoop loop(clock);
  const platform::HttpProtocolAdapter face;
  const platform::JsonDecoder decoder;
  platform::StoreClient store(loop, settings.store_endpoint,
                              settings.tier.change_deadline);
  TierSettings tier = settings.tier;
  tier.policy = policy;
  tier.machine = LowerOf(tier.machine, ReportedResources());
  TierHost host(loop, std::move(tier), {face, decoder, store});
  // Before callers can connect: a signal without a handler ends the process.
  SettingsWatcher watcher(path, settings, host);
  loop.OnSignal(SIGTERM, [&] { host.BeginShutdown(); });
  loop.OnSignal(SIGINT, [&] { host.BeginShutdown(); });
  loop.OnSignal(SIGHUP, [&] { watcher.Reload(); });
  if (const Status started = host.Start(); GetError(started) != nullptr) {
    LogError("host failed to start", {{"error", GetError(started)->message}});
    return 1;
  }
  PrintReady({{"http", settings.tier.caller_endpoint}});
  LogInfo("started", {{"version", CHERRYDYKE_VERSION},
                      {"callers", settings.tier.caller_endpoint},
                      {"store", settings.store_endpoint}});
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
  CLI::App app("Routes callers' requests to targets on the platform",
               "cherrydyke-tier");
  app.add_option("--config", path,
                 "settings file; by default the one that "
                 "CHERRYDYKE_SETTINGS names");
  app.add_option("--policy", policy_path,
                 "file with the operator's policy; defaults without it");
  app.add_flag("--check", check, "check the settings and the policy, and exit");
  app.set_version_flag("--version", CHERRYDYKE_VERSION);
  if (const auto code = ParseCommandLine(app, argc, argv)) return *code;
  const auto read = ReadTierSettings(path);
  std::variant<Policy, SettingsErrors> policy;
  if (!policy_path.empty()) policy = ReadPolicy(policy_path);
  SettingsErrors errors;
  if (const auto* settings_errors = std::get_if<SettingsErrors>(&read)) {
    errors = *settings_errors;
  }
  if (const auto* policy_errors = std::get_if<SettingsErrors>(&policy)) {
    errors.insert(errors.end(), policy_errors->begin(), policy_errors->end());
  }
  if (!errors.empty()) return PrintSettingsErrors(errors);
  if (check) return 0;
  return Serve(path, std::get<TierSettingsFile>(read),
               std::get<Policy>(policy));
}

}  // namespace
}  // namespace cherrydyke

int main(int argc, char** argv) { return cherrydyke::Main(argc, argv); }
