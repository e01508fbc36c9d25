#pragma once

#include <istream>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {

/// One log line of a host.
struct LogLine {
  /// The infinite past if the line has none.
  absl::Time time;
  nlohmann::json fields;
};

/// The log lines of several hosts, in the order of their times.
class LogLines {
 public:
  /// Takes the JSON lines of a stream. Text before the first brace of a line is
  /// passed over, as collectors put names and times there; lines without JSON
  /// are counted.
  void Read(std::istream& input);

  const std::vector<LogLine>& lines() const { return lines_; }
  int unreadable_count() const { return unreadable_count_; }

 private:
  std::vector<LogLine> lines_;
  int unreadable_count_ = 0;
};

/// What the lines tell of one request.
struct LogExplanation {
  /// Whether any line names the request.
  bool found = false;
  std::string text;
};

/// Tells one request's story: its own lines, what was believed of the targets
/// that did not answer it and of the configuration at the time, and how many
/// other requests met the same targets.
LogExplanation ExplainRequest(const LogLines& log,
                              const std::string& request_id);

}  // namespace cherrydyke
