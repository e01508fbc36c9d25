#include "tier/settings_file.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {
namespace {

constexpr int kMaxPort = 65'535;
/// Far above the limits of any installation; catches a wrong unit.
constexpr double kMaxFleetLimit = 1e6;
constexpr double kMaxTimeS = 3600;
constexpr double kMsPerS = 1000;
constexpr int kMaxMemoryMb = 1 << 20;
constexpr int kMaxDescriptors = 1 << 20;
constexpr size_t kBytesPerMb = 1U << 20U;

std::vector<HostId> HostsOf(const std::vector<Endpoint>& endpoints) {
  std::vector<HostId> hosts;
  for (const Endpoint& endpoint : endpoints) {
    hosts.push_back(endpoint.substr(0, endpoint.rfind(':')));
  }
  return hosts;
}

void Seconds(SettingsReader& reader, const std::string& section,
             const std::string& key, absl::Duration& value) {
  double seconds = 0;
  reader.Require(section, key);
  reader.Number(section, key, seconds, 1, kMaxTimeS);
  value = absl::Seconds(seconds);
}

/// Reads the deadlines of the kinds of changes; each is optional, and the
/// tightest counts.
void ReadChangeDeadlines(SettingsReader& reader, absl::Duration& deadline) {
  absl::Duration tightest = absl::InfiniteDuration();
  for (const char* const key : {"config_ms", "drain_ms", "evacuate_ms"}) {
    double ms = 0;
    reader.Number("change_deadlines", key, ms, 1, kMaxTimeS * kMsPerS);
    if (ms > 0) tightest = std::min(tightest, absl::Milliseconds(ms));
  }
  if (tightest != absl::InfiniteDuration()) deadline = tightest;
}

void ReadMachine(SettingsReader& reader, MachineResources& machine) {
  int memory_mb = 0;
  reader.Integer("machine", "memory_mb", memory_mb, 1, kMaxMemoryMb);
  int descriptors = 0;
  reader.Integer("machine", "descriptors", descriptors, 1, kMaxDescriptors);
  if (memory_mb > 0) {
    machine.memory_bytes = static_cast<size_t>(memory_mb) * kBytesPerMb;
  }
  if (descriptors > 0) machine.descriptors = static_cast<size_t>(descriptors);
}

void ReadLimits(SettingsReader& reader, FleetLimits& bounds) {
  Seconds(reader, "limits", "retry_window_s", bounds.retry_window);
  for (const auto& [key, value] :
       {std::pair{"retry_ratio", &bounds.retry_ratio},
        {"retry_slack", &bounds.retry_slack},
        {"warmup_overage", &bounds.warmup_overage},
        {"warmup_slack", &bounds.warmup_slack}}) {
    reader.Require("limits", key);
    reader.Number("limits", key, *value, 0, kMaxFleetLimit);
  }
}

}  // namespace

std::variant<TierSettingsFile, SettingsErrors> ReadTierSettings(
    const std::string& path) {
  const auto text = ReadSettingsFile(path);
  if (const auto* errors = std::get_if<SettingsErrors>(&text)) return *errors;
  return ParseTierSettings(std::get<std::string>(text), path);
}

std::variant<TierSettingsFile, SettingsErrors> ParseTierSettings(
    const std::string& text, const std::string& file) {
  const auto parsed = ParseToml(text, file);
  if (const auto* errors = std::get_if<SettingsErrors>(&parsed)) return *errors;
  SettingsErrors errors;
  SettingsReader reader(file, std::get<toml::table>(parsed), errors);
  TierSettingsFile settings;
  TierSettings& tier = settings.tier;
  reader.String("host", "id", settings.host_name, true);
  reader.String("host", "failure_domain", tier.locality.failure_domain, true);
  reader.String("host", "address", tier.locality.host, true);
  reader.StringTable("regions", tier.locality.regions);
  reader.String("listen", "callers", tier.caller_endpoint, true);
  reader.String("listen", "readiness", tier.ready_endpoint, true);
  reader.String("listen", "metrics", tier.metrics_endpoint, true);
  reader.Require("fleet", "port");
  reader.Integer("fleet", "port", tier.fleet_port, 1, kMaxPort);
  std::vector<Endpoint> seeds;
  reader.StringList("fleet", "seeds", seeds);
  tier.seeds = HostsOf(seeds);
  reader.String("platform", "address", settings.store_endpoint, true);
  ReadLimits(reader, tier.bounds);
  Seconds(reader, "shutdown", "grace_s", tier.shutdown_grace);
  ReadChangeDeadlines(reader, tier.change_deadline);
  ReadMachine(reader, tier.machine);
  reader.RejectUnknownKeys();
  if (!errors.empty()) return errors;
  return settings;
}

}  // namespace cherrydyke
