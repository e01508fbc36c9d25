#pragma once

#include <cstdint>
#include <deque>

#include "absl/time/time.h"

namespace cherrydyke {

/// Counts events of the last window, in buckets: what is counted may be up to
/// one bucket older than the window, never younger than counted.
class SlidingWindowCounter {
 public:
  SlidingWindowCounter(absl::Duration window, absl::Duration bucket)
      : window_(window), bucket_(bucket) {}

  void Add(absl::Time now, int64_t amount = 1);

  /// @return events in the window before `now`, and in the bucket it cuts.
  int64_t Count(absl::Time now);

 private:
  struct Bucket {
    absl::Time begin;
    int64_t count = 0;
  };
  void Expire(absl::Time now);

  absl::Duration window_;
  absl::Duration bucket_;
  std::deque<Bucket> buckets_;
  int64_t total_ = 0;
};

}  // namespace cherrydyke
