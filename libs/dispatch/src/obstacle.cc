#include "dispatch/obstacle.h"

#include "absl/strings/str_cat.h"

namespace cherrydyke {

const char* ObstacleName(Obstacle obstacle) {
  switch (obstacle) {
    case Obstacle::kLeaving:
      return "leaving";
    case Obstacle::kGone:
      return "gone";
    case Obstacle::kWrongAddress:
      return "wrong_address";
    case Obstacle::kClosed:
      return "closed";
    case Obstacle::kNoConnection:
      return "no_connection";
    case Obstacle::kEvacuated:
      return "evacuated";
    case Obstacle::kOtherRegion:
      return "other_region";
    case Obstacle::kTried:
      return "tried";
    case Obstacle::kCold:
      return "cold";
    case Obstacle::kNoRoom:
      return "no_room";
    case Obstacle::kSilent:
      return "silent";
  }
  return "unknown";
}

ObstacleCounts& ObstacleCounts::operator+=(const ObstacleCounts& other) {
  for (size_t i = 0; i < kObstacles; ++i) counts_[i] += other.counts_[i];
  return *this;
}

ObstacleCounts ObstacleCounts::operator-(const ObstacleCounts& other) const {
  ObstacleCounts difference = *this;
  for (size_t i = 0; i < kObstacles; ++i) {
    difference.counts_[i] -= other.counts_[i];
  }
  return difference;
}

std::string ObstacleCounts::ToString() const {
  std::string text;
  for (size_t i = 0; i < kObstacles; ++i) {
    if (counts_[i] == 0) continue;
    absl::StrAppend(&text, text.empty() ? "" : " ",
                    ObstacleName(static_cast<Obstacle>(i)), "=", counts_[i]);
  }
  return text;
}

}  // namespace cherrydyke
