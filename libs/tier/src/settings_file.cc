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

std::vector<std::string> SettingsNotInForce(const TierSettingsFile& in_force,
                                            const TierSettingsFile& changed) {
  const TierSettings& a = in_force.tier;
  const TierSettings& b = changed.tier;
  const std::vector<std::pair<const char*, bool>> differences = {
      {"host.id", in_force.host_name != changed.host_name},
      {"host.failure_domain",
       a.locality.failure_domain != b.locality.failure_domain},
      {"host.address", a.locality.host != b.locality.host},
      {"regions", a.locality.regions != b.locality.regions},
      {"listen.callers", a.caller_endpoint != b.caller_endpoint},
      {"listen.readiness", a.ready_endpoint != b.ready_endpoint},
      {"listen.metrics", a.metrics_endpoint != b.metrics_endpoint},
      {"fleet.port", a.fleet_port != b.fleet_port},
      {"platform.address", in_force.store_endpoint != changed.store_endpoint},
      {"limits.retry_ratio", a.bounds.retry_ratio != b.bounds.retry_ratio},
      {"limits.retry_window_s", a.bounds.retry_window != b.bounds.retry_window},
      {"limits.retry_slack", a.bounds.retry_slack != b.bounds.retry_slack},
      {"limits.warmup_overage",
       a.bounds.warmup_overage != b.bounds.warmup_overage},
      {"limits.warmup_slack", a.bounds.warmup_slack != b.bounds.warmup_slack},
      {"shutdown.grace_s", a.shutdown_grace != b.shutdown_grace},
      {"change_deadlines", a.change_deadline != b.change_deadline},
      {"machine.memory_mb", a.machine.memory_bytes != b.machine.memory_bytes},
      {"machine.descriptors", a.machine.descriptors != b.machine.descriptors}};
  std::vector<std::string> names;
  for (const auto& [name, differs] : differences) {
    if (differs) names.emplace_back(name);
  }
  return names;
}

}  // namespace cherrydyke
