#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "dispatch/target_health.h"

namespace cherrydyke {

/// What one host saw of a target since it last told others.
struct TargetEvidence {
  /// Hash of the target's id.
  uint32_t target = 0;
  uint8_t answers = 0;
  /// Answers lost, failed or rejected.
  uint8_t failures = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, answers, failures);
  }

  friend bool operator==(const TargetEvidence& a, const TargetEvidence& b) {
    return std::tie(a.target, a.answers, a.failures) ==
           std::tie(b.target, b.answers, b.failures);
  }
};

/// Collects how often targets fail, to be told to hosts of the same failure
/// domain: of many hosts each asks a target too seldom to learn it alone.
///
/// Answers the load of targets that lose answers in a large fleet. Pure.
class EvidenceBook {
 public:
  void Note(uint32_t target, TargetSign sign);

  /// @param is_doubtful whether a target is known to fail at times: of others,
  /// answers are not worth telling.
  /// @return the evidence that was not yet taken, at most `limit` targets of
  /// it, failures first; the rest is left for the next call.
  std::vector<TargetEvidence> Take(
      size_t limit, const std::function<bool(uint32_t target)>& is_doubtful);

 private:
  struct Entry {
    uint32_t answers = 0;
    uint32_t failures = 0;
  };
  std::map<uint32_t, Entry> entries_;
};

}  // namespace cherrydyke
