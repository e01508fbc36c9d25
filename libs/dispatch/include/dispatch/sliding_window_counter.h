#pragma once

#include <cstdint>
#include <deque>

#include "absl/time/time.h"

namespace cherrydyke {

/// Counts events in a sliding time window, in buckets. An event expires once it
/// is older than the window, up to one bucket late and never early.
class SlidingWindowCounter {
 public:
  SlidingWindowCounter(absl::Duration window, absl::Duration bucket)
      : window_(window), bucket_(bucket) {}

  void Add(absl::Time now, int64_t amount = 1);

  /// @return the events in the window before `now`, plus all events of a bucket
  /// that is only partly within it.
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
