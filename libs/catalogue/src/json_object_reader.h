#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace cherrydyke {

/// Reads the members of one JSON object and collects every fault with the path
/// of the member, so that one pass names all of them.
class JsonObjectReader {
 public:
  JsonObjectReader(std::string path, const nlohmann::json& object,
                   std::vector<std::string>& faults);

  std::string Text(const std::string& name, const std::string& fallback);
  std::string RequiredText(const std::string& name);
  int64_t Integer(const std::string& name, int64_t fallback, int64_t low,
                  int64_t high);
  double Number(const std::string& name, double fallback, double low,
                double high);
  /// @return the index of the member's text in `words`.
  size_t Choice(const std::string& name, const std::vector<std::string>& words,
                size_t fallback);
  /// @return the member if it is an object or array as asked, else null.
  const nlohmann::json* Object(const std::string& name, bool required);
  const nlohmann::json* Array(const std::string& name, bool required);

  /// Reports members that were not asked for.
  void RejectUnknown();

  void Fault(const std::string& name, const std::string& expected);
  std::string PathOf(const std::string& name) const;

 private:
  const nlohmann::json* Find(const std::string& name);

  const std::string path_;
  const nlohmann::json& object_;
  std::vector<std::string>& faults_;
  std::set<std::string> known_;
};

}  // namespace cherrydyke
