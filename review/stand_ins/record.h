#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace cherrydyke::review {

/// @return milliseconds of the steady clock since the program started.
int64_t NowMs();

/// Sleeps until the given time.
/// @param when_ms time as of `NowMs`.
void SleepUntil(int64_t when_ms);

/// Log of what was sent, answered and run, one event a line.
class Record {
 public:
  explicit Record(const std::string& path);

  /// Appends a line that begins with the time in milliseconds.
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace cherrydyke::review
