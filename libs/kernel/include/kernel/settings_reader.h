#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#define TOML_EXCEPTIONS 0
#include "toml++/toml.h"

namespace cherrydyke {

/// Faults found in a settings file, each `file:line: key: what was expected`.
using SettingsErrors = std::vector<std::string>;

/// @return the file's text, or the fault that it cannot be read.
std::variant<std::string, SettingsErrors> ReadSettingsFile(
    const std::string& path);

/// @param file name for errors.
/// @return the tables of the text, or the fault that it is no TOML.
std::variant<toml::table, SettingsErrors> ParseToml(const std::string& text,
                                                    const std::string& file);

/// Reads the sections of one settings file, checks each value and collects
/// every fault with its line. A value that is absent or faulty keeps its
/// default.
class SettingsReader {
 public:
  SettingsReader(std::string file, const toml::table& root,
                 SettingsErrors& errors)
      : file_(std::move(file)), root_(root), errors_(errors) {}

  void String(const std::string& section, const std::string& key,
              std::string& value, bool required);
  void Integer(const std::string& section, const std::string& key, int& value,
               int low, int high);
  void Number(const std::string& section, const std::string& key, double& value,
              double low, double high);
  void Boolean(const std::string& section, const std::string& key, bool& value);
  void Choice(const std::string& section, const std::string& key,
              std::string& value, const std::set<std::string>& words);
  /// Reads a list, which must be there.
  void StringList(const std::string& section, const std::string& key,
                  std::vector<std::string>& value);
  /// Reads a whole section, which must be there, of any keys.
  void StringTable(const std::string& section,
                   std::map<std::string, std::string>& value);
  /// Adds a fault if a key is absent.
  void Require(const std::string& section, const std::string& key);
  /// Adds a fault at a key that is present.
  void AddError(const std::string& section, const std::string& key,
                const std::string& expected);
  /// Adds a fault for each key that was not asked for until now.
  void RejectUnknownKeys();

 private:
  const toml::node* Find(const std::string& section, const std::string& key);
  void AddErrorAtLine(uint32_t line, const std::string& path,
                      const std::string& what);
  void AddError(const toml::node& node, const std::string& section,
                const std::string& key, const std::string& expected);
  void AddMissingKeyError(const std::string& section, const std::string& key);

  const std::string file_;
  const toml::table& root_;
  SettingsErrors& errors_;
  std::map<std::string, std::set<std::string>> known_keys_;
};

}  // namespace cherrydyke
