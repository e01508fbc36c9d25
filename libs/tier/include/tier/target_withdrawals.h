#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "dispatch/types.h"
#include "tier/line_allowance.h"

namespace cherrydyke {

/// A target instance that is to get no requests any more, or may again.
struct WithdrawalNotice {
  TargetId target;
  uint32_t instance_hash = 0;
  /// Why it is to get none; empty if it may get requests again.
  std::string reason;

  friend bool operator==(const WithdrawalNotice& a, const WithdrawalNotice& b) {
    return std::tie(a.target, a.instance_hash, a.reason) ==
           std::tie(b.target, b.instance_hash, b.reason);
  }
};

/// A target instance that this host knows to be withdrawn.
struct Withdrawal {
  TargetId target;
  std::string reason;
  LineAllowance lines;
};

/// Target instances that were drained, removed or evacuated within a window of
/// time.
///
/// Pure: time is an argument.
class TargetWithdrawals {
 public:
  explicit TargetWithdrawals(absl::Duration window) : window_(window) {}

  void OnNotices(const std::vector<WithdrawalNotice>& notices, absl::Time now);
  /// @return the withdrawal of the instance, or null.
  Withdrawal* Find(uint32_t instance_hash, absl::Time now);
  bool empty() const { return withdrawals_.empty(); }

 private:
  absl::Duration window_;
  absl::flat_hash_map<uint32_t, Withdrawal> withdrawals_;
};

}  // namespace cherrydyke
