#include "tier/settings_file.h"

#include <utility>

namespace cherrydyke {
namespace {

constexpr int kHighestPort = 65'535;
/// Far above what any installation states; catches a wrong unit.
constexpr double kMostOfAFleet = 1e6;
constexpr double kLongestTimeS = 3600;

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
  reader.Number(section, key, seconds, 1, kLongestTimeS);
  value = absl::Seconds(seconds);
}

void ReadLimits(SettingsReader& reader, FleetLimits& bounds) {
  Seconds(reader, "limits", "retry_window_s", bounds.retry_window);
  for (const auto& [key, value] :
       {std::pair{"retry_ratio", &bounds.retry_ratio},
        {"retry_slack", &bounds.retry_slack},
        {"warmup_overage", &bounds.warmup_overage},
        {"warmup_slack", &bounds.warmup_slack}}) {
    reader.Require("limits", key);
    reader.Number("limits", key, *value, 0, kMostOfAFleet);
  }
}

}  // namespace

std::variant<TierFile, SettingsFaults> ReadTierFile(const std::string& path) {
  const auto text = ReadSettingsText(path);
  if (const auto* faults = std::get_if<SettingsFaults>(&text)) return *faults;
  return ParseTierFile(std::get<std::string>(text), path);
}

std::variant<TierFile, SettingsFaults> ParseTierFile(const std::string& text,
                                                     const std::string& file) {
  const auto parsed = ParseToml(text, file);
  if (const auto* broken = std::get_if<SettingsFaults>(&parsed)) return *broken;
  SettingsFaults faults;
  SettingsReader reader(file, std::get<toml::table>(parsed), faults);
  TierFile settings;
  TierSettings& tier = settings.tier;
  reader.Text("host", "id", settings.host_name, true);
  reader.Text("host", "failure_domain", tier.locality.failure_domain, true);
  reader.Text("host", "address", tier.locality.host, true);
  reader.TextTable("regions", tier.locality.regions);
  reader.Text("listen", "callers", tier.caller_endpoint, true);
  reader.Text("listen", "readiness", tier.ready_endpoint, true);
  reader.Text("listen", "metrics", tier.metrics_endpoint, true);
  reader.Require("fleet", "port");
  reader.Integer("fleet", "port", tier.fleet_port, 1, kHighestPort);
  std::vector<Endpoint> seeds;
  reader.Texts("fleet", "seeds", seeds);
  tier.seeds = HostsOf(seeds);
  reader.Text("platform", "address", settings.store_endpoint, true);
  ReadLimits(reader, tier.bounds);
  Seconds(reader, "shutdown", "grace_s", tier.stop_grace);
  reader.RejectUnknown();
  if (!faults.empty()) return faults;
  return settings;
}

}  // namespace cherrydyke
