#include "tier/round_trip_estimate.h"

#include <algorithm>

namespace cherrydyke {
namespace {

// The constants of RFC 6298.
constexpr double kSampleRatio = 0.125;
constexpr double kSpreadRatio = 0.25;
constexpr int kSpreads = 4;

}  // namespace

RoundTripEstimate RoundTripEstimate::AfterSample(
    absl::Duration round_trip) const {
  const absl::Duration sample = std::max(round_trip, absl::ZeroDuration());
  RoundTripEstimate next;
  if (!smoothed_) {
    next.smoothed_ = sample;
    next.spread_ = sample / 2;
    return next;
  }
  next.spread_ = (1 - kSpreadRatio) * spread_ +
                 kSpreadRatio * absl::AbsDuration(*smoothed_ - sample);
  next.smoothed_ = (1 - kSampleRatio) * *smoothed_ + kSampleRatio * sample;
  return next;
}

RoundTripEstimate RoundTripEstimate::AfterBounds(absl::Duration least,
                                                 absl::Duration most) const {
  const absl::Duration smoothed = smoothed_.value_or(absl::ZeroDuration());
  if (smoothed > most) return AfterSample(most);
  if (smoothed >= least) return *this;
  // A bound near the estimate would only make the spread smaller.
  const RoundTripEstimate next = AfterSample(least);
  return next.Unlimited() > Unlimited() ? next : *this;
}

absl::Duration RoundTripEstimate::LateAfter(absl::Duration floor,
                                            absl::Duration ceiling) const {
  return std::max(floor, std::min(Unlimited(), ceiling));
}

absl::Duration RoundTripEstimate::Unlimited() const {
  return smoothed_.value_or(absl::ZeroDuration()) + kSpreads * spread_;
}

}  // namespace cherrydyke
