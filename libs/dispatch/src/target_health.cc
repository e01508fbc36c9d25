#include "dispatch/target_health.h"

#include <algorithm>
#include <cmath>

namespace cherrydyke {
namespace {

/// Weight of the newest sample in the smoothed latency.
constexpr double kLatencyWeight = 0.2;
/// Successes that a target is credited with from the start: so many failures
/// in a row make it look as bad as good.
constexpr double kCreditedSuccesses = 3;
/// Exchanges that the failure rate looks back on at most: with many requests a
/// change shows within a fraction of a second.
constexpr double kMostExchanges = 15;
/// What another host saw counts by this much: a target may fail for one host
/// and serve another.
constexpr double kToldWeight = 0.8;
/// A part of failures that costs a request about as much as a trip within a
/// region.
constexpr double kDoubtfulRate = 0.02;
/// Time in which what was learned loses half of its difference from the prior:
/// a target that is avoided gets another chance after a few of them.
constexpr absl::Duration kForgetHalf = absl::Seconds(5);
/// Least time above the mean after which a request is overdue: less than it,
/// scheduling on a small host looks like a slow target.
constexpr absl::Duration kMinOverdue = absl::Milliseconds(15);
/// Time in which failures of a target that nobody asks lose half of their
/// weight, so that it gets another chance.
constexpr absl::Duration kForgetUnaskedHalf = absl::Milliseconds(2500);
/// First and longest time for which a silent target is avoided.
constexpr absl::Duration kFirstBackoff = absl::Milliseconds(150);
constexpr absl::Duration kLongestBackoff = absl::Seconds(3);
/// Silence longer than this is no pause: twice the pauses that targets are said
/// to make, and some time to be seen.
constexpr absl::Duration kDarkTime = absl::Milliseconds(500);
/// How long a report of load describes the target.
constexpr absl::Duration kLoadValidity = absl::Milliseconds(100);

double Decay(absl::Duration age, absl::Duration half = kForgetHalf) {
  return std::exp2(-absl::FDivDuration(age, half));
}

}  // namespace

void TargetHealth::OnEnded(TargetOutcome sign, absl::Duration latency,
                           absl::Time now) {
  OnSendCancelled();
  if (sign == TargetOutcome::kNotSent) return;
  // Work that is given up would have taken at least so long.
  if (sign == TargetOutcome::kCancelled) return Learn(latency, now);
  if (sign == TargetOutcome::kUnreachable) {
    // The request is none the worse: it goes elsewhere at once.
    silent_since_ = std::min(silent_since_, now);
    return Suspect(now);
  }
  Count(1, sign == TargetOutcome::kAnswered ? 0 : 1, now);
  if (sign == TargetOutcome::kLost) return;
  answered_at_ = now;
  silent_since_ = absl::InfiniteFuture();
  suspect_until_ = absl::InfinitePast();
  backoff_ = absl::ZeroDuration();
  if (sign == TargetOutcome::kAnswered) Learn(latency, now);
}

void TargetHealth::Count(double exchanges, double failures, absl::Time now) {
  const double kept =
      std::min(Decay(now - counted_at_),
               kMostExchanges / std::max(exchanges_, kMostExchanges));
  exchanges_ = exchanges_ * kept + exchanges;
  failures_ = failures_ * kept + failures;
  counted_at_ = now;
}

void TargetHealth::OnPeerReport(int answers, int failures, absl::Time now) {
  Count(kToldWeight * (answers + failures), kToldWeight * failures, now);
}

void TargetHealth::Learn(absl::Duration latency, absl::Time now) {
  if (learned_at_ == absl::InfinitePast()) {
    mean_ = latency;
    deviation_ = prior_deviation_;
  } else {
    const absl::Duration mean = Mean(now);
    const absl::Duration error = absl::AbsDuration(latency - mean);
    mean_ = mean + (latency - mean) * kLatencyWeight;
    deviation_ += (error - deviation_) * kLatencyWeight;
  }
  learned_at_ = now;
}

void TargetHealth::OnOverdue(absl::Time sent_at, absl::Time now) {
  // Answers to later requests show that the target is well.
  if (answered_at_ > sent_at) return;
  silent_since_ = std::min(silent_since_, sent_at);
  Suspect(now);
}

void TargetHealth::Suspect(absl::Time now) {
  if (now < suspect_until_) return;
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kLongestBackoff);
  suspect_until_ = now + backoff_;
}

void TargetHealth::OnLoad(TargetLoad load, absl::Time now) {
  load_ = load;
  load_at_ = now;
}

absl::Duration TargetHealth::Mean(absl::Time now) const {
  if (learned_at_ == absl::InfinitePast()) return prior_;
  return prior_ + (mean_ - prior_) * Decay(now - learned_at_);
}

absl::Duration TargetHealth::ExpectedLatency(int slots, int connections,
                                             absl::Time now) const {
  const absl::Duration mean = Mean(now);
  int load = outstanding_;
  if (now - load_at_ < kLoadValidity) {
    load = std::max(load, load_.running + load_.waiting);
  }
  const double at_target =
      static_cast<double>(std::max(0, load + 1 - slots)) / slots;
  const double at_host =
      static_cast<double>(std::max(0, outstanding_ + 1 - connections)) /
      connections;
  // A little for each request there, so that equals share the load.
  const double sharing = 0.05 * load;
  return mean * (1 + std::max(at_target, at_host) + sharing);
}

absl::Duration TargetHealth::OverdueAfter(absl::Time now,
                                          double deviations) const {
  const absl::Duration mean = Mean(now);
  const absl::Duration deviation =
      learned_at_ == absl::InfinitePast() ? prior_deviation_ : deviation_;
  return mean + std::max(kMinOverdue, deviation * deviations);
}

bool TargetHealth::IsSuspect(absl::Time now) const {
  if (now < suspect_until_) return true;
  // One request at a time tries a target that was suspect.
  return backoff_ > absl::ZeroDuration() && outstanding_ > 0;
}

bool TargetHealth::IsUnresponsive(absl::Time now) const {
  // A trial after the first silence has found nothing either.
  const bool tried_again = backoff_ > kFirstBackoff;
  return tried_again && now - silent_since_ > kDarkTime && IsSuspect(now);
}

bool TargetHealth::HasElevatedFailureRate(absl::Time now) const {
  return FailureRate(now) > kDoubtfulRate;
}

double TargetHealth::FailureRate(absl::Time now) const {
  const double kept = Decay(now - counted_at_, kForgetUnaskedHalf);
  return failures_ * kept / (exchanges_ * kept + kCreditedSuccesses);
}

}  // namespace cherrydyke
