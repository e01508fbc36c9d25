#pragma once

#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace cherrydyke {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One named value of a log line or a span.
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

/// Where lines go.
enum class LogOutput { kStandardError, kStandardOutput };

/// Sets the program and host named in every line and where lines go. Call once,
/// before other threads start.
void StartLogging(const std::string& program, const std::string& host,
                  LogOutput output = LogOutput::kStandardError);

/// Bounds the lines of each message that are written in a second, so that what
/// a peer sends or how a target behaves cannot flood the output. Unbounded
/// before the first call. Errors are always written.
void LimitLogRate(int per_message_and_second);

/// @return lines left out because of the limit since the last call.
int64_t TakeDroppedLines();

/// Changes the lowest level written; safe while the process runs.
/// @return false if `level` is not debug, info, warning or error.
bool SetLogLevel(const std::string& level);

/// @return whether lines of the level are written; ask before building costly
/// fields.
bool IsLogged(LogLevel level);

/// Writes one JSON line with the message and its fields.
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

/// @return the fields as one JSON object.
std::string FieldsToJson(const Fields& fields);

}  // namespace cherrydyke
