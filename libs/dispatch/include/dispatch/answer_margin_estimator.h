#pragma once

#include "absl/time/time.h"

namespace cherrydyke {

/// How long before its caller's goal an answer must be given, so that it is
/// there in time and waits for as many parts as it can: the way to the caller
/// and what this host takes to give an answer that is due, learned from those
/// that it gave.
///
/// Answers the load of small hosts that merge many parts at the last moment,
/// and of callers that connect anew for each request. Pure.
class AnswerMarginEstimator {
 public:
  /// @param unknown_way margin for a caller whose distance is not known.
  /// @param spare time kept free beyond what is learned.
  AnswerMarginEstimator(absl::Duration unknown_way, absl::Duration spare);

  /// An answer was given so long after it was due.
  void OnAnswerSent(absl::Duration late);

  /// @param round_trip time to the caller and back; zero if it is not known.
  /// @param is_fresh whether the caller opened the connection for the request,
  /// and has waited for that as well.
  absl::Duration Margin(absl::Duration round_trip, bool is_fresh) const;

 private:
  const absl::Duration unknown_way_;
  const absl::Duration spare_;
  absl::Duration mean_;
  absl::Duration deviation_;
};

}  // namespace cherrydyke
