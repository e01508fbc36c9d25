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

/// Errors found in a settings file, each as `file:line: key: message`; an error
/// of the file as a whole has no key, and no line if the file cannot be read.
using SettingsErrors = std::vector<std::string>;

/// @return the file's text, or an error if the file cannot be read.
std::variant<std::string, SettingsErrors> ReadSettingsFile(
    const std::string& path);

/// @param file name used in errors.
/// @return the parsed table, or the syntax error.
std::variant<toml::table, SettingsErrors> ParseToml(const std::string& text,
                                                    const std::string& file);

/// Reads and validates the values of one settings file and collects all errors
/// with their lines. If a key is absent or its value is invalid, the output
/// argument keeps its value, the default; `Choice` stores also a string that is
/// not allowed.
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
              std::string& value, const std::set<std::string>& allowed);
  /// Reads a list, which is required.
  void StringList(const std::string& section, const std::string& key,
                  std::vector<std::string>& value);
  /// Reads all keys of a section, which is required.
  void StringTable(const std::string& section,
                   std::map<std::string, std::string>& value);
  /// Adds an error if the key is absent.
  void Require(const std::string& section, const std::string& key);
  /// Adds an error at the key's line if the key is present.
  void AddError(const std::string& section, const std::string& key,
                const std::string& expected);
  /// Adds an error for each section and key that has not been read so far.
  void RejectUnknownKeys();

 private:
  const toml::node* Find(const std::string& section, const std::string& key);
  void AddErrorAtLine(uint32_t line, const std::string& path,
                      const std::string& message);
  void AddError(const toml::node& node, const std::string& section,
                const std::string& key, const std::string& expected);
  void AddMissingKeyError(const std::string& section, const std::string& key);

  const std::string file_;
  const toml::table& root_;
  SettingsErrors& errors_;
  std::map<std::string, std::set<std::string>> known_keys_;
};

}  // namespace cherrydyke
