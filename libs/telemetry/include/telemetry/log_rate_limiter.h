#pragma once

#include <map>
#include <string>

#include "absl/time/time.h"

namespace cherrydyke {

/// Limits the log lines of each kind per second, so that high load cannot flood
/// the output. Reads no clock: the time is an argument.
class LogRateLimiter {
 public:
  /// @param kind key of the limit.
  /// @param lines_per_second most lines of this kind in a window of one second,
  /// which starts with the first line after the previous window.
  /// @return whether the line may be written; otherwise it counts as dropped.
  bool TryAcquire(const std::string& kind, int lines_per_second,
                  absl::Time now);

  /// @return number of lines dropped since the last call, for each kind that
  /// had any.
  std::map<std::string, int> TakeDroppedCounts();

 private:
  struct Window {
    absl::Time start;
    int written = 0;
    int dropped = 0;
  };
  std::map<std::string, Window> windows_;
};

}  // namespace cherrydyke
