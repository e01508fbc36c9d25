#pragma once

#include <string>
#include <variant>

#include "dispatch/policy.h"
#include "kernel/settings_reader.h"

namespace cherrydyke {

/// Reads the operator's policy file (TOML); docs/OPERATIONS.md lists its keys.
/// @return the policy, or all errors, each with the file, line, key and
/// expected value.
std::variant<Policy, SettingsErrors> ReadPolicy(const std::string& path);
/// As `ReadPolicy`, from text.
/// @param file name for error messages.
std::variant<Policy, SettingsErrors> ParsePolicy(const std::string& text,
                                                 const std::string& file);

}  // namespace cherrydyke
