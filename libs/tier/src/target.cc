#include "target.h"

#include <algorithm>
#include <utility>

#include "telemetry/log.h"

namespace cherrydyke {
namespace {

/// Time to run a request assumed until latency was learned.
constexpr absl::Duration kPriorWork = absl::Milliseconds(10);
/// A refused connection this soon after a broken request shows a crash, unless
/// another was accepted in between: as long as two attempts may take.
constexpr absl::Duration kCrashEvidenceTime = absl::Seconds(3);
/// Pause between attempts to connect that tell a crash from a lost answer: a
/// process that ends may still accept connections while it resets others.
constexpr absl::Duration kExplainPeriod = absl::Milliseconds(150);

}  // namespace

TargetSet::Target::Target(TargetSet& owner, TargetInfo target_info,
                          Distance from_here, absl::Duration trip)
    : set(owner),
      info(std::move(target_info)),
      hash(static_cast<uint32_t>(StableHash(info.id))),
      distance(from_here),
      round_trip(trip),
      health(trip, kPriorWork),
      listed_at(owner.loop_.Now()) {
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
  if (refused) ConfirmCrash();
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
  const auto spec = set.orders_.services.find(info.service);
  const absl::Duration warmup = spec == set.orders_.services.end()
                                    ? absl::ZeroDuration()
                                    : spec->second.warmup;
  cold_until = std::max(cold_until, set.loop_.Now() + warmup);
  LogInfo("target reachable again",
          {{"target", info.id},
           {"service", info.service},
           {"cold_ms", absl::ToInt64Milliseconds(warmup)}});
}

void TargetSet::Target::OnLostRequest(std::function<void()> on_crash) {
  lost_.push_back({set.loop_.Now(), std::move(on_crash)});
  if (set.loop_.Now() >= opens_at) pool->Probe();
  if (explaining_) return;
  explaining_ = true;
  timers_.RunAfter(kExplainPeriod, [this] { ExplainLost(); });
}

void TargetSet::Target::ExplainLost() {
  const absl::Time now = set.loop_.Now();
  // A process that has ended holds no connection for so long.
  const bool is_alive = pool->IsConnected();
  lost_.erase(std::remove_if(lost_.begin(), lost_.end(),
                             [&](const Lost& entry) {
                               const absl::Duration age = now - entry.at;
                               return age > kCrashEvidenceTime ||
                                      (is_alive && age >= kExplainPeriod);
                             }),
              lost_.end());
  explaining_ = !lost_.empty();
  if (!explaining_) return;
  // One that turns connections away or asked for time is not pressed.
  if (!pool->is_backing_off() && now >= opens_at) pool->Probe();
  timers_.RunAfter(kExplainPeriod, [this] { ExplainLost(); });
}

void TargetSet::Target::ConfirmCrash() {
  const absl::Time now = set.loop_.Now();
  for (const Lost& entry : std::exchange(lost_, {})) {
    if (now - entry.at <= kCrashEvidenceTime) entry.on_crash();
  }
}

}  // namespace cherrydyke
