#include "telemetry/log.h"

#include <cmath>
#include <optional>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "nlohmann/json.hpp"
#include "spdlog/sinks/stdout_sinks.h"
#include "spdlog/spdlog.h"
#include "telemetry/log_rate_limiter.h"

namespace cherrydyke {
namespace {

struct LogIdentity {
  std::string program;
  std::string host;
};

absl::Mutex& RateLimitMutex() {
  static absl::Mutex mutex;
  return mutex;
}

struct LogRateLimit {
  std::optional<int> lines_per_second;
  LogRateLimiter limiter;
};

LogRateLimit& RateLimit() {
  static LogRateLimit limit;
  return limit;
}

bool AcquireLine(const std::string& message) {
  const absl::MutexLock lock(&RateLimitMutex());
  LogRateLimit& limit = RateLimit();
  return !limit.lines_per_second ||
         limit.limiter.TryAcquire(message, *limit.lines_per_second,
                                  absl::Now());
}

LogIdentity& Identity() {
  static LogIdentity identity;
  return identity;
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

// @return the text as a JSON string; invalid UTF-8 is replaced.
std::string Quoted(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

// Appends a value as JSON text. Building a JSON object for each line used a
// noticeable part of the CPU time under heavy load
// (docs/design/heavy-days.md).
struct AppendValue {
  std::string& text;

  void operator()(const std::string& value) const { text += Quoted(value); }
  void operator()(bool value) const { text += value ? "true" : "false"; }
  void operator()(int64_t value) const { absl::StrAppend(&text, value); }
  void operator()(double value) const {
    // JSON has no infinity and no NaN.
    if (std::isfinite(value)) {
      absl::StrAppendFormat(&text, "%.9g", value);
    } else {
      text += "null";
    }
  }
};

// Appends `"name":value`, after a comma unless the text is empty.
void Append(const Field& field, std::string& text) {
  if (!text.empty()) text += ',';
  // Field names are constants in the sources and need no escapes.
  absl::StrAppend(&text, "\"", field.name(), "\":");
  std::visit(AppendValue{text}, field.value());
}

}  // namespace

void StartLogging(const std::string& program, const std::string& host,
                  LogOutput output) {
  Identity() = {program, host};
  auto logger = output == LogOutput::kStandardError
                    ? spdlog::stderr_logger_mt("cherrydyke")
                    : spdlog::stdout_logger_mt("cherrydyke");
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ",%v})",
                      spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(logger);
}

bool SetLogLevel(const std::string& level) {
  for (const LogLevel known : {LogLevel::kDebug, LogLevel::kInfo,
                               LogLevel::kWarning, LogLevel::kError}) {
    if (level != LevelName(known)) continue;
    spdlog::set_level(ToSpdlog(known));
    return true;
  }
  return false;
}

bool IsLogged(LogLevel level) { return spdlog::should_log(ToSpdlog(level)); }

void LimitLogRate(int lines_per_message_and_second) {
  const absl::MutexLock lock(&RateLimitMutex());
  RateLimit().lines_per_second = lines_per_message_and_second;
}

int64_t TakeDroppedLines() {
  const absl::MutexLock lock(&RateLimitMutex());
  int64_t sum = 0;
  for (const auto& [message, lines] : RateLimit().limiter.TakeDroppedCounts()) {
    sum += lines;
  }
  return sum;
}

void Log(LogLevel level, const std::string& message, const Fields& fields) {
  if (!IsLogged(level)) return;
  if (level != LogLevel::kError && !AcquireLine(message)) return;
  // The logger's pattern adds the braces and the time of the JSON object.
  std::string line;
  for (const Field& field : Fields{{"level", LevelName(level)},
                                   {"program", Identity().program},
                                   {"host", Identity().host},
                                   {"msg", message}}) {
    Append(field, line);
  }
  for (const Field& field : fields) Append(field, line);
  spdlog::log(ToSpdlog(level), spdlog::string_view_t(line));
}

std::string FieldsToJson(const Fields& fields) {
  std::string text;
  for (const Field& field : fields) Append(field, text);
  return absl::StrCat("{", text, "}");
}

}  // namespace cherrydyke
