#include "target.h"

#include <algorithm>
#include <utility>

#include "telemetry/log.h"

namespace cherrydyke {
namespace {

/// Time to serve a request, assumed until latencies have been measured.
constexpr absl::Duration kInitialServiceTime = absl::Milliseconds(10);
/// A connection refused within this time after a lost request indicates a
/// crash, unless one was accepted in between: long enough for two attempts
/// to connect.
constexpr absl::Duration kCrashDetectionWindow = absl::Seconds(3);
/// Period of attempts to connect that tell a crash from a lost response: a
/// process that is terminating may still accept connections while it resets
/// others.
constexpr absl::Duration kCrashProbePeriod = absl::Milliseconds(150);

}  // namespace

TargetSet::Target::Target(TargetSet& owner, TargetInfo target_info,
                          Distance target_distance,
                          absl::Duration assumed_round_trip)
    : set(owner),
      info(std::move(target_info)),
      id_hash(static_cast<uint32_t>(StableHash(info.id))),
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
  if (!unreachable_) {
    LogInfo(
        "target unreachable",
        {{"target", info.id}, {"service", info.service}, {"refused", refused}});
  }
  unreachable_ = true;
  if (refused) ReportCrash();
  health.OnOverdue(now, now);
}

void TargetSet::Target::OnClosedBeforeResponse() {
  const absl::Time now = set.loop_.Now();
  health.OnOverdue(now, now);
}

void TargetSet::Target::OnConnected() {
  if (!unreachable_) return;
  unreachable_ = false;
  // The target has restarted, even if its entry does not yet say so.
  const auto spec = set.config_.services.find(info.service);
  const absl::Duration warmup = spec == set.config_.services.end()
                                    ? absl::ZeroDuration()
                                    : spec->second.warmup;
  cold_until = std::max(cold_until, set.loop_.Now() + warmup);
  LogInfo("target reachable again",
          {{"target", info.id},
           {"service", info.service},
           {"cold_ms", absl::ToInt64Milliseconds(warmup)}});
}

void TargetSet::Target::OnConnectionLost(std::function<void()> on_crash) {
  lost_requests_.push_back({set.loop_.Now(), std::move(on_crash)});
  if (set.loop_.Now() >= backoff_until) pool->Probe();
  if (probing_for_crash_) return;
  probing_for_crash_ = true;
  timers_.RunAfter(kCrashProbePeriod, [this] { ProbeForCrash(); });
}

void TargetSet::Target::ProbeForCrash() {
  const absl::Time now = set.loop_.Now();
  // A connection to a terminated process does not stay established this long.
  const bool is_alive = pool->IsConnected();
  const size_t pending = lost_requests_.size();
  lost_requests_.erase(
      std::remove_if(lost_requests_.begin(), lost_requests_.end(),
                     [&](const LostRequest& entry) {
                       const absl::Duration age = now - entry.at;
                       return age > kCrashDetectionWindow ||
                              (is_alive && age >= kCrashProbePeriod);
                     }),
      lost_requests_.end());
  if (lost_requests_.size() < pending) {
    LogInfo("lost answers not explained by a crash",
            {{"target", info.id},
             {"answers", pending - lost_requests_.size()},
             {"connected", is_alive}});
  }
  probing_for_crash_ = !lost_requests_.empty();
  if (!probing_for_crash_) return;
  // A target that closes new connections or asked for a backoff is not probed.
  if (!pool->is_backing_off() && now >= backoff_until) pool->Probe();
  timers_.RunAfter(kCrashProbePeriod, [this] { ProbeForCrash(); });
}

void TargetSet::Target::ReportCrash() {
  const absl::Time now = set.loop_.Now();
  for (const LostRequest& entry : std::exchange(lost_requests_, {})) {
    if (now - entry.at <= kCrashDetectionWindow) entry.on_crash();
  }
}

}  // namespace cherrydyke
