#include "routing/coverage.h"

#include <algorithm>

#include "base/invariant.h"

namespace cherrydyke {
namespace {

/// Largest fraction reported for an answer that is not complete, so that a
/// small gap is not rounded up to 1.
constexpr double kMaxPartialFraction = 0.999999;

}  // namespace

CoverageTracker::CoverageTracker(const ShardMap& shard_map) {
  shards_.reserve(shard_map.shards.size());
  for (const Shard& shard : shard_map.shards) {
    shards_.push_back({shard.id, shard.range, false, "deadline"});
  }
}

void CoverageTracker::MarkAnswered(size_t shard_index) {
  shards_[shard_index].answered = true;
}

void CoverageTracker::SetMissingReason(size_t shard_index, std::string reason) {
  shards_[shard_index].reason = std::move(reason);
}

Coverage CoverageTracker::Compute() const {
  Coverage coverage;
  coverage.shards = static_cast<int>(shards_.size());
  RangeSet answered;
  for (const ShardCoverage& shard : shards_) {
    if (shard.answered) {
      ++coverage.answered;
      answered.Add(shard.range);
    } else {
      coverage.missing.push_back({shard.id, shard.range, shard.reason});
    }
  }
  const std::vector<KeyRange> gaps = answered.Missing({"", ""});
  // The first shard may begin at "00" instead of "": the gap before "00" holds
  // no keys.
  const bool covers_key_space = std::all_of(
      gaps.begin(), gaps.end(),
      [](const auto& gap) { return KeySpan(gap) == 0 && !gap.end.empty(); });
  coverage.complete = covers_key_space && coverage.missing.empty();
  for (const KeyRange& range : answered.ranges()) {
    coverage.fraction += KeySpan(range);
  }
  coverage.fraction = std::min(coverage.fraction, 1.0);
  if (coverage.complete) coverage.fraction = 1;
  if (!coverage.complete) {
    coverage.fraction = std::min(coverage.fraction, kMaxPartialFraction);
  }
  CHERRYDYKE_INVARIANT(
      !coverage.complete || coverage.answered == coverage.shards,
      "an answer is complete only if every shard was answered");
  return coverage;
}

}  // namespace cherrydyke
