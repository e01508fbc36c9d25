#include "dispatch/crash_tracker.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {
namespace {

/// Crashed targets after which a request goes no further: two may be chance,
/// as unrelated crashes hit whatever runs.
constexpr int kCrashesToQuarantine = 3;
/// How long crashes count, and a request is refused, after its last crash.
constexpr absl::Duration kQuarantineTime = absl::Minutes(10);
/// Requests kept; each takes some hundred bytes.
constexpr size_t kCapacity = 4096;

}  // namespace

CrashTracker::CrashTracker(Incarnation self) : self_(self) {}

int64_t CrashTracker::Suspect::Total() const {
  int64_t total = 0;
  for (const auto& [incarnation, crashes] : counts) total += crashes;
  return total;
}

bool CrashTracker::OnCrash(uint64_t fingerprint, absl::Time now) {
  const auto found = suspects_.find(fingerprint);
  const int known = found == suspects_.end() ? 0 : found->second.counts[self_];
  return Count(fingerprint, self_, known + 1, now, now);
}

bool CrashTracker::MergeCount(const CrashCount& count, absl::Time now) {
  const absl::Duration age = absl::Milliseconds(count.age_ms);
  if (age < absl::ZeroDuration() || age >= kQuarantineTime) return false;
  return Count(count.fingerprint, count.incarnation, count.crashes, now - age,
               now);
}

bool CrashTracker::Count(uint64_t fingerprint, Incarnation incarnation,
                         int crashes, absl::Time at, absl::Time now) {
  const bool was_quarantined = IsQuarantined(fingerprint, now);
  Suspect& suspect = suspects_[fingerprint];
  int& known = suspect.counts[incarnation];
  if (crashes <= known) return false;
  known = crashes;
  suspect.last_crash = std::max(suspect.last_crash, at);
  suspect.told = 0;
  if (suspects_.size() > kCapacity) MakeRoom();
  return !was_quarantined && IsQuarantined(fingerprint, now);
}

void CrashTracker::MakeRoom() {
  suspects_.erase(std::min_element(
      suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        return a.second.last_crash < b.second.last_crash;
      }));
}

void CrashTracker::DropExpired(absl::Time now) {
  for (auto entry = suspects_.begin(); entry != suspects_.end();) {
    const bool expired = now - entry->second.last_crash >= kQuarantineTime;
    entry = expired ? suspects_.erase(entry) : std::next(entry);
  }
}

bool CrashTracker::IsQuarantined(uint64_t fingerprint, absl::Time now) const {
  const auto found = suspects_.find(fingerprint);
  return found != suspects_.end() &&
         found->second.Total() >= kCrashesToQuarantine &&
         now - found->second.last_crash < kQuarantineTime;
}

int64_t CrashTracker::Total(uint64_t fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  return found == suspects_.end() ? 0 : found->second.Total();
}

std::vector<CrashCount> CrashTracker::TakeCountsToGossip(size_t limit,
                                                         absl::Time now) {
  DropExpired(now);
  std::vector<Suspects::pointer> quarantined;
  std::vector<Suspects::pointer> others;
  for (auto& entry : suspects_) {
    const bool is_quarantined = entry.second.Total() >= kCrashesToQuarantine;
    (is_quarantined ? quarantined : others).push_back(&entry);
  }
  std::vector<CrashCount> counts;
  Append(quarantined, others.empty() ? limit : limit / 2, now, counts);
  Append(others, limit, now, counts);
  return counts;
}

void CrashTracker::Append(std::vector<Suspects::pointer>& suspects,
                          size_t limit, absl::Time now,
                          std::vector<CrashCount>& counts) {
  const size_t chosen = std::min(suspects.size(), limit);
  std::partial_sort(
      suspects.begin(), suspects.begin() + static_cast<std::ptrdiff_t>(chosen),
      suspects.end(), [](Suspects::pointer a, Suspects::pointer b) {
        return std::tie(a->second.told, b->second.last_crash) <
               std::tie(b->second.told, a->second.last_crash);
      });
  for (size_t index = 0; index < chosen; ++index) {
    auto& [fingerprint, suspect] = *suspects[index];
    std::vector<std::pair<int, Incarnation>> most;
    for (const auto& [incarnation, crashes] : suspect.counts) {
      most.emplace_back(crashes, incarnation);
    }
    std::sort(most.rbegin(), most.rend());
    int64_t told = 0;
    for (const auto& [crashes, incarnation] : most) {
      if (counts.size() == limit) return;
      counts.push_back({fingerprint, incarnation, crashes,
                        static_cast<int32_t>(absl::ToInt64Milliseconds(
                            now - suspect.last_crash))});
      // Others need no more to quarantine it.
      if ((told += crashes) >= kCrashesToQuarantine) break;
    }
    ++suspect.told;
  }
}

}  // namespace cherrydyke
