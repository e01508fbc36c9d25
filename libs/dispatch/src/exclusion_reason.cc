#include "dispatch/exclusion_reason.h"

#include "absl/strings/str_cat.h"

namespace cherrydyke {

const char* ExclusionReasonName(ExclusionReason reason) {
  switch (reason) {
    case ExclusionReason::kLeaving:
      return "leaving";
    case ExclusionReason::kGone:
      return "gone";
    case ExclusionReason::kWrongAddress:
      return "wrong_address";
    case ExclusionReason::kBackoff:
      return "closed";
    case ExclusionReason::kNoConnection:
      return "no_connection";
    case ExclusionReason::kEvacuated:
      return "evacuated";
    case ExclusionReason::kOtherRegion:
      return "other_region";
    case ExclusionReason::kAlreadyTried:
      return "tried";
    case ExclusionReason::kCold:
      return "cold";
    case ExclusionReason::kNoRoom:
      return "no_room";
    case ExclusionReason::kStatedRate:
      return "stated_rate";
    case ExclusionReason::kUnresponsive:
      return "silent";
  }
  return "unknown";
}

ExclusionCounts& ExclusionCounts::operator+=(const ExclusionCounts& other) {
  for (size_t i = 0; i < kExclusionReasonCount; ++i)
    counts_[i] += other.counts_[i];
  return *this;
}

ExclusionCounts ExclusionCounts::operator-(const ExclusionCounts& other) const {
  ExclusionCounts difference = *this;
  for (size_t i = 0; i < kExclusionReasonCount; ++i) {
    difference.counts_[i] -= other.counts_[i];
  }
  return difference;
}

std::string ExclusionCounts::ToString() const {
  std::string text;
  for (size_t i = 0; i < kExclusionReasonCount; ++i) {
    if (counts_[i] == 0) continue;
    absl::StrAppend(&text, text.empty() ? "" : " ",
                    ExclusionReasonName(static_cast<ExclusionReason>(i)), "=",
                    counts_[i]);
  }
  return text;
}

}  // namespace cherrydyke
