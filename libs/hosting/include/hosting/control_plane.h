#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "adapters/platform.h"
#include "base/clock.h"
#include "catalogue/config_store.h"
#include "catalogue/host_list_store.h"
#include "hosting/settings.h"
#include "kernel/control_thread.h"
#include "membership/peer_table.h"
#include "telemetry/metrics.h"
#include "wire/link.h"

namespace cherrydyke {

/// Ways of a daemon to the outside, made by `main` and decorated by tests.
struct Transports {
  Connector& connector;
  std::unique_ptr<DatagramTransport> gossip;
  /// TCP on the gossip port, for transfers between peers.
  Listener sync_listener;
};

/// A daemon's control state: configuration, host list and peers. All of it is
/// changed on one control thread; other threads read immutable snapshots.
///
/// In each failure domain a few daemons read the platform; the others get what
/// changed from peers. A new revision goes out at once in heartbeats, and
/// whoever is behind fetches the difference over TCP.
class ControlPlane {
 public:
  struct Identity {
    DaemonKind kind = DaemonKind::kEntry;
    Incarnation incarnation = 0;
  };

  /// What the rest of a daemon hears, always on the control thread. Set every
  /// member that is wanted before `Start`.
  struct Callbacks {
    std::function<void(const Catalogue&)> on_catalogue;
    std::function<void(const HostList&)> on_hosts;
    /// @param echo_sent_at see `TargetLeases::OnPeerHeartbeat`.
    std::function<void(const Heartbeat&, absl::Time echo_sent_at)> on_heartbeat;
    std::function<void(absl::Time request_sent_at)> on_platform_contact;
    /// Any other message that came by datagram.
    std::function<void(const Message&, const std::string& sender_address)>
        on_message;
    /// Fills in what only this daemon knows of itself.
    std::function<void(Heartbeat&)> complete_heartbeat;
  };

  ControlPlane(const DaemonSettings& settings, Identity identity,
               const Clock& clock, Platform& platform, Transports transports,
               Metrics& metrics, Callbacks callbacks);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  void Start();
  void Stop();

  ControlThread& thread() { return control_; }
  std::shared_ptr<const Catalogue> catalogue() const;
  std::shared_ptr<const HostList> hosts() const;

  /// @return whether platform and peers were asked and a configuration is in
  /// force.
  bool synced() const { return synced_; }
  /// @return time since a new revision of the configuration was applied.
  absl::Duration catalogue_age() const;
  size_t live_peers() const { return live_peers_; }
  std::vector<RefusedChange> refused_changes() const;

  /// @return whether the peer was heard lately. Control thread only.
  bool IsLive(const DaemonId& peer) const {
    return peers_.IsLive(peer, clock_.Now());
  }

  /// @return live peers of one kind, chosen at random. Control thread only.
  std::vector<DaemonId> SampleLivePeers(DaemonKind kind, size_t limit);

  /// Tells peers in every failure domain at once of something new.
  void BroadcastHeartbeat();

  /// Sends a message to the entry or gate of a host by datagram.
  void SendDatagram(const DaemonId& to, const Message& message);

 private:
  struct Pull {
    std::string address;
    int port = 0;
    /// Whether to fetch all values, not only those after the own revision.
    bool full = false;
  };

  void WatchConfig();
  void WatchHosts();
  void ReceiveDatagrams();
  void PullFromPeers();

  void ApplyConfig(const std::vector<ConfigChange>& changes, Revision since,
                   Revision upto);
  void PublishHosts();
  void OnDatagram(const Datagram& datagram);
  void OnHeartbeat(const Heartbeat& heartbeat, const std::string& address);
  void OnSyncReply(const SyncReply& reply);
  void SendHeartbeats();
  void SendHeartbeatsTo(const std::vector<DaemonId>& peers);
  void SendHeartbeat(const Endpoint& to, bool reply_requested, int64_t echo_us);
  void QueuePull(const std::string& address, DaemonKind kind, bool full);
  void UpdateRole();
  Message BuildSyncReply(const SyncRequest& request);
  int GossipPort(DaemonKind kind) const;
  absl::Duration LongPollTimeout() const;
  void BackOffAfterError(int& errors);

  const DaemonSettings settings_;
  const Identity identity_;
  const Clock& clock_;
  Platform& platform_;
  Transports transports_;
  Metrics& metrics_;
  const Callbacks callbacks_;

  ControlThread control_;
  // Control thread only.
  ConfigStore config_;
  HostListStore host_store_;
  PeerTable peers_;
  std::mt19937_64 random_;
  absl::Time started_;
  absl::Time config_changed_at_;
  bool hosts_read_attempted_ = false;
  bool config_read_attempted_ = false;

  std::atomic<bool> stopping_{false};
  std::atomic<bool> watching_{true};
  std::atomic<bool> isolated_{true};
  std::atomic<bool> synced_{false};
  std::atomic<Revision> config_revision_{0};
  std::atomic<Revision> hosts_revision_{0};
  std::atomic<size_t> live_peers_{0};

  mutable absl::Mutex mutex_;
  std::shared_ptr<const Catalogue> catalogue_ ABSL_GUARDED_BY(mutex_);
  std::shared_ptr<const HostList> hosts_ ABSL_GUARDED_BY(mutex_);
  std::vector<Pull> pulls_ ABSL_GUARDED_BY(mutex_);
  absl::CondVar pulls_changed_;

  std::unique_ptr<LinkServer> sync_server_;
  std::vector<std::thread> threads_;
};

}  // namespace cherrydyke
