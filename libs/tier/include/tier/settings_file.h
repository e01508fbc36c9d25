#pragma once

#include <string>
#include <variant>
#include <vector>

#include "kernel/settings_reader.h"
#include "tier/tier_host.h"

namespace cherrydyke {

/// Content of a host's settings file.
struct TierSettingsFile {
  TierSettings tier;
  /// The host's name in log lines.
  std::string host_name;
  /// Address of the platform's store, which is the configuration service.
  Endpoint store_endpoint;

  friend bool operator==(const TierSettingsFile& a, const TierSettingsFile& b) {
    return a.tier == b.tier && a.host_name == b.host_name &&
           a.store_endpoint == b.store_endpoint;
  }
};

/// Reads a host's settings file (TOML, see `deploy/tier.toml.template`). Every
/// key is required but those of `change_deadlines` and `machine`; an unknown
/// key is an error.
/// @return the settings, or at least one error.
std::variant<TierSettingsFile, SettingsErrors> ReadTierSettings(
    const std::string& path);

/// As `ReadTierSettings`, from text.
/// @param file name for error messages.
std::variant<TierSettingsFile, SettingsErrors> ParseTierSettings(
    const std::string& text, const std::string& file);

/// @param in_force the settings with which the host was started.
/// @param changed those that the file has now.
/// @return the settings that differ and take effect only at the next start, by
/// section and key: all but `fleet.seeds`.
std::vector<std::string> SettingsNotInForce(const TierSettingsFile& in_force,
                                            const TierSettingsFile& changed);

}  // namespace cherrydyke
