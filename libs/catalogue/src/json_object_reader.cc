#include "json_object_reader.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace cherrydyke {

JsonObjectReader::JsonObjectReader(std::string path,
                                   const nlohmann::json& object,
                                   std::vector<std::string>& errors)
    : path_(std::move(path)), object_(object), errors_(errors) {
  if (!object_.is_object()) {
    errors_.push_back(absl::StrCat(path_, ": expected an object"));
  }
}

std::string JsonObjectReader::PathOf(const std::string& name) const {
  return path_.empty() ? name : absl::StrCat(path_, ".", name);
}

void JsonObjectReader::AddError(const std::string& name,
                                const std::string& expected) {
  errors_.push_back(absl::StrCat(PathOf(name), ": expected ", expected));
}

const nlohmann::json* JsonObjectReader::Find(const std::string& name) {
  read_names_.insert(name);
  if (!object_.is_object()) return nullptr;
  const auto found = object_.find(name);
  return found == object_.end() ? nullptr : &*found;
}

std::string JsonObjectReader::String(const std::string& name,
                                     const std::string& fallback) {
  const nlohmann::json* member = Find(name);
  if (member == nullptr) return fallback;
  if (!member->is_string()) {
    AddError(name, "a string");
    return fallback;
  }
  return member->get<std::string>();
}

std::string JsonObjectReader::RequiredString(const std::string& name) {
  const nlohmann::json* member = Find(name);
  if (member == nullptr || !member->is_string() ||
      member->get<std::string>().empty()) {
    AddError(name, "a string that is not empty");
    return "";
  }
  return member->get<std::string>();
}

int64_t JsonObjectReader::Integer(const std::string& name, int64_t fallback,
                                  int64_t low, int64_t high) {
  const nlohmann::json* member = Find(name);
  if (member == nullptr) return fallback;
  const std::string expected =
      absl::StrCat("an integer from ", low, " to ", high);
  if (!member->is_number_integer()) {
    AddError(name, expected);
    return fallback;
  }
  const auto value = member->get<int64_t>();
  if (value < low || value > high) {
    AddError(name, expected);
    return fallback;
  }
  return value;
}

double JsonObjectReader::Number(const std::string& name, double fallback,
                                double low, double high) {
  const nlohmann::json* member = Find(name);
  if (member == nullptr) return fallback;
  const double value = member->is_number() ? member->get<double>() : low - 1;
  if (value < low || value > high) {
    AddError(name, absl::StrCat("a number from ", low, " to ", high));
    return fallback;
  }
  return value;
}

size_t JsonObjectReader::Choice(const std::string& name,
                                const std::vector<std::string>& words,
                                size_t fallback) {
  const nlohmann::json* member = Find(name);
  if (member == nullptr) return fallback;
  for (size_t i = 0; i < words.size(); ++i) {
    if (member->is_string() && member->get<std::string>() == words[i]) return i;
  }
  AddError(name, absl::StrCat("one of ", absl::StrJoin(words, ", ")));
  return fallback;
}

const nlohmann::json* JsonObjectReader::Object(const std::string& name,
                                               bool required) {
  const nlohmann::json* member = Find(name);
  if (member != nullptr && member->is_object()) return member;
  if (member != nullptr || required) AddError(name, "an object");
  return nullptr;
}

const nlohmann::json* JsonObjectReader::Array(const std::string& name,
                                              bool required) {
  const nlohmann::json* member = Find(name);
  if (member != nullptr && member->is_array()) return member;
  if (member != nullptr || required) AddError(name, "an array");
  return nullptr;
}

void JsonObjectReader::RejectUnknownKeys() {
  if (!object_.is_object()) return;
  for (const auto& [name, value] : object_.items()) {
    if (read_names_.count(name) == 0) {
      errors_.push_back(absl::StrCat(PathOf(name), ": unknown key"));
    }
  }
}

}  // namespace cherrydyke
