#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/key_range.h"
#include "catalogue/types.h"

namespace cherrydyke {

/// A key range that an answer does not cover, and the reason.
struct MissingRange {
  ShardId shard;
  KeyRange range;
  /// Reason in snake_case, such as `deadline`.
  std::string reason;

  friend bool operator==(const MissingRange& a, const MissingRange& b) {
    return std::tie(a.shard, a.range, a.reason) ==
           std::tie(b.shard, b.range, b.reason);
  }
};

/// The part of the key space of its shard map that an answer covers.
struct Coverage {
  bool complete = false;
  /// Fraction of the key space that was answered; below 1 unless `complete`.
  double fraction = 0;
  int shards = 0;
  /// Shards that were answered.
  int answered = 0;
  std::vector<MissingRange> missing;
};

/// Tracks which shards of one shard map have been answered.
class CoverageTracker {
 public:
  explicit CoverageTracker(const ShardMap& shard_map);

  /// Marks a shard as answered completely. Repeated calls have no effect.
  void MarkAnswered(size_t shard_index);

  /// Sets the reason reported for a shard if it is never marked as answered.
  /// The last reason set is reported.
  void SetMissingReason(size_t shard_index, std::string reason);

  /// Computes the coverage from key ranges rather than shard counts, so that
  /// neither repartitioning nor duplicate answers can hide a gap. `complete` is
  /// true only if every shard was answered and the answered ranges cover the
  /// whole key space.
  Coverage Compute() const;

 private:
  struct ShardCoverage {
    ShardId id;
    KeyRange range;
    bool answered = false;
    std::string reason = "deadline";
  };
  std::vector<ShardCoverage> shards_;
};

}  // namespace cherrydyke
