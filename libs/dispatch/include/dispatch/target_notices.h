#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// One run of a target. Another id, another address or a later start is another
/// one; what its entry says of its state, or that the entry lapsed, is not.
struct TargetInstance {
  TargetId id;
  Endpoint endpoint;
  std::optional<int64_t> start_time_ms;

  friend bool operator==(const TargetInstance& a, const TargetInstance& b) {
    return std::tie(a.id, a.endpoint, a.start_time_ms) ==
           std::tie(b.id, b.endpoint, b.start_time_ms);
  }
  friend bool operator<(const TargetInstance& a, const TargetInstance& b) {
    return std::tie(a.id, a.endpoint, a.start_time_ms) <
           std::tie(b.id, b.endpoint, b.start_time_ms);
  }
};

/// What targets have said of themselves in their answers to this host: that
/// they leave, which holds for the rest of their lifetime, and that they want
/// nothing for a time. Kept beside the list of targets, as that may lag, lapse
/// and come back.
///
///     if (notices.OnLeaving(lifetime, now)) StopUsing(target);
///
/// Answers the load of targets that shed or leave while others say that they
/// are ready. Pure: time and randomness are arguments.
class TargetNotices {
 public:
  /// @return whether this is news.
  bool OnLeaving(const TargetInstance& target, absl::Time now);

  /// @param wait for which the target wants nothing; at most an hour is kept.
  /// @param draw a random number in [0, 1) that spreads the returns of the
  /// hosts, which may all have been turned away at once.
  /// @return when the target may be used again.
  absl::Time OnBackoff(const TargetInstance& target, absl::Duration wait,
                       double draw, absl::Time now);

  bool IsLeaving(const TargetInstance& target) const;
  /// @return when the target may be used again; in the past if it may be now.
  absl::Time BackoffUntil(const TargetInstance& target) const;
  size_t size() const { return notices_.size(); }

 private:
  struct Notice {
    bool leaving = false;
    absl::Time opens_at = absl::InfinitePast();
    absl::Time heard;
  };

  Notice& Note(const TargetInstance& target, absl::Time now);

  std::map<TargetInstance, Notice> notices_;
};

}  // namespace cherrydyke
