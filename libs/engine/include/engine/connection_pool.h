#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "engine/client_connection.h"

namespace cherrydyke::engine {

/// Identifies one exchange of a pool until it has ended.
using ExchangeId = uint64_t;

/// A request and the constraint on the pooled connection that carries it.
struct PoolRequest {
  Exchange exchange;
  /// Longest time since the connection was established or last received a
  /// complete response. A connection idle for longer is replaced by a new one.
  /// Infinite accepts any open connection.
  absl::Duration max_idle_time = absl::InfiniteDuration();
};

/// Pool of keep-alive connections to one server. Holds at most `limit`
/// connections with one request at a time on each; further requests are queued
/// in order.
///
/// A connection attempt that is late has failed as far as requests and the
/// listener are concerned, and others are made beside it. One is kept
/// nevertheless, so that a server whose round trip exceeds the timeout is
/// connected to in the end.
class ConnectionPool : private ClientConnection::Observer {
 public:
  /// Receives connection events that indicate the server's health.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// A connection attempt failed.
    /// @param refused whether it ended with an error rather than by timeout or
    /// for a malformed endpoint.
    virtual void OnConnectFailed(bool refused) = 0;
    /// The server closed an established connection before any response on it,
    /// as a server at its connection limit does.
    virtual void OnClosedBeforeResponse() = 0;
    virtual void OnConnected() = 0;
    /// An attempt that was reported as failed has succeeded, while another
    /// connection received a response or was opened: the path is slow, or a
    /// packet was lost.
    virtual void OnLateConnected() = 0;
  };

  ConnectionPool(EventLoop& loop, Endpoint endpoint, ClientOptions options,
                 int limit, Listener* listener);
  ~ConnectionPool() override;
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Changes the limit and closes idle connections beyond it.
  void SetLimit(int limit);

  /// Sends a request at once or as soon as a connection is available. `done` is
  /// called once, never from within this call.
  ExchangeId Send(PoolRequest request);

  /// Cancels an exchange. A queued one is not sent. One that was sent may still
  /// complete within `grace`, so that its connection is kept and its latency is
  /// measured; after that it is aborted by closing the connection. `done`
  /// reports the result, but is not called from within this call.
  /// @return whether the exchange was queued, so that nothing of it was sent.
  bool Cancel(ExchangeId exchange, absl::Duration grace);

  /// Closes the youngest connections that are being opened, beyond one for each
  /// queued request: a request that is queued later gets an attempt of its own,
  /// though an older one gets no response.
  void CloseSurplusAttempts();

  /// Reports all queued requests as `kNotSent`.
  void FailQueued();
  /// Reports all queued requests as `kWithdrawn`: the server must not get them
  /// any more, which says nothing about its health.
  void WithdrawQueued();

  /// Opens a connection, if the limit allows and none is pending, to check
  /// whether the server accepts connections.
  void Probe();

  /// Begins the attempts to connect anew, without a report: the path was cut
  /// and works again, so that they would wait for the kernel to repeat their
  /// packets.
  void RestartAttempts();

  /// @return whether no connection is opened for requests because the server
  /// recently closed one before any response.
  bool is_backing_off() const { return loop_.Now() < next_connect_at_; }
  /// @return whether at least one connection is established.
  bool IsConnected() const;
  /// @return connections that are established or being opened, without the
  /// attempt that is late.
  int connection_count() const;

 private:
  struct QueuedRequest {
    ExchangeId id;
    PoolRequest request;
  };
  struct PooledConnection {
    std::shared_ptr<ClientConnection> connection;
    ExchangeId exchange = 0;
    /// Set while a cancelled exchange may still complete.
    TimerId abort_timer = 0;
    absl::Time connect_started_at = absl::InfinitePast();
    /// Whether the server may still close the connection because it has too
    /// many; it carries no request until then.
    bool verifying = false;
    /// Whether the attempt to open it is late.
    bool late = false;
  };

  void OnOpened(ClientConnection& connection) override;
  void OnConnectLate(ClientConnection& connection) override;
  void OnIdle(ClientConnection& connection) override;
  void OnClosed(ClientConnection& connection, bool was_open,
                bool by_peer) override;

  /// Tells the listener of a new connection.
  void ReportConnected(const PooledConnection& opened);
  /// @return number of connections that are being opened or verified.
  int PendingConnections() const;
  /// @return whether a new connection has to be verified before use.
  bool MustVerifyConnections() const;
  PooledConnection* Find(const ClientConnection& connection);
  PooledConnection* FindIdle(absl::Duration max_idle_time);
  /// Sends a request on an idle connection, unless it is withdrawn.
  void Assign(PooledConnection& pooled, QueuedRequest queued);
  void Open();
  /// Closes attempts that are not late while there are too many connections.
  void CloseAttemptsBeyondLimit();
  /// Closes the attempt that is late: one that began later has succeeded, so
  /// that the path is not slow.
  void CloseLateAttempt();
  /// Closes the first connection that matches, without a report.
  /// @return whether there is one.
  bool CloseFirst(const std::function<bool(const PooledConnection&)>& matches);
  void SendQueued();
  /// Calls `FailQueued` if the pool has no connection left but a late one.
  void FailQueuedIfNoConnection();
  void OnClosedBeforeResponse();
  void EndQueued(ExchangeStatus status);
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
  /// No connection is opened for requests before this time.
  absl::Time next_connect_at_ = absl::InfinitePast();
  absl::Duration connect_backoff_;
  absl::Time verify_until_;
};

}  // namespace cherrydyke::engine
