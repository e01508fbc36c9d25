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

/// Network transports of a daemon. They can simulate partitions in tests.
struct Transports {
  Connector& connector;
  std::unique_ptr<DatagramTransport> gossip;
  /// Listens on the gossip port over TCP, for `SyncRequest`s of peers.
  Listener sync_listener;
};

/// Control state of a daemon: configuration, host list and peers. It is
/// modified on one control thread only; other threads read immutable snapshots.
///
/// In each failure domain a few daemons watch the platform; the others receive
/// changes from peers. A new revision is announced at once in heartbeats, and a
/// daemon that is behind fetches the difference over TCP.
class ControlPlane {
 public:
  struct Identity {
    DaemonKind kind = DaemonKind::kEntry;
    Incarnation incarnation = 0;
  };

  /// Called on the control thread. A member that is not set is not called.
  struct Callbacks {
    std::function<void(const Catalogue&)> on_catalogue;
    std::function<void(const HostList&)> on_hosts;
    /// @param echo_sent_at when this daemon sent the heartbeat that the
    /// received one replies to, or infinite past; see
    /// `TargetLeases::OnPeerHeartbeat`.
    std::function<void(const Heartbeat&, absl::Time echo_sent_at)> on_heartbeat;
    /// Called after each successful read of the configuration.
    /// @param request_sent_at when the read was sent to the platform.
    std::function<void(absl::Time request_sent_at)> on_platform_contact;
    /// Called for messages other than heartbeats that arrive by datagram.
    std::function<void(const Message&, const std::string& sender_address)>
        on_message;
    /// Sets the fields of an outgoing heartbeat that the control plane leaves
    /// unset, such as the quarantines.
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

  /// @return whether configuration and host list have been requested from the
  /// platform, peers have had time to report theirs, and a configuration is in
  /// force. Stays true.
  bool synced() const { return synced_; }
  /// @return the time since the configuration last changed. Waits for the
  /// control thread.
  absl::Duration catalogue_age() const;
  size_t live_peers() const { return live_peers_; }
  /// Waits for the control thread. See `ConfigStore::Refused`.
  std::vector<RefusedChange> refused_changes() const;

  /// @return whether the peer sent a heartbeat within the liveness timeout.
  /// Control thread only.
  bool IsLive(const DaemonId& peer) const {
    return peers_.IsLive(peer, clock_.Now());
  }

  /// @return at most `limit` live peers of one kind in all failure domains,
  /// chosen at random. Control thread only.
  std::vector<DaemonId> SampleLivePeers(DaemonKind kind, size_t limit);

  /// Sends a heartbeat at once to many peers in all failure domains, instead of
  /// in the next rounds only. For urgent changes.
  void BroadcastHeartbeat();

  /// Sends a message to a peer by datagram. Does nothing if its host is not in
  /// the host list. Control thread only.
  void SendDatagram(const DaemonId& to, const Message& message);

 private:
  /// A pending sync with a peer.
  struct Pull {
    std::string address;
    int port = 0;
    /// Whether to fetch all configuration values, not only those newer than the
    /// own revision.
    bool full = false;
  };

  void WatchConfig();
  void WatchHosts();
  void ReceiveDatagrams();
  void PullFromPeers();

  void ApplyConfig(const std::vector<ConfigChange>& changes, Revision since,
                   Revision up_to);
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
  absl::Time started_at_;
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
