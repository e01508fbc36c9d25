#pragma once

#include <istream>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {

/// One log line of a host.
struct LogLine {
  /// `absl::InfinitePast()` if the line has no valid time.
  absl::Time time;
  nlohmann::json fields;
};

/// The log lines of several hosts, ordered by time.
class LogLines {
 public:
  /// Adds the JSON lines of a stream. Text before the first brace of a line is
  /// ignored, because log collectors prepend names and times. Lines without a
  /// JSON object are only counted.
  void Read(std::istream& input);

  const std::vector<LogLine>& lines() const { return lines_; }
  int unreadable_count() const { return unreadable_count_; }

 private:
  std::vector<LogLine> lines_;
  int unreadable_count_ = 0;
};

/// The explanation of one request, derived from log lines.
struct LogExplanation {
  /// Whether any line belongs to the request.
  bool found = false;
  std::string text;
};

/// Explains the outcome of one request by its own log lines, the targets that
/// did not answer it, the number of other requests that these targets did not
/// answer at that time, and the state changes logged around it: those of these
/// targets on any host, and those of the host that handled the request.
LogExplanation ExplainRequest(const LogLines& log,
                              const std::string& request_id);

}  // namespace cherrydyke
