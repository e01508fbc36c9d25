#include "kernel/settings_reader.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"

namespace cherrydyke {
namespace {

uint32_t LineOf(const toml::node& node) { return node.source().begin.line; }

}  // namespace

std::variant<std::string, SettingsErrors> ReadSettingsFile(
    const std::string& path) {
  std::ifstream file(path);
  if (!file) return SettingsErrors{absl::StrCat(path, ": cannot be read")};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::variant<toml::table, SettingsErrors> ParseToml(const std::string& text,
                                                    const std::string& file) {
  toml::parse_result parsed = toml::parse(text, file);
  if (!parsed) {
    return SettingsErrors{absl::StrCat(
        file, ":", parsed.error().source().begin.line,
        ": expected TOML: ", std::string(parsed.error().description()))};
  }
  return std::move(parsed).table();
}

void SettingsReader::String(const std::string& section, const std::string& key,
                            std::string& value, bool required) {
  const toml::node* node = Find(section, key);
  if (node == nullptr) {
    if (required) AddMissingKeyError(section, key);
    return;
  }
  const auto text = node->value_exact<std::string>();
  if (!text || text->empty()) {
    AddError(*node, section, key, "a string that is not empty");
    return;
  }
  value = *text;
}

void SettingsReader::Integer(const std::string& section, const std::string& key,
                             int& value, int low, int high) {
  const toml::node* node = Find(section, key);
  if (node == nullptr) return;
  const auto number = node->value_exact<int64_t>();
  if (!number || *number < low || *number > high) {
    AddError(*node, section, key,
             absl::StrCat("an integer from ", low, " to ", high));
    return;
  }
  value = static_cast<int>(*number);
}

void SettingsReader::Number(const std::string& section, const std::string& key,
                            double& value, double low, double high) {
  const toml::node* node = Find(section, key);
  if (node == nullptr) return;
  const auto number = node->is_number() ? node->value<double>() : std::nullopt;
  if (!number || *number < low || *number > high) {
    AddError(*node, section, key,
             absl::StrCat("a number from ", low, " to ", high));
    return;
  }
  value = *number;
}

void SettingsReader::Boolean(const std::string& section, const std::string& key,
                             bool& value) {
  const toml::node* node = Find(section, key);
  if (node == nullptr) return;
  const auto flag = node->value_exact<bool>();
  if (!flag) {
    AddError(*node, section, key, "true or false");
    return;
  }
  value = *flag;
}

void SettingsReader::Choice(const std::string& section, const std::string& key,
                            std::string& value,
                            const std::set<std::string>& allowed) {
  const size_t errors_before = errors_.size();
  String(section, key, value, false);
  if (errors_.size() != errors_before || allowed.count(value) > 0) return;
  std::string expected = "one of";
  for (const std::string& word : allowed) absl::StrAppend(&expected, " ", word);
  AddError(*Find(section, key), section, key, expected);
}

void SettingsReader::StringList(const std::string& section,
                                const std::string& key,
                                std::vector<std::string>& value) {
  const toml::node* node = Find(section, key);
  if (node == nullptr) return AddMissingKeyError(section, key);
  const toml::array* const list = node->as_array();
  if (list == nullptr ||
      !(list->empty() || list->is_homogeneous<std::string>())) {
    return AddError(*node, section, key, "a list of strings");
  }
  for (const toml::node& entry : *list) {
    value.push_back(*entry.value_exact<std::string>());
  }
}

void SettingsReader::StringTable(const std::string& section,
                                 std::map<std::string, std::string>& value) {
  known_keys_[section];
  const toml::node* node = root_.get(section);
  const toml::table* table = node == nullptr ? nullptr : node->as_table();
  if (table == nullptr) {
    return AddErrorAtLine(node == nullptr ? 1 : LineOf(*node), section,
                          "expected a table of strings");
  }
  for (const auto& [key, entry] : *table) {
    String(section, std::string(key.str()), value[std::string(key.str())],
           true);
  }
}

void SettingsReader::Require(const std::string& section,
                             const std::string& key) {
  if (Find(section, key) == nullptr) AddMissingKeyError(section, key);
}

void SettingsReader::AddError(const std::string& section,
                              const std::string& key,
                              const std::string& expected) {
  if (const toml::node* node = Find(section, key)) {
    AddError(*node, section, key, expected);
  }
}

void SettingsReader::RejectUnknownKeys() {
  for (const auto& [section, node] : root_) {
    const std::string name(section.str());
    const auto known = known_keys_.find(name);
    if (known == known_keys_.end()) {
      AddErrorAtLine(LineOf(node), name, "unknown key");
      continue;
    }
    const toml::table* table = node.as_table();
    if (table == nullptr) {
      AddErrorAtLine(LineOf(node), name, "expected a table");
      continue;
    }
    for (const auto& [key, value] : *table) {
      const std::string key_name(key.str());
      if (known->second.count(key_name) > 0) continue;
      AddErrorAtLine(LineOf(value), name + "." + key_name, "unknown key");
    }
  }
}

const toml::node* SettingsReader::Find(const std::string& section,
                                       const std::string& key) {
  known_keys_[section].insert(key);
  const toml::node* node = root_.get(section);
  const toml::table* table = node == nullptr ? nullptr : node->as_table();
  return table == nullptr ? nullptr : table->get(key);
}

void SettingsReader::AddErrorAtLine(uint32_t line, const std::string& path,
                                    const std::string& message) {
  errors_.push_back(absl::StrCat(file_, ":", line, ": ", path, ": ", message));
}

void SettingsReader::AddError(const toml::node& node,
                              const std::string& section,
                              const std::string& key,
                              const std::string& expected) {
  AddErrorAtLine(LineOf(node), section + "." + key, "expected " + expected);
}

void SettingsReader::AddMissingKeyError(const std::string& section,
                                        const std::string& key) {
  const toml::node* node = root_.get(section);
  AddErrorAtLine(node == nullptr ? 1 : LineOf(*node), section + "." + key,
                 "expected a value, the key is missing");
}

}  // namespace cherrydyke
