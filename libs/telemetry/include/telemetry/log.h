#pragma once

#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace cherrydyke {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Named value in a log line or a span.
class Field {
 public:
  Field(std::string name, std::string value)
      : name_(std::move(name)), value_(std::move(value)) {}
  Field(std::string name, const char* value)
      : name_(std::move(name)), value_(std::string(value)) {}
  Field(std::string name, bool value) : name_(std::move(name)), value_(value) {}
  Field(std::string name, double value)
      : name_(std::move(name)), value_(value) {}
  template <typename Integer,
            typename = std::enable_if_t<std::is_integral_v<Integer>>>
  Field(std::string name, Integer value)
      : name_(std::move(name)), value_(static_cast<int64_t>(value)) {}

  const std::string& name() const { return name_; }
  const std::variant<std::string, bool, double, int64_t>& value() const {
    return value_;
  }

 private:
  std::string name_;
  std::variant<std::string, bool, double, int64_t> value_;
};

using Fields = std::vector<Field>;

/// Stream that log lines are written to.
enum class LogOutput { kStandardError, kStandardOutput };

/// Sets the program and host that each line contains, and the output stream.
/// Call once, before other threads start.
void StartLogging(const std::string& program, const std::string& host,
                  LogOutput output = LogOutput::kStandardError);

/// Limits the lines written per message and second, so that input from peers or
/// the behaviour of targets cannot flood the output. Lines are not limited
/// before the first call; lines of level error are never limited.
void LimitLogRate(int lines_per_message_and_second);

/// @return lines dropped because of the rate limit since the last call.
int64_t TakeDroppedLines();

/// Sets the lowest level that is written. Can be called at any time.
/// @return false if `level` is not debug, info, warning or error.
bool SetLogLevel(const std::string& level);

/// @return whether lines of this level are written. Check it before building
/// expensive fields.
bool IsLogged(LogLevel level);

/// Writes one JSON line with the message and the fields, unless its level or
/// the rate limit excludes it.
void Log(LogLevel level, const std::string& message, const Fields& fields = {});

inline void LogDebug(const std::string& message, const Fields& fields = {}) {
  Log(LogLevel::kDebug, message, fields);
}
inline void LogInfo(const std::string& message, const Fields& fields = {}) {
  Log(LogLevel::kInfo, message, fields);
}
inline void LogWarning(const std::string& message, const Fields& fields = {}) {
  Log(LogLevel::kWarning, message, fields);
}
inline void LogError(const std::string& message, const Fields& fields = {}) {
  Log(LogLevel::kError, message, fields);
}

/// @return the fields as a JSON object.
std::string FieldsToJson(const Fields& fields);

}  // namespace cherrydyke
