#include "support/log_capture.h"

#include "spdlog/sinks/ostream_sink.h"
#include "spdlog/spdlog.h"

namespace cherrydyke {

LogCapture::LogCapture() : logger_before_(spdlog::default_logger()) {
  auto logger = std::make_shared<spdlog::logger>(
      "capture", std::make_shared<spdlog::sinks::ostream_sink_mt>(lines_));
  // What `Log` writes are the fields of a JSON object.
  logger->set_pattern("{%v}");
  spdlog::set_default_logger(std::move(logger));
}

LogCapture::~LogCapture() { spdlog::set_default_logger(logger_before_); }

std::vector<nlohmann::json> LogCapture::LinesOf(
    const std::string& message) const {
  std::vector<nlohmann::json> found;
  std::istringstream lines(lines_.str());
  for (std::string line; std::getline(lines, line);) {
    nlohmann::json fields = nlohmann::json::parse(line);
    if (fields.at("msg") == message) found.push_back(std::move(fields));
  }
  return found;
}

}  // namespace cherrydyke
