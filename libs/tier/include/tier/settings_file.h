#pragma once

#include <string>
#include <variant>

#include "kernel/settings_reader.h"
#include "tier/tier_host.h"

namespace cherrydyke {

/// What a tier is told at its start.
struct TierSettingsFile {
  TierSettings tier;
  /// The host's name, for logs.
  std::string host_name;
  /// Where the platform's store answers.
  Endpoint store_endpoint;

  friend bool operator==(const TierSettingsFile& a, const TierSettingsFile& b) {
    return a.tier == b.tier && a.host_name == b.host_name &&
           a.store_endpoint == b.store_endpoint;
  }
};

/// Reads a tier's settings (TOML, as `deploy/tier.toml.template` lays them
/// out). Every key is needed; an unknown key is a fault.
/// @return the settings, or at least one fault.
std::variant<TierSettingsFile, SettingsErrors> ReadTierSettings(
    const std::string& path);

/// As `ReadTierSettings`, from text.
/// @param file name for faults.
std::variant<TierSettingsFile, SettingsErrors> ParseTierSettings(
    const std::string& text, const std::string& file);

}  // namespace cherrydyke
