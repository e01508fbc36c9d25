#pragma once

#include "absl/time/time.h"

namespace cherrydyke {

/// Estimates how long before the caller's latency objective an answer has to be
/// sent to arrive in time. The margin covers the round trip to the caller and
/// the delay of this host, learned from the answers that it sent. A margin that
/// is no larger than necessary leaves more time for outstanding parts.
///
/// A fixed margin is too short for small hosts that merge many parts at once
/// and for callers that open a connection for each request. Pure: no clock, no
/// I/O.
class AnswerMarginEstimator {
 public:
  /// @param default_round_trip used for callers whose round trip is not known.
  /// @param safety_margin added to what is learned.
  AnswerMarginEstimator(absl::Duration default_round_trip,
                        absl::Duration safety_margin);

  /// Records an answer.
  /// @param delay from the time at which the answer was due to its sending.
  void OnAnswerSent(absl::Duration delay);

  /// @param round_trip to the caller; zero if it is not known.
  /// @param is_new_connection whether the caller opened the connection for this
  /// request, which costs it one more round trip.
  /// @return the margin to keep before the latency objective.
  absl::Duration Margin(absl::Duration round_trip,
                        bool is_new_connection) const;

 private:
  const absl::Duration default_round_trip_;
  const absl::Duration safety_margin_;
  absl::Duration mean_;
  absl::Duration deviation_;
};

}  // namespace cherrydyke
