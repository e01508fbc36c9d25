#pragma once

#include <map>
#include <string>

#include "absl/time/time.h"

namespace cherrydyke {

/// Bounds the log lines of each kind in a second, so that load cannot turn into
/// a flood of output. Pure: time is an argument.
class LogRateLimiter {
 public:
  /// @param per_second lines of this kind.
  /// @return whether a line of this kind may be written; one that may not is
  /// counted.
  bool TryAcquire(const std::string& kind, int per_second, absl::Time now);

  /// @return lines dropped of each kind since the last call.
  std::map<std::string, int> TakeDroppedCounts();

 private:
  struct Window {
    absl::Time second;
    int written = 0;
    int dropped = 0;
  };
  std::map<std::string, Window> windows_;
};

}  // namespace cherrydyke
