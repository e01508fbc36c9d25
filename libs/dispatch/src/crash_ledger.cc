#include "dispatch/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {
namespace {

/// Crashed targets after which a request goes no further: two may be chance,
/// as unrelated crashes hit whatever runs.
constexpr int kCrashesToQuarantine = 3;
/// How long a request is refused after its last crash.
constexpr absl::Duration kQuarantineTime = absl::Minutes(10);
/// Fingerprints kept; each takes some tens of bytes.
constexpr size_t kCapacity = 4096;

}  // namespace

CrashLedger::CrashLedger(HostId self)
    : self_(std::move(self)), quarantine_(kQuarantineTime, kCapacity) {}

bool CrashLedger::OnCrash(uint64_t fingerprint, absl::Time now) {
  ++counts_[fingerprint][self_];
  return Check(fingerprint, now);
}

bool CrashLedger::OnCount(const CrashCount& count, absl::Time now) {
  int& known = counts_[count.fingerprint][count.host];
  if (count.crashes <= known) return false;
  known = count.crashes;
  return Check(count.fingerprint, now);
}

bool CrashLedger::Check(uint64_t fingerprint, absl::Time now) {
  if (counts_.size() > kCapacity) counts_.erase(counts_.begin());
  if (Total(fingerprint) < kCrashesToQuarantine) return false;
  return quarantine_.Add(fingerprint, now);
}

int CrashLedger::Total(uint64_t fingerprint) const {
  const auto found = counts_.find(fingerprint);
  if (found == counts_.end()) return 0;
  int total = 0;
  for (const auto& [host, crashes] : found->second) total += crashes;
  return total;
}

bool CrashLedger::IsQuarantined(uint64_t fingerprint, absl::Time now) const {
  return quarantine_.Remaining(fingerprint, now) > absl::ZeroDuration();
}

std::vector<CrashCount> CrashLedger::Counts(size_t limit) const {
  std::vector<CrashCount> counts;
  for (const auto& [fingerprint, by_host] : counts_) {
    for (const auto& [host, crashes] : by_host) {
      if (counts.size() == limit) return counts;
      counts.push_back({fingerprint, host, crashes});
    }
  }
  return counts;
}

}  // namespace cherrydyke
