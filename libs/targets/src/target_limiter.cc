#include "targets/target_limiter.h"

#include <algorithm>
#include <cmath>

#include "base/invariant.h"

namespace cherrydyke {
namespace {

/// Weight of a new sample in the smoothed latency.
constexpr double kLatencyWeight = 0.1;
/// What an attempt that ended without an answer counts as, in multiples of the
/// time it had.
constexpr double kUnansweredLatencyFactor = 3;
/// Without use, the smoothed latency holds for a while and then halves again
/// and again.
constexpr absl::Duration kLatencyDecayDelay = absl::Seconds(2);
constexpr absl::Duration kLatencyHalfLife = absl::Seconds(5);
/// Successes this many times slower than usual, so many in a row, are a sign of
/// a cold target.
constexpr double kOutlierFactor = 10;
constexpr int kMaxConsecutiveOutliers = 5;
constexpr absl::Duration kMinOutlierLatency = absl::Milliseconds(50);

/// Whether the request may still run at the target after this outcome. Any
/// answer of the target, a refusal included, ends it.
bool MayStillRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kSilent ||
         outcome == AttemptOutcome::kConnectionLost;
}

}  // namespace

TargetLimiter::TargetLimiter(TargetLimits limits, absl::Time now)
    : limits_(limits),
      limit_(limits.cold_concurrency),
      latency_updated_at_(now) {}

void TargetLimiter::SetLimits(TargetLimits limits) {
  limits_ = limits;
  limit_ = std::min(limit_, limits_.slots);
  if (cold_) limit_ = limits_.cold_concurrency;
}

int TargetLimiter::Limit() const {
  if (draining_) return 0;
  return cold_ ? limits_.cold_concurrency : limit_;
}

TargetPhase TargetLimiter::phase() const {
  if (draining_) return TargetPhase::kDraining;
  if (cold_) return TargetPhase::kCold;
  return limit_ < limits_.slots ? TargetPhase::kWarming : TargetPhase::kWarm;
}

void TargetLimiter::RemoveExpiredOrphans(absl::Time now) {
  orphan_deadlines_.erase(
      std::remove_if(orphan_deadlines_.begin(), orphan_deadlines_.end(),
                     [now](absl::Time end) { return end <= now; }),
      orphan_deadlines_.end());
}

int TargetLimiter::InFlight(absl::Time now) {
  RemoveExpiredOrphans(now);
  return running_ + static_cast<int>(orphan_deadlines_.size());
}

bool TargetLimiter::TryStart(absl::Time now) {
  if (InFlight(now) >= Limit()) return false;
  ++running_;
  CHERRYDYKE_INVARIANT(InFlight(now) <= Limit() && Limit() <= limits_.slots,
                       "a target gets no more than its limit");
  CHERRYDYKE_INVARIANT(!cold_ || InFlight(now) <= limits_.cold_concurrency,
                       "a cold target gets no more than its allowance");
  return true;
}

void TargetLimiter::Abandon() {
  CHERRYDYKE_INVARIANT(running_ > 0, "a request is abandoned after its start");
  --running_;
}

void TargetLimiter::Finish(AttemptOutcome outcome, absl::Duration latency,
                           absl::Time deadline, absl::Time now) {
  CHERRYDYKE_INVARIANT(running_ > 0, "a request finishes only after its start");
  --running_;
  if (MayStillRun(outcome) && deadline > now)
    orphan_deadlines_.push_back(deadline);
  switch (outcome) {
    case AttemptOutcome::kDone:
      OnSuccess(latency);
      ObserveLatency(latency, now);
      break;
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kExpired:
    case AttemptOutcome::kCancelled:
      // The answer would have taken longer still, and how much is not known: a
      // straggler that always loses to its hedge must not look only as slow as
      // the hedge allows.
      if (latency > latency_)
        ObserveLatency(latency * kUnansweredLatencyFactor, now);
      break;
    case AttemptOutcome::kCold:
    case AttemptOutcome::kConnectionLost:
    case AttemptOutcome::kUnreachable:
      MarkCold();
      break;
    case AttemptOutcome::kShed:
      DecreaseLimit();
      break;
    default:
      break;
  }
}

void TargetLimiter::OnSuccess(absl::Duration latency) {
  const absl::Duration far_off =
      std::max(latency_ * kOutlierFactor, kMinOutlierLatency);
  const bool slow = latency_ > absl::ZeroDuration() && latency > far_off;
  consecutive_outliers_ = slow ? consecutive_outliers_ + 1 : 0;
  if (consecutive_outliers_ >= kMaxConsecutiveOutliers) {
    MarkCold();
    return;
  }
  ++successes_;
  if (cold_ && successes_ >= limits_.cold_successes) {
    cold_ = false;
    successes_ = 0;
    limit_ = std::min(limits_.cold_concurrency + 1, limits_.slots);
  } else if (!cold_ && limit_ < limits_.slots && successes_ >= limit_) {
    ++limit_;
    successes_ = 0;
  }
}

void TargetLimiter::ObserveLatency(absl::Duration latency, absl::Time now) {
  const absl::Duration faded = this->latency(now);
  latency_ = faded == absl::ZeroDuration()
                 ? latency
                 : faded * (1 - kLatencyWeight) + latency * kLatencyWeight;
  latency_updated_at_ = now;
}

absl::Duration TargetLimiter::latency(absl::Time now) const {
  const absl::Duration unused = now - latency_updated_at_ - kLatencyDecayDelay;
  if (unused <= absl::ZeroDuration()) return latency_;
  return latency_ * std::exp2(-absl::FDivDuration(unused, kLatencyHalfLife));
}

void TargetLimiter::DecreaseLimit() {
  limit_ = std::max(limits_.cold_concurrency, limit_ - 1);
  successes_ = 0;
}

void TargetLimiter::MarkCold() {
  cold_ = true;
  limit_ = limits_.cold_concurrency;
  successes_ = 0;
  consecutive_outliers_ = 0;
}

void TargetLimiter::OnIncarnation(const std::string& incarnation) {
  if (incarnation_ != incarnation && !incarnation_.empty()) MarkCold();
  incarnation_ = incarnation;
}

}  // namespace cherrydyke
