#include "dispatch/answer_margin_estimator.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// Delay assumed before the first answer: a merge of about ten parts on a small
/// host.
constexpr absl::Duration kInitialMean = absl::Milliseconds(1);
constexpr absl::Duration kInitialDeviation = absl::Microseconds(500);
/// Weight of the newest sample in the moving averages.
constexpr double kSampleWeight = 0.125;
/// Margin above the mean, in mean deviations; fewer than 1 % of answers take
/// longer at typical variance.
constexpr double kMarginDeviations = 6;
/// Upper bound of a sample and of the learned delay. A host that takes longer
/// is stalled, and a larger margin would not help.
constexpr absl::Duration kMaxDelay = absl::Milliseconds(40);

}  // namespace

AnswerMarginEstimator::AnswerMarginEstimator(absl::Duration default_round_trip,
                                             absl::Duration safety_margin)
    : default_round_trip_(default_round_trip),
      safety_margin_(safety_margin),
      mean_(kInitialMean),
      deviation_(kInitialDeviation) {}

void AnswerMarginEstimator::OnAnswerSent(absl::Duration delay) {
  delay = std::clamp(delay, absl::ZeroDuration(), kMaxDelay);
  deviation_ += (absl::AbsDuration(delay - mean_) - deviation_) * kSampleWeight;
  mean_ += (delay - mean_) * kSampleWeight;
}

absl::Duration AnswerMarginEstimator::Margin(absl::Duration round_trip,
                                             bool is_new_connection) const {
  const absl::Duration total_round_trip = round_trip <= absl::ZeroDuration()
                                              ? default_round_trip_
                                          : is_new_connection ? 2 * round_trip
                                                              : round_trip;
  return total_round_trip + safety_margin_ +
         std::min(mean_ + kMarginDeviations * deviation_, kMaxDelay);
}

}  // namespace cherrydyke
