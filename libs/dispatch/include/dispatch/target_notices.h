#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "absl/time/time.h"
#include "base/ids.h"
#include "dispatch/stated_rate_limiter.h"

namespace cherrydyke {

/// Identity of one instance of a target. A different id, address or start time
/// means a different instance; a changed state or an expired entry in the
/// configuration service does not.
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

/// Notices that target instances sent in their responses to this host: that the
/// instance is leaving, which is final, that it wants no requests for a time
/// (backoff), or how many it takes per second. They are kept apart from the
/// list of targets, whose entries may be outdated, or expire and reappear.
///
///     if (notices.OnLeaving(instance, now)) StopUsing(target);
///
/// They take precedence over entries that still list a target as ready while it
/// sheds load or shuts down. Pure: time and randomness are arguments.
class TargetNotices {
 public:
  /// Records that the instance is leaving.
  /// @return whether it was not yet recorded as leaving.
  bool OnLeaving(const TargetInstance& target, absl::Time now);

  /// Records that the instance asked for no requests for a time.
  /// @param wait requested backoff, capped at 1 h.
  /// @param random_fraction a random number in [0, 1) for the jitter, as all
  /// hosts may have been rejected at the same time.
  /// @return when the target may be used again.
  absl::Time OnBackoff(const TargetInstance& target, absl::Duration wait,
                       double random_fraction, absl::Time now);

  /// Records the request rate that the instance stated, or that it states none.
  void OnRate(const TargetInstance& target, std::optional<StatedRate> rate,
              absl::Time now);

  bool IsLeaving(const TargetInstance& target) const;
  /// @return when the target may be used again; a time in the past if it may be
  /// used now.
  absl::Time BackoffUntil(const TargetInstance& target) const;
  std::optional<StatedRate> RateOf(const TargetInstance& target) const;
  size_t size() const { return notices_.size(); }

 private:
  struct Notice {
    bool leaving = false;
    absl::Time backoff_until = absl::InfinitePast();
    std::optional<StatedRate> rate;
    absl::Time updated_at;
  };

  Notice& FindOrAdd(const TargetInstance& target, absl::Time now);

  std::map<TargetInstance, Notice> notices_;
};

}  // namespace cherrydyke
