#pragma once

#include <map>

#include "base/ids.h"

namespace cherrydyke {

/// Concurrency limiter of one daemon with a reserve for each owner, so that a
/// peak of one owner cannot starve another. An owner may use the whole capacity
/// except for the unused reserves of the other owners. Does no I/O.
class OwnerLimiter {
 public:
  /// @param capacity most requests that the daemon runs concurrently.
  /// @param reserve_fraction fraction of the capacity that is reserved, in
  /// equal parts for all known owners.
  OwnerLimiter(int capacity, double reserve_fraction)
      : capacity_(capacity), reserve_fraction_(reserve_fraction) {}

  /// Adds an owner, so that its reserve is kept free.
  void AddOwner(const OwnerName& owner) { in_use_.try_emplace(owner, 0); }

  /// Takes a slot for one request of the owner, which is added if unknown.
  /// @return false if no slot is available to the owner.
  bool TryAcquire(const OwnerName& owner);
  /// Returns a slot. Precondition: the owner holds one.
  void Release(const OwnerName& owner);

  /// @return slots held by all owners.
  int in_use() const { return total_in_use_; }

 private:
  const int capacity_;
  const double reserve_fraction_;
  int total_in_use_ = 0;
  std::map<OwnerName, int> in_use_;
};

}  // namespace cherrydyke
