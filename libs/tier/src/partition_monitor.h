#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "dispatch/partition_detector.h"
#include "engine/client_connection.h"

namespace cherrydyke {

/// Runs a `PartitionDetector`: opens the connections with which it probes
/// targets and logs what it finds.
class PartitionMonitor : private engine::ClientConnection::Observer {
 public:
  struct Callbacks {
    /// @return the endpoints of at most `limit` targets to probe, in different
    /// failure domains if possible.
    std::function<std::vector<Endpoint>(size_t limit)> choose_probes;
    /// The path to the targets may be lost.
    std::function<void()> on_suspected;
    /// This host takes itself for partitioned.
    std::function<void()> on_partitioned;
    /// It does not any more.
    /// @param lost_at when the targets had fallen silent.
    std::function<void(absl::Time lost_at)> on_restored;
  };

  PartitionMonitor(engine::EventLoop& loop, Callbacks callbacks);
  ~PartitionMonitor() override;

  void OnSent(uint32_t target);
  void OnResponse();
  void OnUnanswered(uint32_t target);
  void OnUnconnected(uint32_t target, bool any_connected);

  PathState state() const { return detector_.state(); }
  bool IsPathTrusted() const { return detector_.IsPathTrusted(loop_.Now()); }
  absl::Time silent_since() const { return detector_.silent_since(); }

 private:
  struct Probe {
    std::shared_ptr<engine::ClientConnection> connection;
    absl::Time started_at;
  };
  using Probes = std::vector<Probe>;

  void OnOpened(engine::ClientConnection& connection) override;
  void OnConnectLate(engine::ClientConnection& connection) override;
  void OnIdle(engine::ClientConnection& /*connection*/) override {}
  void OnClosed(engine::ClientConnection& connection, bool was_open,
                bool by_peer) override;

  void Poll();
  void StartRound();
  /// Reports the result of a probe and ends its connection.
  void EndProbe(engine::ClientConnection& connection, bool connected);
  /// Keeps a probe that is late, if those of one round are kept at most.
  /// @return whether it is kept.
  bool KeepLate(const Probe& probe);
  static Probes::iterator Find(Probes& probes,
                               const engine::ClientConnection& connection);
  static void End(const Probe& probe);
  void ApplyState();

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const Callbacks callbacks_;
  PartitionDetector detector_;
  PathState applied_state_ = PathState::kConnected;
  absl::Time applied_since_;
  Probes probes_;
  /// Probes of one earlier round that count as failed and may still connect.
  Probes late_probes_;
  bool polling_ = false;
};

}  // namespace cherrydyke
