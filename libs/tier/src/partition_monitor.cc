#include "partition_monitor.h"

#include <algorithm>
#include <utility>

#include "telemetry/log.h"

namespace cherrydyke {
namespace {

/// Targets probed in one round, and how long each may take to accept the
/// connection: several round trips between regions.
constexpr size_t kProbesPerRound = 6;
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(250);
constexpr absl::Duration kPollPeriod = absl::Milliseconds(50);

const char* StateName(PathState state) {
  switch (state) {
    case PathState::kConnected:
      return "targets reached again";
    case PathState::kSuspected:
      return "targets fell silent together";
    case PathState::kPartitioned:
      return "partitioned from all targets";
  }
  return "unknown";
}

}  // namespace

PartitionMonitor::PartitionMonitor(engine::EventLoop& loop, Callbacks callbacks)
    : loop_(loop), callbacks_(std::move(callbacks)) {}

PartitionMonitor::~PartitionMonitor() {
  for (const Probe& probe : probes_) End(probe);
  for (const Probe& probe : late_probes_) End(probe);
}

void PartitionMonitor::End(const Probe& probe) {
  probe.connection->Detach();
  probe.connection->Close();
}

void PartitionMonitor::OnSent(uint32_t target) {
  detector_.OnSent(target, loop_.Now());
}

void PartitionMonitor::OnResponse() {
  detector_.OnResponse(loop_.Now());
  ApplyState();
}

void PartitionMonitor::OnUnanswered(uint32_t target) {
  detector_.OnUnanswered(target, loop_.Now());
  ApplyState();
}

void PartitionMonitor::OnUnconnected(uint32_t target, bool any_connected) {
  detector_.OnUnconnected(target, any_connected, loop_.Now());
  ApplyState();
}

void PartitionMonitor::ApplyState() {
  const PathState state = detector_.state();
  if (state == applied_state_) return;
  const absl::Time now = loop_.Now();
  if (state != PathState::kConnected) applied_since_ = detector_.silent_since();
  const PartitionEvidence evidence = detector_.evidence();
  Fields fields = {
      {"silent_ms", absl::ToInt64Milliseconds(now - applied_since_)},
      {"silent_targets", evidence.silent_targets},
      {"unconnected_targets", evidence.unconnected_targets},
      {"recent_targets", evidence.recent_targets},
      {"probes_connected", evidence.probes_connected},
      {"probes_failed", evidence.probes_failed}};
  if (evidence.last_contact_at != absl::InfinitePast()) {
    fields.emplace_back(
        "last_contact_ms_ago",
        absl::ToInt64Milliseconds(now - evidence.last_contact_at));
  }
  LogInfo(StateName(state), fields);
  const PathState previous = std::exchange(applied_state_, state);
  if (state == PathState::kSuspected) {
    callbacks_.on_suspected();
  } else if (state == PathState::kPartitioned) {
    callbacks_.on_partitioned();
  } else if (previous == PathState::kPartitioned) {
    callbacks_.on_restored(applied_since_);
  }
  if (state != PathState::kConnected && !std::exchange(polling_, true)) {
    // The event that is being handled may be that of a connection pool.
    timers_.Post([this] { Poll(); });
  }
}

void PartitionMonitor::Poll() {
  polling_ = detector_.state() != PathState::kConnected;
  if (!polling_) return;
  if (detector_.StartProbeRound(loop_.Now())) StartRound();
  timers_.RunAfter(kPollPeriod, [this] { Poll(); });
}

void PartitionMonitor::StartRound() {
  engine::ClientOptions options;
  options.connect_timeout = kProbeTimeout;
  const absl::Time now = loop_.Now();
  for (const Endpoint& endpoint : callbacks_.choose_probes(kProbesPerRound)) {
    probes_.push_back(
        {std::make_shared<engine::ClientConnection>(
             loop_, endpoint, options,
             static_cast<engine::ClientConnection::Observer*>(this)),
         now});
  }
  if (probes_.empty()) return detector_.OnRoundEnded(loop_.Now());
  for (const Probe& probe : Probes(probes_)) probe.connection->Connect();
}

void PartitionMonitor::OnOpened(engine::ClientConnection& connection) {
  const auto late = Find(late_probes_, connection);
  if (late == late_probes_.end()) return EndProbe(connection, true);
  End(Probe(*late));
  late_probes_.erase(late);
  detector_.OnLateProbeConnected(loop_.Now());
  ApplyState();
}

void PartitionMonitor::OnConnectLate(engine::ClientConnection& connection) {
  EndProbe(connection, false);
}

void PartitionMonitor::OnClosed(engine::ClientConnection& connection,
                                bool /*was_open*/, bool /*by_peer*/) {
  const auto late = Find(late_probes_, connection);
  if (late == late_probes_.end()) return EndProbe(connection, false);
  End(Probe(*late));
  late_probes_.erase(late);
}

PartitionMonitor::Probes::iterator PartitionMonitor::Find(
    Probes& probes, const engine::ClientConnection& connection) {
  return std::find_if(probes.begin(), probes.end(), [&](const Probe& probe) {
    return probe.connection.get() == &connection;
  });
}

bool PartitionMonitor::KeepLate(const Probe& probe) {
  const bool is_kept = late_probes_.empty() ||
                       late_probes_.front().started_at == probe.started_at;
  if (is_kept) late_probes_.push_back(probe);
  return is_kept;
}

void PartitionMonitor::EndProbe(engine::ClientConnection& connection,
                                bool connected) {
  const auto found = Find(probes_, connection);
  if (found == probes_.end()) return;
  const Probe probe = *found;
  probes_.erase(found);
  const bool is_late = connection.IsConnecting();
  if (!is_late || !KeepLate(probe)) End(probe);
  detector_.OnProbeEnded(connected, loop_.Now());
  if (probes_.empty()) detector_.OnRoundEnded(loop_.Now());
  ApplyState();
}

}  // namespace cherrydyke
