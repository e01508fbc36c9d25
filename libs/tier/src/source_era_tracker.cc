#include "tier/source_era_tracker.h"

namespace cherrydyke {
namespace {

/// Largest number of an era, and most eras that may begin between two answers:
/// a larger one is an error of the service, after which no answer would count.
constexpr int64_t kMaxStated = int64_t{1} << 53U;
constexpr int64_t kMaxStep = 1000;

}  // namespace

AnswerEra SourceEraTracker::OnAnswer(std::optional<int64_t> stated,
                                     SourceEra asked_in, bool depends_on_era) {
  if (stated && Raise({*stated, 0})) return AnswerEra::kLater;
  if (asked_in == era_) return AnswerEra::kCurrent;
  const bool is_stated = stated && era_ == SourceEra{*stated, 0};
  return is_stated && !depends_on_era ? AnswerEra::kCurrent
                                      : AnswerEra::kEarlier;
}

bool SourceEraTracker::Raise(SourceEra era) {
  if (era <= era_) return false;
  era_ = era;
  return true;
}

bool SourceEraTracker::IsPlausible(int64_t stated) const {
  if (stated < 1 || stated > kMaxStated) return false;
  return era_.stated == 0 || stated <= era_.stated + kMaxStep;
}

}  // namespace cherrydyke
