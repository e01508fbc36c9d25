#include "dispatch/target_health.h"

#include <algorithm>
#include <cmath>

namespace cherrydyke {
namespace {

/// Weight of the newest sample in the smoothed latency.
constexpr double kLatencyWeight = 0.2;
/// Weight of the prior, in successful requests: after this many consecutive
/// failures the failure rate is 1/2.
constexpr double kPriorSuccesses = 3;
/// Maximum number of requests in the failure rate, so that it follows a change
/// within a fraction of a second at high request rates.
constexpr double kMaxRequests = 15;
/// Weight of the reports of other hosts. It is below 1, because a target may
/// fail for one host and serve another.
constexpr double kPeerReportWeight = 0.8;
/// At this failure rate, failures cost a request about as much as a round trip
/// within a region.
constexpr double kElevatedFailureRate = 0.02;
/// Half-life of the learned latency, which decays to the prior, and of older
/// request counts. A target that is avoided as slow is tried again after a few
/// half-lives.
constexpr absl::Duration kEstimateHalfLife = absl::Seconds(5);
/// Minimum margin above the mean after which a request is overdue. With less,
/// scheduling delays on a small host look like a slow target.
constexpr absl::Duration kMinOverdueMargin = absl::Milliseconds(15);
/// Half-life of the failure counts since the last request, so that a target
/// that gets no requests is tried again.
constexpr absl::Duration kIdleFailureHalfLife = absl::Milliseconds(2500);
/// Initial and maximum time between half-open probes of a suspect target.
constexpr absl::Duration kInitialProbeBackoff = absl::Milliseconds(150);
constexpr absl::Duration kMaxProbeBackoff = absl::Seconds(3);
/// A target without answers for longer than this is not merely paused: twice
/// the specified pause of targets, plus the time to detect it.
constexpr absl::Duration kUnresponsiveAfter = absl::Milliseconds(500);
/// Time for which a reported load is used.
constexpr absl::Duration kLoadValidity = absl::Milliseconds(100);

double Decay(absl::Duration age, absl::Duration half_life = kEstimateHalfLife) {
  return std::exp2(-absl::FDivDuration(age, half_life));
}

}  // namespace

void TargetHealth::OnEnded(TargetOutcome outcome, absl::Duration latency,
                           absl::Time now) {
  OnSendCancelled();
  if (outcome == TargetOutcome::kNotSent) return;
  // The request would have taken at least this long.
  if (outcome == TargetOutcome::kCancelled) return RecordLatency(latency, now);
  if (outcome == TargetOutcome::kUnreachable) {
    // Not counted as a failure, as the request is sent to another target at
    // once.
    unresponsive_since_ = std::min(unresponsive_since_, now);
    return MarkSuspect(now);
  }
  RecordRequests(1, outcome == TargetOutcome::kAnswered ? 0 : 1, now);
  if (outcome == TargetOutcome::kLost) return;
  last_answer_at_ = now;
  unresponsive_since_ = absl::InfiniteFuture();
  suspect_until_ = absl::InfinitePast();
  probe_backoff_ = absl::ZeroDuration();
  if (outcome == TargetOutcome::kAnswered) RecordLatency(latency, now);
}

void TargetHealth::RecordRequests(double requests, double failures,
                                  absl::Time now) {
  const double kept =
      std::min(Decay(now - counts_updated_at_),
               kMaxRequests / std::max(requests_, kMaxRequests));
  requests_ = requests_ * kept + requests;
  failures_ = failures_ * kept + failures;
  counts_updated_at_ = now;
}

void TargetHealth::OnPeerReport(int answers, int failures, absl::Time now) {
  RecordRequests(kPeerReportWeight * (answers + failures),
                 kPeerReportWeight * failures, now);
}

void TargetHealth::RecordLatency(absl::Duration latency, absl::Time now) {
  if (latency_updated_at_ == absl::InfinitePast()) {
    mean_ = latency;
    deviation_ = prior_deviation_;
  } else {
    const absl::Duration mean = CurrentMean(now);
    const absl::Duration error = absl::AbsDuration(latency - mean);
    mean_ = mean + (latency - mean) * kLatencyWeight;
    deviation_ += (error - deviation_) * kLatencyWeight;
  }
  latency_updated_at_ = now;
}

void TargetHealth::OnOverdue(absl::Time sent_at, absl::Time now) {
  // The target has answered since the request was sent, so it is responsive.
  if (last_answer_at_ > sent_at) return;
  unresponsive_since_ = std::min(unresponsive_since_, sent_at);
  MarkSuspect(now);
}

void TargetHealth::OnConnected(absl::Time now) {
  suspect_until_ = std::min(suspect_until_, now);
}

void TargetHealth::OnPathRestored(absl::Time lost_at) {
  if (unresponsive_since_ == absl::InfiniteFuture() ||
      unresponsive_since_ < lost_at) {
    return;
  }
  unresponsive_since_ = absl::InfiniteFuture();
  suspect_until_ = absl::InfinitePast();
  probe_backoff_ = absl::ZeroDuration();
  requests_ = 0;
  failures_ = 0;
}

void TargetHealth::MarkSuspect(absl::Time now) {
  if (now < suspect_until_) return;
  probe_backoff_ =
      std::clamp(probe_backoff_ * 2, kInitialProbeBackoff, kMaxProbeBackoff);
  suspect_until_ = now + probe_backoff_;
}

void TargetHealth::OnLoad(TargetLoad load, absl::Time now) {
  load_ = load;
  load_updated_at_ = now;
}

absl::Duration TargetHealth::CurrentMean(absl::Time now) const {
  if (latency_updated_at_ == absl::InfinitePast()) return prior_;
  return prior_ + (mean_ - prior_) * Decay(now - latency_updated_at_);
}

absl::Duration TargetHealth::ExpectedLatency(int slots, int connections,
                                             absl::Time now) const {
  const absl::Duration mean = CurrentMean(now);
  int load = outstanding_;
  if (now - load_updated_at_ < kLoadValidity) {
    load = std::max(load, load_.running + load_.waiting);
  }
  const double target_queue =
      static_cast<double>(std::max(0, load + 1 - slots)) / slots;
  const double host_queue =
      static_cast<double>(std::max(0, outstanding_ + 1 - connections)) /
      connections;
  // A small cost per request, so that equally good targets share the load.
  const double sharing_cost = 0.05 * load;
  return mean * (1 + std::max(target_queue, host_queue) + sharing_cost);
}

absl::Duration TargetHealth::OverdueAfter(absl::Time now,
                                          double deviations) const {
  const absl::Duration mean = CurrentMean(now);
  const absl::Duration deviation = latency_updated_at_ == absl::InfinitePast()
                                       ? prior_deviation_
                                       : deviation_;
  return mean + std::max(kMinOverdueMargin, deviation * deviations);
}

bool TargetHealth::IsSuspect(absl::Time now) const {
  if (now < suspect_until_) return true;
  // Half-open: one request at a time probes a target that was suspect.
  return probe_backoff_ > absl::ZeroDuration() && outstanding_ > 0;
}

bool TargetHealth::IsUnresponsive(absl::Time now) const {
  // A half-open probe after the first suspicion was not answered either.
  const bool was_probed = probe_backoff_ > kInitialProbeBackoff;
  return was_probed && now - unresponsive_since_ > kUnresponsiveAfter &&
         IsSuspect(now);
}

bool TargetHealth::HasElevatedFailureRate(absl::Time now) const {
  return FailureRate(now) > kElevatedFailureRate;
}

double TargetHealth::FailureRate(absl::Time now) const {
  const double kept = Decay(now - counts_updated_at_, kIdleFailureHalfLife);
  return failures_ * kept / (requests_ * kept + kPriorSuccesses);
}

}  // namespace cherrydyke
