#include "tier/target_withdrawals.h"

namespace cherrydyke {

void TargetWithdrawals::OnNotices(const std::vector<WithdrawalNotice>& notices,
                                  absl::Time now) {
  for (auto it = withdrawals_.begin(); it != withdrawals_.end();) {
    const auto entry = it++;
    if (entry->second.lines.IsOver(now)) withdrawals_.erase(entry);
  }
  for (const WithdrawalNotice& notice : notices) {
    if (notice.reason.empty()) {
      withdrawals_.erase(notice.instance_hash);
      continue;
    }
    withdrawals_.try_emplace(
        notice.instance_hash,
        Withdrawal{notice.target, notice.reason, LineAllowance(now, window_)});
  }
}

Withdrawal* TargetWithdrawals::Find(uint32_t instance_hash, absl::Time now) {
  if (withdrawals_.empty()) return nullptr;
  const auto found = withdrawals_.find(instance_hash);
  if (found == withdrawals_.end() || found->second.lines.IsOver(now)) {
    return nullptr;
  }
  return &found->second;
}

}  // namespace cherrydyke
