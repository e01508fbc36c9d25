#include "admission/owner_limiter.h"

#include <algorithm>

#include "base/invariant.h"

namespace cherrydyke {

bool OwnerLimiter::TryAcquire(const OwnerName& owner) {
  AddOwner(owner);
  const auto owners = static_cast<int>(in_use_.size());
  const int reserve =
      static_cast<int>(capacity_ * reserve_fraction_ / std::max(owners, 1));
  int reserved = 0;
  for (const auto& [other, used] : in_use_) {
    if (other != owner) reserved += std::max(0, reserve - used);
  }
  if (total_in_use_ + reserved >= capacity_) return false;
  ++total_in_use_;
  ++in_use_[owner];
  return true;
}

void OwnerLimiter::Release(const OwnerName& owner) {
  int& used = in_use_[owner];
  CHERRYDYKE_INVARIANT(used > 0 && total_in_use_ > 0,
                       "the owner holds the slot that it releases");
  --used;
  --total_in_use_;
}

}  // namespace cherrydyke
