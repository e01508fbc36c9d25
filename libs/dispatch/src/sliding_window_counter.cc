#include "dispatch/sliding_window_counter.h"

namespace cherrydyke {

void SlidingWindowCounter::Add(absl::Time now, int64_t amount) {
  Expire(now);
  if (buckets_.empty() || now >= buckets_.back().begin + bucket_) {
    buckets_.push_back({now, 0});
  }
  buckets_.back().count += amount;
  total_ += amount;
}

int64_t SlidingWindowCounter::Count(absl::Time now) {
  Expire(now);
  return total_;
}

void SlidingWindowCounter::Expire(absl::Time now) {
  while (!buckets_.empty() &&
         buckets_.front().begin + bucket_ + window_ <= now) {
    total_ -= buckets_.front().count;
    buckets_.pop_front();
  }
}

}  // namespace cherrydyke
