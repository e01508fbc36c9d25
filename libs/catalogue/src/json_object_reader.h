#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace cherrydyke {

/// Reads the members of one JSON object. Collects every error with the path of
/// its member, so that one pass reports all of them.
/// Methods that read a member return their fallback if the member is absent or
/// invalid; in the second case they add an error.
class JsonObjectReader {
 public:
  /// @param path path of the object in messages.
  /// @param errors receives the errors; has to outlive the reader.
  JsonObjectReader(std::string path, const nlohmann::json& object,
                   std::vector<std::string>& errors);

  std::string String(const std::string& name, const std::string& fallback);
  std::string RequiredString(const std::string& name);
  int64_t Integer(const std::string& name, int64_t fallback, int64_t low,
                  int64_t high);
  double Number(const std::string& name, double fallback, double low,
                double high);
  /// @return the index of the member's value in `words`.
  size_t Choice(const std::string& name, const std::vector<std::string>& words,
                size_t fallback);
  /// @return the member, or null if it is absent or of another type.
  const nlohmann::json* Object(const std::string& name, bool required);
  const nlohmann::json* Array(const std::string& name, bool required);

  /// Reports members that were not read.
  void RejectUnknownKeys();

  /// Adds the error `PATH: expected EXPECTED` for the member.
  void AddError(const std::string& name, const std::string& expected);
  std::string PathOf(const std::string& name) const;

 private:
  const nlohmann::json* Find(const std::string& name);

  const std::string path_;
  const nlohmann::json& object_;
  std::vector<std::string>& errors_;
  std::set<std::string> read_names_;
};

}  // namespace cherrydyke
