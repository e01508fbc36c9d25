#include "admission/quarantine.h"

#include <algorithm>

namespace cherrydyke {

bool Quarantine::Add(uint64_t fingerprint, absl::Time now) {
  return Extend(fingerprint, now + duration_, now);
}

bool Quarantine::OnNotice(const QuarantineNotice& notice, absl::Time now) {
  const absl::Duration remaining =
      std::min(duration_, absl::Milliseconds(notice.remaining_ms));
  return Extend(notice.fingerprint, now + remaining, now);
}

bool Quarantine::Extend(uint64_t fingerprint, absl::Time expiration,
                        absl::Time now) {
  if (expiration <= now) return false;
  const auto [found, added] = expirations_.try_emplace(fingerprint, expiration);
  const bool expired = !added && found->second <= now;
  found->second = std::max(found->second, expiration);
  if (expirations_.size() > capacity_) {
    expirations_.erase(std::min_element(
        expirations_.begin(), expirations_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  return added || expired;
}

absl::Duration Quarantine::Remaining(uint64_t fingerprint,
                                     absl::Time now) const {
  const auto found = expirations_.find(fingerprint);
  if (found == expirations_.end()) return absl::ZeroDuration();
  return std::max(found->second - now, absl::ZeroDuration());
}

std::vector<QuarantineNotice> Quarantine::Notices(size_t limit,
                                                  absl::Time now) const {
  std::vector<QuarantineNotice> notices;
  for (const auto& [fingerprint, expiration] : expirations_) {
    const int64_t remaining_ms = absl::ToInt64Milliseconds(expiration - now);
    if (remaining_ms > 0) notices.push_back({fingerprint, remaining_ms});
  }
  std::sort(notices.begin(), notices.end(),
            [](const QuarantineNotice& a, const QuarantineNotice& b) {
              return a.remaining_ms > b.remaining_ms;
            });
  if (notices.size() > limit) notices.resize(limit);
  return notices;
}

}  // namespace cherrydyke
