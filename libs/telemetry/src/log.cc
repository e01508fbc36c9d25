#include "telemetry/log.h"

#include <memory>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "nlohmann/json.hpp"
#include "spdlog/sinks/stdout_sinks.h"
#include "spdlog/spdlog.h"
#include "telemetry/log_budget.h"

namespace cherrydyke {
namespace {

struct LogIdentity {
  std::string program;
  std::string host;
};

absl::Mutex& LimitMutex() {
  static absl::Mutex mutex;
  return mutex;
}

std::unique_ptr<LogBudget>& Limit() {
  static std::unique_ptr<LogBudget> limit;
  return limit;
}

bool MayWrite(const std::string& message) {
  const absl::MutexLock lock(&LimitMutex());
  return Limit() == nullptr || Limit()->Take(message, absl::Now());
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

nlohmann::ordered_json ToJson(const Fields& fields) {
  nlohmann::ordered_json object = nlohmann::ordered_json::object();
  for (const Field& field : fields) {
    std::visit([&](const auto& value) { object[field.name()] = value; },
               field.value());
  }
  return object;
}

std::string Dump(const nlohmann::ordered_json& json) {
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
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

void LimitLines(int per_message_and_second) {
  const absl::MutexLock lock(&LimitMutex());
  Limit() = std::make_unique<LogBudget>(per_message_and_second);
}

int64_t TakeDroppedLines() {
  const absl::MutexLock lock(&LimitMutex());
  int64_t sum = 0;
  if (Limit() == nullptr) return sum;
  for (const auto& [message, lines] : Limit()->TakeDropped()) sum += lines;
  return sum;
}

void Log(LogLevel level, const std::string& message, const Fields& fields) {
  if (!IsLogged(level)) return;
  if (level != LogLevel::kError && !MayWrite(message)) return;
  Fields all = {{"level", LevelName(level)},
                {"program", Identity().program},
                {"host", Identity().host},
                {"msg", message}};
  all.insert(all.end(), fields.begin(), fields.end());
  const std::string line = Dump(ToJson(all));
  // The pattern opens and closes the object, so only its inside is passed on.
  spdlog::log(ToSpdlog(level), "{}", line.substr(1, line.size() - 2));
}

std::string FieldsToJson(const Fields& fields) { return Dump(ToJson(fields)); }

}  // namespace cherrydyke
