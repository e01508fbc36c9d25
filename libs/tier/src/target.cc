#include "target.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "partition_monitor.h"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

/// Time to serve a request, assumed until latencies have been measured.
constexpr absl::Duration kInitialServiceTime = absl::Milliseconds(10);
/// Period of attempts to connect that tell a crash from a lost response: a
/// process that is terminating may still accept connections while it resets
/// others.
constexpr absl::Duration kCrashProbePeriod = absl::Milliseconds(150);
/// Time from the first failures until a partition is suspected on a host with
/// few requests.
constexpr absl::Duration kMaxSuspicionDelay = absl::Seconds(2);

}  // namespace

TargetSet::Target::Target(TargetSet& owner, TargetInfo target_info,
                          Distance target_distance,
                          absl::Duration assumed_round_trip)
    : set(owner),
      info(std::move(target_info)),
      id_hash(static_cast<uint32_t>(StableHash(info.id))),
      instance_hash(static_cast<uint32_t>(
          StableHash(absl::StrCat(info.id, "\n", info.endpoint, "\n",
                                  info.start_time_ms.value_or(0))))),
      distance(target_distance),
      round_trip(assumed_round_trip),
      health(assumed_round_trip, kInitialServiceTime),
      first_listed_at(owner.loop_.Now()) {
  pool = std::make_unique<engine::ConnectionPool>(
      owner.loop_, info.endpoint, owner.options_, connection_limit,
      static_cast<engine::ConnectionPool::Listener*>(this));
}

void TargetSet::Target::OnConnectFailed(bool refused) {
  const absl::Time now = set.loop_.Now();
  if (unreachable_since_ == absl::InfiniteFuture()) {
    unreachable_since_ = now;
    LogInfo(
        "target unreachable",
        {{"target", info.id}, {"service", info.service}, {"refused", refused}});
  }
  health.OnOverdue(now, now);
  set.OnConnectFailed(*this);
  if (set.partition_monitor_->IsPathTrusted()) {
    crash_detector_.OnConnectFailed(
        refused, set.HasRecentResponse(info.failure_domain), now);
  }
}

void TargetSet::Target::OnClosedBeforeResponse() {
  const absl::Time now = set.loop_.Now();
  health.OnOverdue(now, now);
}

void TargetSet::Target::OnConnected() {
  const absl::Time now = set.loop_.Now();
  set.connect_failures_.OnConnected(now);
  crash_detector_.OnConnected(now);
  const absl::Time since =
      std::exchange(unreachable_since_, absl::InfiniteFuture());
  if (since == absl::InfiniteFuture()) return;
  health.OnConnected(now);
  const bool explained =
      set.IsPartitioned() &&
      since >= set.partition_monitor_->silent_since() - kMaxSuspicionDelay;
  absl::Duration warmup;
  const auto spec = set.config_.services.find(info.service);
  if (!explained && spec != set.config_.services.end()) {
    // The target has restarted, even if its entry does not yet say so.
    warmup = spec->second.warmup;
  }
  cold_until = std::max(cold_until, now + warmup);
  LogInfo("target reachable again",
          {{"target", info.id},
           {"service", info.service},
           {"cold_ms", absl::ToInt64Milliseconds(warmup)}});
}

void TargetSet::Target::OnLateConnected() {
  const absl::Time now = set.loop_.Now();
  set.connect_failures_.OnConnected(now);
  crash_detector_.OnConnected(now);
  const absl::Time since =
      std::exchange(unreachable_since_, absl::InfiniteFuture());
  // Its older connections show that it hasn't restarted.
  if (since != absl::InfiniteFuture()) health.OnConnected(now);
}

void TargetSet::Target::OnUnanswered(AttemptLoss loss, absl::Time sent_at,
                                     CrashDetector::OnVerdict on_verdict) {
  const absl::Time now = set.loop_.Now();
  crash_detector_.OnUnanswered({loss, sent_at, health.unresponsive_since()},
                               now, std::move(on_verdict));
  if (!crash_detector_.HasPending()) return;
  if (now >= backoff_until) pool->Probe();
  if (std::exchange(probing_for_crash_, true)) return;
  timers_.RunAfter(kCrashProbePeriod, [this] { ProbeForCrash(); });
}

void TargetSet::Target::OnResponse() {
  crash_detector_.OnResponse(set.loop_.Now());
}

void TargetSet::Target::OnPathRestored(absl::Time lost_at) {
  const absl::Time earliest = lost_at - kMaxSuspicionDelay;
  if (unreachable_since_ != absl::InfiniteFuture() &&
      unreachable_since_ >= earliest) {
    unreachable_since_ = absl::InfiniteFuture();
  }
  health.OnPathRestored(earliest);
  pool->RestartAttempts();
}

void TargetSet::Target::OnInstanceEnded() {
  crash_detector_.OnInstanceEnded(info.draining || leaving, pool->IsConnected(),
                                  set.loop_.Now());
}

void TargetSet::Target::ProbeForCrash() {
  const absl::Time now = set.loop_.Now();
  crash_detector_.OnPoll(pool->IsConnected(), set.IsPathToOthersOpen(*this),
                         now);
  probing_for_crash_ = crash_detector_.HasPending();
  if (!probing_for_crash_) return;
  // A target that closes new connections or asked for a backoff is not probed.
  if (crash_detector_.NeedsProbe() && !pool->is_backing_off() &&
      now >= backoff_until) {
    pool->Probe();
  }
  timers_.RunAfter(kCrashProbePeriod, [this] { ProbeForCrash(); });
}

}  // namespace cherrydyke
