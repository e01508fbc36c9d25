#pragma once

#include <map>

#include "base/ids.h"

namespace cherrydyke {

/// Divides the requests that one daemon runs at once between owners, so that
/// one owner's peak cannot starve another's. An owner may use what the others
/// leave, but a reserve for each other owner stays free. Pure.
class OwnerLimiter {
 public:
  /// @param capacity requests that the daemon runs at once.
  /// @param reserve_fraction part of the capacity kept for owners that use
  /// less than it; divided among them.
  OwnerLimiter(int capacity, double reserve_fraction)
      : capacity_(capacity), reserve_fraction_(reserve_fraction) {}

  /// Names an owner, so that its reserve is kept.
  void AddOwner(const OwnerName& owner) { in_use_.try_emplace(owner, 0); }

  bool TryAcquire(const OwnerName& owner);
  void Release(const OwnerName& owner);

  int in_use() const { return total_in_use_; }

 private:
  const int capacity_;
  const double reserve_fraction_;
  int total_in_use_ = 0;
  std::map<OwnerName, int> in_use_;
};

}  // namespace cherrydyke
