#include "base/clock.h"

#include <ctime>

namespace cherrydyke {

absl::Time BootClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

}  // namespace cherrydyke
