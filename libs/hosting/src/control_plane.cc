#include "hosting/control_plane.h"

#include <algorithm>

#include "absl/time/clock.h"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

constexpr absl::Duration kHeartbeatPeriod = absl::Milliseconds(400);
/// Recipients of a broadcast heartbeat. These are all peers of a fleet that has
/// no more than this.
constexpr size_t kBroadcastFanout = 64;
constexpr absl::Duration kRoleUpdatePeriod = absl::Milliseconds(200);
/// How long the platform may delay its response until something changes.
constexpr absl::Duration kLongPollTimeout = absl::Seconds(5);
/// The same for a daemon without live peers on other hosts. It is short because
/// only responses of the platform confirm that the daemon is not partitioned.
constexpr absl::Duration kIsolatedLongPollTimeout = absl::Milliseconds(500);
constexpr absl::Duration kIdlePollInterval = absl::Milliseconds(100);
constexpr absl::Duration kFirstErrorBackoff = absl::Milliseconds(200);
constexpr absl::Duration kMaxErrorBackoff = absl::Seconds(2);
constexpr int kMaxErrorBackoffDoublings = 5;
/// Minimum pause between reads of the host list, which is large and lags behind
/// the actual hosts in any case.
constexpr absl::Duration kMinHostListReadInterval = absl::Milliseconds(200);
constexpr absl::Duration kDatagramReceiveTimeout = absl::Milliseconds(200);
constexpr absl::Duration kSyncTimeout = absl::Milliseconds(800);
/// How long a new daemon waits for live peers before it relies on the platform
/// alone.
constexpr absl::Duration kPeerDiscoveryTimeout = absl::Milliseconds(1000);

}  // namespace

ControlPlane::ControlPlane(const DaemonSettings& settings, Identity identity,
                           const Clock& clock, Platform& platform,
                           Transports transports, Metrics& metrics,
                           Callbacks callbacks)
    : settings_(settings),
      identity_(identity),
      clock_(clock),
      platform_(platform),
      transports_(std::move(transports)),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      control_(clock),
      peers_({settings.host_id, identity.kind}, settings.failure_domain, {}),
      random_(identity.incarnation),
      started_at_(clock.Now()),
      config_changed_at_(clock.Now()),
      catalogue_(std::make_shared<Catalogue>()),
      hosts_(std::make_shared<HostList>()) {}

ControlPlane::~ControlPlane() { Stop(); }

void ControlPlane::Start() {
  sync_server_ = std::make_unique<LinkServer>(
      std::move(transports_.sync_listener), transports_.connector,
      [this](const std::shared_ptr<Link>& link, Message message) {
        const auto* request = std::get_if<SyncRequest>(&message);
        if (request != nullptr) link->Send(BuildSyncReply(*request));
      },
      [this](const Error& error) {
        metrics_.counter("cherrydyke_sync_faults_total").Add();
        LogWarning("sync link of a peer closed after an invalid frame",
                   {{"reason", error.message}});
      });
  threads_.emplace_back([this] { WatchConfig(); });
  threads_.emplace_back([this] { WatchHosts(); });
  threads_.emplace_back([this] { ReceiveDatagrams(); });
  threads_.emplace_back([this] { PullFromPeers(); });
  control_.Every(kHeartbeatPeriod, [this] { SendHeartbeats(); });
  control_.Every(kRoleUpdatePeriod, [this] { UpdateRole(); });
}

void ControlPlane::Stop() {
  if (stopping_.exchange(true)) return;
  {
    const absl::MutexLock lock(&mutex_);
    pulls_changed_.SignalAll();
  }
  for (std::thread& thread : threads_) thread.join();
  if (sync_server_ != nullptr) sync_server_->Stop();
  control_.Stop();
}

std::shared_ptr<const Catalogue> ControlPlane::catalogue() const {
  const absl::MutexLock lock(&mutex_);
  return catalogue_;
}

std::shared_ptr<const HostList> ControlPlane::hosts() const {
  const absl::MutexLock lock(&mutex_);
  return hosts_;
}

absl::Duration ControlPlane::catalogue_age() const {
  absl::Duration age;
  const_cast<ControlThread&>(control_).RunAndWait(
      [&] { age = clock_.Now() - config_changed_at_; });
  return age;
}

std::vector<RefusedChange> ControlPlane::refused_changes() const {
  std::vector<RefusedChange> refused;
  const_cast<ControlThread&>(control_).RunAndWait(
      [&] { refused = config_.Refused(); });
  return refused;
}

int ControlPlane::GossipPort(DaemonKind kind) const {
  return kind == DaemonKind::kEntry ? settings_.ports.entry_gossip
                                    : settings_.ports.gate_gossip;
}

absl::Duration ControlPlane::LongPollTimeout() const {
  return isolated_ ? kIsolatedLongPollTimeout : kLongPollTimeout;
}

void ControlPlane::BackOffAfterError(int& errors) {
  const int doublings = std::min(errors++, kMaxErrorBackoffDoublings);
  const absl::Duration pause =
      std::min(kMaxErrorBackoff, kFirstErrorBackoff * (1 << doublings));
  thread_local std::mt19937_64 random{std::random_device{}()};
  const double jitter = 0.5 + static_cast<double>(random() % 1000) / 2000;
  const absl::Time until = clock_.Now() + pause * jitter;
  while (!stopping_ && clock_.Now() < until)
    absl::SleepFor(kIdlePollInterval / 2);
}

void ControlPlane::WatchConfig() {
  int errors = 0;
  bool first = true;
  while (!stopping_) {
    if (!watching_ && !first) {
      absl::SleepFor(kIdlePollInterval);
      continue;
    }
    const absl::Time request_sent_at = clock_.Now();
    const Revision since = config_revision_;
    metrics_.counter("cherrydyke_platform_calls_total", R"(call="config")")
        .Add();
    Result<PlatformConfig> read = platform_.ReadConfig(
        since, first ? absl::ZeroDuration() : LongPollTimeout());
    first = false;
    const bool failed = GetError(read) != nullptr;
    control_.Post([this, request_sent_at, failed, read = std::move(read)] {
      config_read_attempted_ = true;
      if (failed) return;
      if (callbacks_.on_platform_contact)
        callbacks_.on_platform_contact(request_sent_at);
      const PlatformConfig& config = GetValue(read);
      ApplyConfig(config.changes, config.since, config.revision);
    });
    if (failed) {
      metrics_.counter("cherrydyke_platform_errors_total").Add();
      BackOffAfterError(errors);
      continue;
    }
    errors = 0;
    // Wait until the control thread has applied the response: the next read
    // starts at its revision.
    control_.RunAndWait([] {});
  }
}

void ControlPlane::WatchHosts() {
  int errors = 0;
  bool first = true;
  while (!stopping_) {
    if (!watching_ && !first) {
      absl::SleepFor(kIdlePollInterval);
      continue;
    }
    metrics_.counter("cherrydyke_platform_calls_total", R"(call="hosts")")
        .Add();
    const Result<HostList> read = platform_.ReadHosts(
        hosts_revision_, first ? absl::ZeroDuration() : LongPollTimeout());
    first = false;
    const bool failed = GetError(read) != nullptr;
    control_.RunAndWait([&] {
      hosts_read_attempted_ = true;
      if (!failed && host_store_.ApplyFull(GetValue(read))) PublishHosts();
    });
    if (failed) {
      BackOffAfterError(errors);
    } else {
      errors = 0;
      absl::SleepFor(kMinHostListReadInterval);
    }
  }
}

void ControlPlane::ApplyConfig(const std::vector<ConfigChange>& changes,
                               Revision since, Revision up_to) {
  const Revision revision_before = config_.revision();
  const uint64_t digest_before = config_.digest();
  for (const RefusedChange& refused : config_.Apply(changes, since, up_to)) {
    metrics_.counter("cherrydyke_config_refused_total").Add();
    LogWarning("configuration change failed validation and was rejected",
               {{"key", refused.change.key},
                {"revision", refused.change.revision},
                {"reason", refused.reason}});
  }
  const bool unchanged = config_.revision() == revision_before &&
                         config_.digest() == digest_before;
  if (unchanged) return;
  config_changed_at_ = clock_.Now();
  config_revision_ = config_.revision();
  {
    const absl::MutexLock lock(&mutex_);
    catalogue_ = config_.catalogue();
  }
  LogInfo("configuration in force", {{"revision", config_.revision()}});
  if (callbacks_.on_catalogue) callbacks_.on_catalogue(*config_.catalogue());
  SendHeartbeats();
}

void ControlPlane::PublishHosts() {
  hosts_revision_ = host_store_.revision();
  const std::shared_ptr<const HostList> list = host_store_.list();
  peers_.OnHostList(*list);
  {
    const absl::MutexLock lock(&mutex_);
    hosts_ = list;
  }
  if (callbacks_.on_hosts) callbacks_.on_hosts(*list);
  SendHeartbeats();
}

void ControlPlane::ReceiveDatagrams() {
  while (!stopping_) {
    Datagram datagram;
    if (!transports_.gossip->Receive(datagram, kDatagramReceiveTimeout))
      continue;
    control_.Post(
        [this, datagram = std::move(datagram)] { OnDatagram(datagram); });
  }
}

void ControlPlane::OnDatagram(const Datagram& datagram) {
  const Result<Message> decoded = DecodeFrame(datagram.payload);
  if (GetError(decoded) != nullptr) {
    metrics_.counter("cherrydyke_gossip_faults_total").Add();
    return;
  }
  const Message& message = GetValue(decoded);
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    OnHeartbeat(*heartbeat, datagram.sender_address);
  } else if (callbacks_.on_message) {
    callbacks_.on_message(message, datagram.sender_address);
  }
}

void ControlPlane::OnHeartbeat(const Heartbeat& heartbeat,
                               const std::string& address) {
  const absl::Time now = clock_.Now();
  peers_.OnHeartbeat(heartbeat, now);
  // An echoed time in the future is not from this process but from an earlier
  // one that used this address.
  const absl::Time echoed_time = absl::FromUnixMicros(heartbeat.echo_us);
  const bool is_own_echo = heartbeat.echo_us != 0 && echoed_time <= now;
  const absl::Time echo_sent_at =
      is_own_echo ? echoed_time : absl::InfinitePast();
  if (callbacks_.on_heartbeat) callbacks_.on_heartbeat(heartbeat, echo_sent_at);
  if (heartbeat.config_revision > config_.revision() ||
      heartbeat.hosts_revision > host_store_.revision()) {
    QueuePull(address, heartbeat.kind, false);
  } else if (heartbeat.config_revision == config_.revision() &&
             heartbeat.config_digest != config_.digest()) {
    // One of the two daemons never received a valid value that an invalid one
    // has replaced.
    QueuePull(address, heartbeat.kind, true);
  }
  if (heartbeat.reply_requested) {
    SendHeartbeat(MakeEndpoint(address, GossipPort(heartbeat.kind)), false,
                  heartbeat.sent_at_us);
  }
}

void ControlPlane::SendHeartbeats() {
  SendHeartbeatsTo(peers_.HeartbeatPeers(random_));
}

void ControlPlane::SendHeartbeatsTo(const std::vector<DaemonId>& peers) {
  const std::shared_ptr<const HostList> list = host_store_.list();
  for (const DaemonId& peer : peers) {
    const Host* host = list->Find(peer.host);
    if (host == nullptr) continue;
    SendHeartbeat(MakeEndpoint(host->address, GossipPort(peer.kind)), true, 0);
  }
}

void ControlPlane::SendHeartbeat(const Endpoint& to, bool reply_requested,
                                 int64_t echo_us) {
  Heartbeat heartbeat;
  heartbeat.host = settings_.host_id;
  heartbeat.kind = identity_.kind;
  heartbeat.incarnation = identity_.incarnation;
  heartbeat.failure_domain = settings_.failure_domain;
  heartbeat.config_revision = config_.revision();
  heartbeat.config_digest = config_.digest();
  heartbeat.hosts_revision = host_store_.revision();
  heartbeat.reply_requested = reply_requested;
  heartbeat.sent_at_us = absl::ToUnixMicros(clock_.Now());
  heartbeat.echo_us = echo_us;
  if (callbacks_.complete_heartbeat) callbacks_.complete_heartbeat(heartbeat);
  const std::string frame = EncodeFrame(heartbeat);
  metrics_.counter("cherrydyke_gossip_sent_total").Add();
  metrics_.counter("cherrydyke_gossip_sent_bytes_total").Add(frame.size());
  transports_.gossip->Send(to, frame);
}

std::vector<DaemonId> ControlPlane::SampleLivePeers(DaemonKind kind,
                                                    size_t limit) {
  const std::vector<DaemonId> live = peers_.LivePeers(kind, clock_.Now());
  std::vector<DaemonId> sample;
  std::sample(live.begin(), live.end(), std::back_inserter(sample), limit,
              random_);
  return sample;
}

void ControlPlane::SendDatagram(const DaemonId& to, const Message& message) {
  const Host* host = host_store_.list()->Find(to.host);
  if (host == nullptr) return;
  transports_.gossip->Send(MakeEndpoint(host->address, GossipPort(to.kind)),
                           EncodeFrame(message));
}

void ControlPlane::BroadcastHeartbeat() {
  control_.Post([this] {
    SendHeartbeatsTo(peers_.SamplePeers(kBroadcastFanout, random_));
  });
}

void ControlPlane::UpdateRole() {
  const absl::Time now = clock_.Now();
  const std::vector<DaemonId> live = peers_.LiveDomainPeers(now);
  live_peers_ = live.size();
  // Daemons on the own host do not count: they fail together with this one.
  isolated_ = std::all_of(live.begin(), live.end(), [&](const DaemonId& peer) {
    return peer.host == settings_.host_id;
  });
  watching_ = peers_.ShouldWatch(now);
  const bool peer_wait_ended =
      !live.empty() || now - started_at_ > kPeerDiscoveryTimeout;
  const bool initial_sync_done =
      hosts_read_attempted_ && config_read_attempted_ && peer_wait_ended;
  if (initial_sync_done && config_.revision() > 0) synced_ = true;
}

void ControlPlane::QueuePull(const std::string& address, DaemonKind kind,
                             bool full) {
  const absl::MutexLock lock(&mutex_);
  for (const Pull& pull : pulls_) {
    if (pull.address == address) return;
  }
  pulls_.push_back({address, GossipPort(kind), full});
  pulls_changed_.Signal();
}

void ControlPlane::PullFromPeers() {
  while (!stopping_) {
    Pull pull;
    {
      const absl::MutexLock lock(&mutex_);
      while (pulls_.empty() && !stopping_) pulls_changed_.Wait(&mutex_);
      if (stopping_) return;
      pull = pulls_.front();
      pulls_.erase(pulls_.begin());
    }
    auto connected = transports_.connector.Connect(
        MakeEndpoint(pull.address, pull.port), kSyncTimeout);
    auto* stream = std::get_if<std::unique_ptr<Stream>>(&connected);
    if (stream == nullptr) continue;
    Link link(std::move(*stream));
    const Revision since = pull.full ? 0 : config_revision_.load();
    if (!link.Send(SyncRequest{since, hosts_revision_})) continue;
    Result<Message> received = ReadFrame(link.stream(), kSyncTimeout);
    link.Close();
    if (GetError(received) != nullptr) continue;
    const Message message = GetValue(std::move(received));
    if (const auto* reply = std::get_if<SyncReply>(&message)) {
      control_.RunAndWait([&] { OnSyncReply(*reply); });
    }
  }
}

void ControlPlane::OnSyncReply(const SyncReply& reply) {
  if (host_store_.ApplyDelta(reply.hosts)) PublishHosts();
  ApplyConfig(reply.changes, reply.config_since, reply.config_up_to);
}

Message ControlPlane::BuildSyncReply(const SyncRequest& request) {
  SyncReply reply;
  control_.RunAndWait([&] {
    reply.config_since = request.config_since;
    reply.config_up_to = config_.revision();
    reply.changes = config_.ChangesSince(request.config_since);
    reply.hosts = host_store_.DeltaSince(request.hosts_since);
  });
  return reply;
}

}  // namespace cherrydyke
