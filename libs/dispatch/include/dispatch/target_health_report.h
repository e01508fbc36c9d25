#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/target_health.h"

namespace cherrydyke {

/// What one host saw of a target since it last told others.
struct TargetHealthReport {
  /// Hash of the target's id.
  uint32_t target = 0;
  uint8_t answers = 0;
  /// Answers lost, failed or rejected.
  uint8_t failures = 0;
  /// How much longer the target wants nothing from the host that tells it, in
  /// tenths of a second; the most that fits for one that leaves.
  uint8_t backoff_ds = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, answers, failures, backoff_ds);
  }

  /// @return how much longer it wants nothing.
  absl::Duration backoff() const {
    return absl::Milliseconds(backoff_ds * 100);
  }

  friend bool operator==(const TargetHealthReport& a,
                         const TargetHealthReport& b) {
    return std::tie(a.target, a.answers, a.failures, a.backoff_ds) ==
           std::tie(b.target, b.answers, b.failures, b.backoff_ds);
  }
};

/// Collects how often targets fail, to be told to hosts of the same failure
/// domain: of many hosts each asks a target too seldom to learn it alone.
///
/// Answers the load of targets that lose answers in a large fleet. Pure.
class HealthReportCollector {
 public:
  void RecordOutcome(uint32_t target, TargetOutcome sign);
  /// The target leaves, or wants nothing until then.
  void RecordBackoff(uint32_t target, absl::Time until);

  /// @param is_doubtful whether a target is known to fail at times: of others,
  /// answers are not worth telling.
  /// @return the evidence that was not yet taken, at most `limit` targets of
  /// it, failures first; the rest is left for the next call.
  std::vector<TargetHealthReport> TakeReports(
      size_t limit, const std::function<bool(uint32_t target)>& is_doubtful,
      absl::Time now);

 private:
  struct Entry {
    uint32_t answers = 0;
    uint32_t failures = 0;
    absl::Time closed_until = absl::InfinitePast();
  };
  std::map<uint32_t, Entry> entries_;
};

}  // namespace cherrydyke
