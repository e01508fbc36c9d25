#include "record.h"

#include <chrono>
#include <thread>

namespace cherrydyke::review {
namespace {

using Clock = std::chrono::steady_clock;

Clock::time_point StartTime() {
  static const Clock::time_point start = Clock::now();
  return start;
}

}  // namespace

int64_t NowMs() {
  const Clock::time_point start = StartTime();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               start)
      .count();
}

void SleepUntil(int64_t when_ms) {
  const int64_t left = when_ms - NowMs();
  if (left > 0) std::this_thread::sleep_for(std::chrono::milliseconds(left));
}

Record::Record(const std::string& path) : file_(path) { NowMs(); }

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << NowMs() << " ms: " << line << std::endl;
}

}  // namespace cherrydyke::review
