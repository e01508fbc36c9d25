#include "tier/call_durations.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace cherrydyke {

CallDuration CallDuration::Answered(absl::Duration elapsed,
                                    absl::Duration wait) {
  if (elapsed < wait) return {absl::ZeroDuration(), elapsed};
  return {elapsed - wait, elapsed - wait};
}

CallDuration CallDuration::Unanswered(absl::Duration elapsed,
                                      absl::Duration wait) {
  return {std::max(elapsed - wait, absl::ZeroDuration()),
          absl::InfiniteDuration()};
}

std::string CallDuration::ToString() const {
  if (!is_answered()) {
    return absl::StrCat(absl::ToInt64Milliseconds(least), "+");
  }
  return absl::StrCat(is_exact() ? "" : "<", absl::ToInt64Milliseconds(most));
}

bool CallDurations::Add(const CallDuration& duration) {
  last_.push_back(duration);
  if (last_.size() > kMaxKept) last_.pop_front();
  if (!duration.is_answered()) return false;
  const bool is_against =
      are_slow_ ? duration.most < kFast : duration.least >= kSlow;
  // An answer whose duration is not known speaks neither for nor against.
  const bool is_for =
      are_slow_ ? duration.least >= kFast : duration.most < kSlow;
  if (is_against) {
    ++against_;
  } else if (is_for) {
    against_ = 0;
  }
  if (against_ < (are_slow_ ? kCallsUntilFast : kCallsUntilSlow)) return false;
  are_slow_ = !are_slow_;
  against_ = 0;
  return true;
}

std::string CallDurations::ToString() const {
  return absl::StrJoin(last_, " ",
                       [](std::string* text, const CallDuration& duration) {
                         absl::StrAppend(text, duration.ToString());
                       });
}

}  // namespace cherrydyke
