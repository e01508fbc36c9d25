#pragma once

#include <optional>
#include <tuple>

#include "absl/time/time.h"

namespace cherrydyke {

/// Estimates the time after which a call on a path counts as late, from the
/// round trips of calls that were answered: smoothed round trip and four times
/// its spread, as in RFC 6298.
///
/// Each call has a connection and a response of its own, so it is known which
/// call a response answers. Calls that were late are therefore samples as well,
/// against Karn's rule: without them the estimate would never follow a path
/// that turns slow.
///
/// Immutable: each event returns the estimate after it.
class RoundTripEstimate {
 public:
  /// @return the estimate after a call whose round trip took this long.
  RoundTripEstimate AfterSample(absl::Duration round_trip) const;
  /// @return the estimate after a call whose round trip took a time between
  /// these: the same one if it lies between them.
  RoundTripEstimate AfterBounds(absl::Duration least,
                                absl::Duration most) const;

  /// @return the time after which a call is late, between the limits; `floor`
  /// before the first sample, and if it exceeds `ceiling`.
  absl::Duration LateAfter(absl::Duration floor, absl::Duration ceiling) const;

  friend bool operator==(const RoundTripEstimate& a,
                         const RoundTripEstimate& b) {
    return std::tie(a.smoothed_, a.spread_) == std::tie(b.smoothed_, b.spread_);
  }
  friend bool operator!=(const RoundTripEstimate& a,
                         const RoundTripEstimate& b) {
    return !(a == b);
  }

 private:
  absl::Duration Unlimited() const;

  /// Nothing before the first sample.
  std::optional<absl::Duration> smoothed_;
  absl::Duration spread_;
};

}  // namespace cherrydyke
