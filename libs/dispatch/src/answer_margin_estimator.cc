#include "dispatch/answer_margin_estimator.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// Assumed until answers were given: a merge of some ten parts on a small host.
constexpr absl::Duration kFirstMean = absl::Milliseconds(1);
constexpr absl::Duration kFirstDeviation = absl::Microseconds(500);
/// Weight of the newest answer.
constexpr double kWeight = 0.125;
/// Deviations above the mean that are kept free: with the usual spread fewer
/// than one in a hundred answers take longer.
constexpr double kDeviations = 6;
/// A host that takes longer than this is stalled, which no margin heals.
constexpr absl::Duration kLongest = absl::Milliseconds(40);

}  // namespace

AnswerMarginEstimator::AnswerMarginEstimator(absl::Duration unknown_way,
                                             absl::Duration spare)
    : unknown_way_(unknown_way),
      spare_(spare),
      mean_(kFirstMean),
      deviation_(kFirstDeviation) {}

void AnswerMarginEstimator::OnAnswerSent(absl::Duration late) {
  late = std::clamp(late, absl::ZeroDuration(), kLongest);
  deviation_ += (absl::AbsDuration(late - mean_) - deviation_) * kWeight;
  mean_ += (late - mean_) * kWeight;
}

absl::Duration AnswerMarginEstimator::Margin(absl::Duration round_trip,
                                             bool is_fresh) const {
  const absl::Duration way = round_trip <= absl::ZeroDuration() ? unknown_way_
                             : is_fresh                         ? 2 * round_trip
                                                                : round_trip;
  return way + spare_ + std::min(mean_ + kDeviations * deviation_, kLongest);
}

}  // namespace cherrydyke
