#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "engine/client_connection.h"

namespace cherrydyke::engine {

/// Names one exchange of a pool until it has ended.
using ExchangeId = uint64_t;

/// How a request may use kept connections.
struct PoolRequest {
  Exchange exchange;
  /// Longest time since a connection last proved to work; a connection silent
  /// for longer is replaced by a new one. Infinite for any open connection.
  absl::Duration max_idle_time = absl::InfiniteDuration();
};

/// The kept connections to one server: at most `limit` at once, one request at
/// a time on each, others waiting in order.
class ConnectionPool : private ClientConnection::Observer {
 public:
  /// Told of signs of the server's health.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// A connection attempt was refused or not answered in time.
    virtual void OnConnectFailed(bool refused) = 0;
    /// The server ended a connection before it had answered anything on it, as
    /// one does that has too many.
    virtual void OnClosedBeforeResponse() = 0;
    virtual void OnConnected() = 0;
  };

  ConnectionPool(EventLoop& loop, Endpoint endpoint, ClientOptions options,
                 int limit, Listener* listener);
  ~ConnectionPool() override;
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Changes the limit; idle connections beyond it are closed.
  void SetLimit(int limit);

  /// Sends a request now or as soon as a connection is free. `done` is called
  /// once, never from within this call.
  ExchangeId Send(PoolRequest request);

  /// Gives up an exchange. One that was sent is left to finish for `grace`, so
  /// that its connection can be kept and its time be learned; then it is broken
  /// off by a close. `done` tells how it ended, but is not called from within
  /// this call.
  void Cancel(ExchangeId exchange, absl::Duration grace);

  /// Reports requests that wait for a connection as not sent.
  void FailQueued();

  /// Opens a connection, if there is room for one, to learn whether the server
  /// still accepts any.
  void Probe();

  /// @return whether the server has just turned a connection away, so that none
  /// is opened for requests.
  bool is_backing_off() const { return loop_.Now() < next_connect_at_; }
  /// @return whether a connection is established.
  bool IsConnected() const;
  int connection_count() const { return static_cast<int>(connections_.size()); }

 private:
  struct QueuedRequest {
    ExchangeId id;
    PoolRequest request;
  };
  struct PooledConnection {
    std::shared_ptr<ClientConnection> connection;
    ExchangeId exchange = 0;
    /// Set while a cancelled exchange may still finish.
    TimerId abort_timer = 0;
    absl::Time connect_started_at = absl::InfinitePast();
    /// Whether it is not yet known if the server keeps the connection.
    bool verifying = false;
  };

  void OnOpened(ClientConnection& connection) override;
  void OnIdle(ClientConnection& connection) override;
  void OnClosed(ClientConnection& connection, bool was_open,
                bool by_peer) override;

  /// @return connections that are being opened or proved.
  int PendingConnections() const;
  /// @return whether the server may end new connections at once.
  bool MustVerifyConnections() const;
  PooledConnection* Find(const ClientConnection& connection);
  PooledConnection* FindIdle(absl::Duration max_idle_time);
  void Assign(PooledConnection& pooled, QueuedRequest waiting);
  void Open();
  void SendQueued();
  /// As `FailQueued`, unless connections stand that may still carry them.
  void FailQueuedIfNoConnection();
  void OnClosedBeforeResponse();
  void PostResult(std::function<void(ExchangeResult)> done,
                  ExchangeStatus status);

  EventLoop& loop_;
  TimerScope timers_{loop_};
  const Endpoint endpoint_;
  const ClientOptions options_;
  int limit_;
  Listener* const listener_;
  std::vector<PooledConnection> connections_;
  std::deque<QueuedRequest> queue_;
  ExchangeId last_exchange_id_ = 0;
  /// A server that turned connections away gets no new one until then.
  absl::Time next_connect_at_ = absl::InfinitePast();
  absl::Duration connect_backoff_;
  absl::Time verify_until_;
};

}  // namespace cherrydyke::engine
