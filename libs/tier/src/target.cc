#include "target.h"

#include <algorithm>
#include <utility>

#include "telemetry/log.h"

namespace cherrydyke {
namespace {

/// Time to run a request assumed until latency was learned.
constexpr absl::Duration kInitialServiceTime = absl::Milliseconds(10);
/// A refused connection this soon after a broken request shows a crash, unless
/// another was accepted in between: as long as two attempts may take.
constexpr absl::Duration kCrashDetectionWindow = absl::Seconds(3);
/// Pause between attempts to connect that tell a crash from a lost answer: a
/// process that ends may still accept connections while it resets others.
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
  // What was away has started again, whatever its entry still says.
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
  // A process that has ended holds no connection for so long.
  const bool is_alive = pool->IsConnected();
  lost_requests_.erase(
      std::remove_if(lost_requests_.begin(), lost_requests_.end(),
                     [&](const LostRequest& entry) {
                       const absl::Duration age = now - entry.at;
                       return age > kCrashDetectionWindow ||
                              (is_alive && age >= kCrashProbePeriod);
                     }),
      lost_requests_.end());
  probing_for_crash_ = !lost_requests_.empty();
  if (!probing_for_crash_) return;
  // One that turns connections away or asked for time is not pressed.
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
