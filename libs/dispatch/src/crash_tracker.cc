#include "dispatch/crash_tracker.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {
namespace {

/// Crashes after which a request is quarantined. Two may be a coincidence, as
/// an unrelated crash counts against every request that was running.
constexpr int kCrashesToQuarantine = 3;
/// Time after the last crash for which crashes count and the request is
/// refused.
constexpr absl::Duration kQuarantineDuration = absl::Minutes(10);
/// Maximum number of targets kept for a request, those that crashed last.
constexpr int kMaxTargets = kCrashesToQuarantine;
/// Maximum number of tracked requests, at a few hundred bytes each.
constexpr size_t kMaxRecords = 4096;
/// How long an answer makes other causes of a crash more likely.
constexpr absl::Duration kRecentAnswerTime = absl::Minutes(1);
/// Crashes of a request that was answered recently count once if they are
/// closer than this: other causes end several targets at once.
constexpr absl::Duration kMinCrashSpacing = absl::Seconds(1);
/// For how long crashes of a request that was answered recently are not
/// gossiped unless they quarantine it: the next answer may show that it is
/// harmless.
constexpr absl::Duration kAnswerGrace = absl::Seconds(1);
/// Period in which answered requests are collected, and their maximum number.
/// Two periods are kept: as long as a crash before the answer may be reported.
constexpr absl::Duration kAnsweredPeriod = kQuarantineDuration;
constexpr size_t kMaxAnswered = 32768;
/// How long a new quarantine is gossiped in every round: a rumour that is sent
/// once to a few random hosts misses some of them.
constexpr absl::Duration kNewQuarantineTime = absl::Seconds(2);

}  // namespace

void CrashTracker::OnAnswered(uint64_t fingerprint, absl::Time sent_at) {
  if (sent_at - answered_since_ >= kAnsweredPeriod ||
      answered_.size() >= kMaxAnswered) {
    const bool is_outdated = sent_at - answered_since_ >= 2 * kAnsweredPeriod;
    answered_before_.swap(answered_);
    answered_.clear();
    if (is_outdated) answered_before_.clear();
    answered_since_ = sent_at;
  }
  absl::Time& last = answered_.try_emplace(fingerprint, sent_at).first->second;
  last = std::max(last, sent_at);
  const auto record = records_.find(fingerprint);
  if (record == records_.end()) return;
  auto& crashed_at = record->second.crashed_at;
  for (auto crash = crashed_at.begin(); crash != crashed_at.end();) {
    crash =
        crash->second <= sent_at ? crashed_at.erase(crash) : std::next(crash);
  }
  if (crashed_at.empty()) records_.erase(record);
}

std::optional<absl::Time> CrashTracker::LastAnswer(uint64_t fingerprint) const {
  std::optional<absl::Time> last;
  for (const auto* answers : {&answered_, &answered_before_}) {
    const auto found = answers->find(fingerprint);
    if (found == answers->end()) continue;
    last = last ? std::max(*last, found->second) : found->second;
  }
  return last;
}

bool CrashTracker::WasAnsweredRecently(uint64_t fingerprint,
                                       absl::Time at) const {
  const std::optional<absl::Time> last_answer = LastAnswer(fingerprint);
  return last_answer && at - *last_answer < kRecentAnswerTime;
}

bool CrashTracker::OnCrash(uint64_t fingerprint, uint32_t target,
                           absl::Time sent_at, absl::Time now) {
  return Add(fingerprint, target, sent_at, now);
}

bool CrashTracker::Merge(const CrashReport& report, absl::Time now) {
  const absl::Duration age = absl::Milliseconds(report.age_ms);
  if (age < absl::ZeroDuration() || age >= kQuarantineDuration) return false;
  return Add(report.fingerprint, report.target, now - age, now);
}

bool CrashTracker::Add(uint64_t fingerprint, uint32_t target, absl::Time at,
                       absl::Time now) {
  const std::optional<absl::Time> last_answer = LastAnswer(fingerprint);
  if (last_answer && at <= *last_answer) return false;
  if (WasAnsweredRecently(fingerprint, at) && IsNearCrash(fingerprint, at)) {
    return false;
  }
  const bool was_quarantined = IsQuarantined(fingerprint, now);
  Record& record = records_[fingerprint];
  if (!record.crashed_at.try_emplace(target, at).second) return false;
  if (record.Total() > kMaxTargets) {
    const auto oldest = std::min_element(
        record.crashed_at.begin(), record.crashed_at.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    const bool is_news = oldest->first != target;
    record.crashed_at.erase(oldest);
    if (!is_news) return false;
  }
  record.last_crash = std::max(record.last_crash, at);
  record.times_sent = 0;
  if (records_.size() > kMaxRecords) EvictOldest();
  if (was_quarantined || !IsQuarantined(fingerprint, now)) return false;
  last_quarantined_at_ = now;
  return true;
}

bool CrashTracker::IsNearCrash(uint64_t fingerprint, absl::Time at) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return false;
  const auto& crashed_at = found->second.crashed_at;
  return std::any_of(
      crashed_at.begin(), crashed_at.end(), [&](const auto& crash) {
        return absl::AbsDuration(crash.second - at) < kMinCrashSpacing;
      });
}

bool CrashTracker::HasNewQuarantine(absl::Time now) const {
  return now - last_quarantined_at_ < kNewQuarantineTime;
}

void CrashTracker::EvictOldest() {
  // Quarantined requests last: many requests are counted once in a crash of
  // many targets.
  const auto order = [](const Records::value_type& entry) {
    return std::make_pair(entry.second.Total() >= kCrashesToQuarantine,
                          entry.second.last_crash);
  };
  records_.erase(std::min_element(
      records_.begin(), records_.end(),
      [&](const auto& a, const auto& b) { return order(a) < order(b); }));
}

void CrashTracker::DropExpired(absl::Time now) {
  for (auto entry = records_.begin(); entry != records_.end();) {
    const bool expired = now - entry->second.last_crash >= kQuarantineDuration;
    entry = expired ? records_.erase(entry) : std::next(entry);
  }
}

bool CrashTracker::IsQuarantined(uint64_t fingerprint, absl::Time now) const {
  const auto found = records_.find(fingerprint);
  return found != records_.end() &&
         found->second.Total() >= kCrashesToQuarantine &&
         now - found->second.last_crash < kQuarantineDuration;
}

int CrashTracker::LimitAttempts(uint64_t fingerprint, int attempts) const {
  return std::clamp(kCrashesToQuarantine - Total(fingerprint), 1,
                    std::max(1, attempts));
}

int CrashTracker::Total(uint64_t fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? 0 : found->second.Total();
}

std::vector<CrashReport> CrashTracker::TakeReportsToGossip(size_t limit,
                                                           absl::Time now) {
  DropExpired(now);
  std::vector<Records::pointer> quarantined;
  std::vector<Records::pointer> suspects;
  std::vector<Records::pointer> others;
  for (auto& entry : records_) {
    const int total = entry.second.Total();
    if (total < kCrashesToQuarantine &&
        now - entry.second.last_crash < kAnswerGrace &&
        WasAnsweredRecently(entry.first, now)) {
      continue;
    }
    (total >= kCrashesToQuarantine       ? quarantined
     : total >= kCrashesToQuarantine - 1 ? suspects
                                         : others)
        .push_back(&entry);
  }
  std::vector<CrashReport> reports;
  const bool only_quarantined = suspects.empty() && others.empty();
  Append(quarantined, only_quarantined ? limit : limit / 2, now, reports);
  Append(suspects, others.empty() ? limit : limit * 3 / 4, now, reports);
  Append(others, limit, now, reports);
  return reports;
}

void CrashTracker::Append(std::vector<Records::pointer>& records, size_t limit,
                          absl::Time now, std::vector<CrashReport>& reports) {
  const size_t selected = std::min(records.size(), limit);
  std::partial_sort(
      records.begin(), records.begin() + static_cast<std::ptrdiff_t>(selected),
      records.end(), [](Records::pointer a, Records::pointer b) {
        return std::tie(a->second.times_sent, b->second.last_crash) <
               std::tie(b->second.times_sent, a->second.last_crash);
      });
  for (size_t index = 0; index < selected; ++index) {
    auto& [fingerprint, record] = *records[index];
    for (const auto& [target, at] : record.crashed_at) {
      if (reports.size() == limit) return;
      reports.push_back(
          {fingerprint, target,
           static_cast<int32_t>(absl::ToInt64Milliseconds(now - at))});
    }
    ++record.times_sent;
  }
}

}  // namespace cherrydyke
