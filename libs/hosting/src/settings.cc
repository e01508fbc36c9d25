#include "hosting/settings.h"

#include <arpa/inet.h>

#include <set>

#include "absl/strings/str_cat.h"
#include "kernel/settings_reader.h"
#include "wire/socket.h"

namespace cherrydyke {
namespace {

constexpr int kMaxPort = 65'535;
constexpr int kMaxConcurrent = 4096;
constexpr double kMaxDrainLagS = 120;

bool IsIpv4(const std::string& text) {
  in_addr address{};
  return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

void ReadHost(SettingsReader& reader, DaemonSettings& settings) {
  reader.String("host", "id", settings.host_id, true);
  reader.String("host", "failure_domain", settings.failure_domain, true);
  reader.String("host", "address", settings.address, true);
  if (!settings.address.empty() && !IsIpv4(settings.address)) {
    reader.AddError("host", "address", "an IPv4 address");
  }
}

void ReadPorts(SettingsReader& reader, Ports& ports) {
  const std::pair<const char*, int*> keyed_ports[] = {
      {"entry_http", &ports.entry_http},
      {"gate_http", &ports.gate_http},
      {"gate_link", &ports.gate_link},
      {"entry_gossip", &ports.entry_gossip},
      {"gate_gossip", &ports.gate_gossip}};
  std::set<int> used_ports;
  for (const auto& [name, port] : keyed_ports) {
    reader.Integer("ports", name, *port, 1, kMaxPort);
    if (!used_ports.insert(*port).second) {
      reader.AddError("ports", name, "a port that no other key uses");
    }
  }
}

void ReadPlatform(SettingsReader& reader, DaemonSettings& settings) {
  reader.String("platform", "address", settings.platform, true);
  const bool valid = IsIpv4(AddressOf(settings.platform)) &&
                     PortOf(settings.platform) > 0 &&
                     PortOf(settings.platform) <= kMaxPort;
  if (!settings.platform.empty() && !valid) {
    reader.AddError("platform", "address", "IP:PORT");
  }
}

void ReadPolicies(SettingsReader& reader, DaemonSettings& settings) {
  RoutingSettings& routing = settings.routing;
  reader.Choice("routing", "replica_picker", routing.replica_picker,
                {"pick_of_two", "least_expected", "random"});
  reader.Number("routing", "hedge_ratio", routing.hedge_ratio, 0, 1);
  reader.Number("routing", "retry_ratio", routing.retry_ratio, 0, 1);
  reader.Number("routing", "hedge_quantile", routing.hedge_quantile, 0.5,
                0.999);
  reader.Integer("admission", "max_concurrent",
                 settings.admission.max_concurrent, 1, kMaxConcurrent);
  reader.Number("admission", "owner_reserve", settings.admission.owner_reserve,
                0, 0.9);
  reader.Choice("targets", "protocol", settings.target_protocol, {"http"});
  reader.Choice("log", "level", settings.log_level,
                {"debug", "info", "warning", "error"});
  reader.Number("shutdown", "drain_lag_s", settings.drain_lag_s, 0,
                kMaxDrainLagS);
  reader.Boolean("testing", "allow_faults", settings.allow_faults);
}

}  // namespace

std::variant<DaemonSettings, SettingsErrors> ParseSettings(
    const std::string& file_name, const std::string& text) {
  const auto parsed = ParseToml(text, file_name);
  if (const auto* syntax_errors = std::get_if<SettingsErrors>(&parsed))
    return *syntax_errors;
  DaemonSettings settings;
  SettingsErrors errors;
  SettingsReader reader(file_name, std::get<toml::table>(parsed), errors);
  ReadHost(reader, settings);
  ReadPorts(reader, settings.ports);
  ReadPlatform(reader, settings);
  ReadPolicies(reader, settings);
  reader.RejectUnknownKeys();
  if (!errors.empty()) return errors;
  return settings;
}

std::variant<DaemonSettings, SettingsErrors> ReadSettings(
    const std::string& file_name) {
  const auto text = ReadSettingsFile(file_name);
  if (const auto* errors = std::get_if<SettingsErrors>(&text)) return *errors;
  return ParseSettings(file_name, std::get<std::string>(text));
}

}  // namespace cherrydyke
