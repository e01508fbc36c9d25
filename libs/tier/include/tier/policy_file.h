#pragma once

#include <string>
#include <variant>

#include "dispatch/policy.h"
#include "kernel/settings_reader.h"

namespace cherrydyke {

/// Reads the operator's policy file (TOML); docs/OPERATIONS.md lists its keys.
/// @return the policy, or every fault with file, line, key and what was
/// expected.
std::variant<Policy, SettingsErrors> ReadPolicy(const std::string& path);
std::variant<Policy, SettingsErrors> ParsePolicy(const std::string& text,
                                                 const std::string& file);

}  // namespace cherrydyke
