#pragma once

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace spdlog {
class logger;
}  // namespace spdlog

namespace cherrydyke {

/// Keeps the log lines of this process that are written while it exists,
/// instead of letting them go to the output.
class LogCapture {
 public:
  LogCapture();
  ~LogCapture();
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  /// @return the lines with this message, in order.
  std::vector<nlohmann::json> LinesOf(const std::string& message) const;

 private:
  std::ostringstream lines_;
  std::shared_ptr<spdlog::logger> logger_before_;
};

}  // namespace cherrydyke
