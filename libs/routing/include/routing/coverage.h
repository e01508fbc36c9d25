#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/key_range.h"
#include "catalogue/types.h"

namespace cherrydyke {

/// A part of the key space that an answer lacks, and why.
struct MissingRange {
  ShardId shard;
  KeyRange range;
  /// snake_case word.
  std::string reason;

  friend bool operator==(const MissingRange& a, const MissingRange& b) {
    return std::tie(a.shard, a.range, a.reason) ==
           std::tie(b.shard, b.range, b.reason);
  }
};

/// How far an answer reaches over the key space of its snapshot.
struct Coverage {
  bool complete = false;
  /// Part of the key space that was answered, below 1 unless complete.
  double fraction = 0;
  int shards = 0;
  int answered = 0;
  std::vector<MissingRange> missing;
};

/// Adds up what was answered of one shard map.
class CoverageTracker {
 public:
  explicit CoverageTracker(const ShardMap& shard_map);

  /// Counts a shard as answered whole. Doubled answers count once.
  void Answered(size_t shard_index);

  /// Remembers why a shard is missing; it counts only if no answer comes.
  void Missing(size_t shard_index, std::string reason);

  /// Computes the coverage over key ranges, so that neither repartitioning nor
  /// a doubled answer can hide a gap. `complete` holds only if the answered
  /// ranges cover the whole key space.
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
