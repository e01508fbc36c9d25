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
struct TargetEvidence {
  /// Hash of the target's id.
  uint32_t target = 0;
  uint8_t answers = 0;
  /// Answers lost, failed or rejected.
  uint8_t failures = 0;
  /// How much longer the target wants nothing from the host that tells it, in
  /// tenths of a second; the most that fits for one that leaves.
  uint8_t closed_ds = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, answers, failures, closed_ds);
  }

  /// @return how much longer it wants nothing.
  absl::Duration closed() const { return absl::Milliseconds(closed_ds * 100); }

  friend bool operator==(const TargetEvidence& a, const TargetEvidence& b) {
    return std::tie(a.target, a.answers, a.failures, a.closed_ds) ==
           std::tie(b.target, b.answers, b.failures, b.closed_ds);
  }
};

/// Collects how often targets fail, to be told to hosts of the same failure
/// domain: of many hosts each asks a target too seldom to learn it alone.
///
/// Answers the load of targets that lose answers in a large fleet. Pure.
class EvidenceBook {
 public:
  void Note(uint32_t target, TargetSign sign);
  /// The target leaves, or wants nothing until then.
  void NoteClosed(uint32_t target, absl::Time until);

  /// @param is_doubtful whether a target is known to fail at times: of others,
  /// answers are not worth telling.
  /// @return the evidence that was not yet taken, at most `limit` targets of
  /// it, failures first; the rest is left for the next call.
  std::vector<TargetEvidence> Take(
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
