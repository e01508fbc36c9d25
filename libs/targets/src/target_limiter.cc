#include "targets/target_limiter.h"

#include <algorithm>
#include <cmath>

#include "base/invariant.h"

namespace cherrydyke {
namespace {

/// Weight of a new sample in the smoothed latency.
constexpr double kLatencySampleWeight = 0.1;
/// Latency sample of an attempt that ended without an answer, in multiples of
/// the time that it took.
constexpr double kUnansweredLatencyFactor = 3;
/// Without new samples the smoothed latency is constant for the delay and then
/// decays with the half-life.
constexpr absl::Duration kLatencyDecayDelay = absl::Seconds(2);
constexpr absl::Duration kLatencyHalfLife = absl::Seconds(5);
/// A success is an outlier if its latency exceeds the minimum and this multiple
/// of the smoothed latency. So many consecutive outliers mark the target as
/// cold.
constexpr double kOutlierFactor = 10;
constexpr int kMaxConsecutiveOutliers = 5;
constexpr absl::Duration kMinOutlierLatency = absl::Milliseconds(50);

/// Whether the request may still be running at the target after this outcome.
/// Any answer of the target, including a refusal, proves that it has ended.
bool MayStillRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kUnresponsive ||
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
  CHERRYDYKE_INVARIANT(
      InFlight(now) <= Limit() && Limit() <= limits_.slots,
      "running and orphaned requests stay within the limit of the target");
  CHERRYDYKE_INVARIANT(
      !cold_ || InFlight(now) <= limits_.cold_concurrency,
      "a cold target runs no more requests than its cold concurrency");
  return true;
}

void TargetLimiter::Abandon() {
  CHERRYDYKE_INVARIANT(running_ > 0,
                       "a request is abandoned only after its start");
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
    case AttemptOutcome::kUnresponsive:
    case AttemptOutcome::kDeadlineExceeded:
    case AttemptOutcome::kCancelled:
      // The answer would have taken longer by an unknown time. Without the
      // factor, a slow target that always loses to its hedge would look no
      // slower than the hedge.
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
  const absl::Duration outlier_latency =
      std::max(latency_ * kOutlierFactor, kMinOutlierLatency);
  const bool outlier =
      latency_ > absl::ZeroDuration() && latency > outlier_latency;
  consecutive_outliers_ = outlier ? consecutive_outliers_ + 1 : 0;
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
  const absl::Duration decayed = this->latency(now);
  latency_ = decayed == absl::ZeroDuration()
                 ? latency
                 : decayed * (1 - kLatencySampleWeight) +
                       latency * kLatencySampleWeight;
  latency_updated_at_ = now;
}

absl::Duration TargetLimiter::latency(absl::Time now) const {
  const absl::Duration idle_time =
      now - latency_updated_at_ - kLatencyDecayDelay;
  if (idle_time <= absl::ZeroDuration()) return latency_;
  return latency_ * std::exp2(-absl::FDivDuration(idle_time, kLatencyHalfLife));
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
