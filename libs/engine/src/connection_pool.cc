#include "engine/connection_pool.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace cherrydyke::engine {
namespace {

/// Delay before the next connection to a server that closed one before any
/// response: doubles up to the maximum and is reset by a complete response.
constexpr absl::Duration kInitialConnectBackoff = absl::Milliseconds(100);
/// How long new connections to a server that closed one before any response are
/// verified before use: as long as the server may hold connections of hosts
/// that no longer exist.
constexpr absl::Duration kVerificationPeriod = absl::Seconds(10);
/// Added to the connect time of a new connection; if the server closes it, the
/// close is received within the sum.
constexpr absl::Duration kVerificationMargin = absl::Milliseconds(2);

}  // namespace

ConnectionPool::ConnectionPool(EventLoop& loop, Endpoint endpoint,
                               ClientOptions options, int limit,
                               Listener* listener)
    : loop_(loop),
      endpoint_(std::move(endpoint)),
      options_(std::move(options)),
      limit_(limit),
      listener_(listener),
      verify_until_(options_.verify_new_connections_until) {}

ConnectionPool::~ConnectionPool() {
  for (PooledConnection& pooled : connections_) {
    pooled.connection->Detach();
    pooled.connection->Close();
  }
}

int ConnectionPool::connection_count() const {
  return static_cast<int>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const PooledConnection& pooled) { return !pooled.late; }));
}

void ConnectionPool::SetLimit(int limit) {
  limit_ = limit;
  for (size_t index = 0;
       connection_count() > limit_ && index < connections_.size();) {
    const auto connection = connections_[index].connection;
    if (connection->IsIdle()) {
      connection->Close();
    } else {
      ++index;
    }
  }
}

ExchangeId ConnectionPool::Send(PoolRequest request) {
  const ExchangeId id = ++last_exchange_id_;
  queue_.push_back({id, std::move(request)});
  SendQueued();
  return id;
}

void ConnectionPool::SendQueued() {
  while (!queue_.empty()) {
    PooledConnection* const idle =
        FindIdle(queue_.front().request.max_idle_time);
    if (idle == nullptr) break;
    QueuedRequest next = std::move(queue_.front());
    queue_.pop_front();
    Assign(*idle, std::move(next));
  }
  if (is_backing_off()) return FailQueuedIfNoConnection();
  while (PendingConnections() < static_cast<int>(queue_.size()) &&
         connection_count() < limit_) {
    Open();
  }
}

ConnectionPool::PooledConnection* ConnectionPool::FindIdle(
    absl::Duration max_idle_time) {
  const absl::Time now = loop_.Now();
  PooledConnection* best = nullptr;
  std::vector<std::shared_ptr<ClientConnection>> stale;
  for (PooledConnection& pooled : connections_) {
    ClientConnection& connection = *pooled.connection;
    if (!connection.IsIdle() || pooled.verifying) continue;
    // Stay below the server's idle timeout: it may close the connection while a
    // request is in transit.
    const absl::Duration usable =
        std::min(max_idle_time, connection.server_idle_timeout() * 0.8);
    if (now - connection.last_active_at() > usable) {
      stale.push_back(pooled.connection);
      continue;
    }
    // Prefer the most recently used one, so that surplus connections go idle.
    if (best == nullptr ||
        connection.last_active_at() > best->connection->last_active_at()) {
      best = &pooled;
    }
  }
  if (best != nullptr || stale.empty()) return best;
  stale.front()->Close();
  return nullptr;
}

void ConnectionPool::Assign(PooledConnection& pooled, QueuedRequest queued) {
  std::optional<std::string> bytes = queued.request.exchange.write();
  if (!bytes) {
    return PostResult(std::move(queued.request.exchange.done),
                      ExchangeStatus::kWithdrawn);
  }
  pooled.exchange = queued.id;
  const auto connection = pooled.connection;
  ClientConnection* const raw = connection.get();
  auto done = std::move(queued.request.exchange.done);
  queued.request.exchange.done =
      [this, raw, done = std::move(done)](ExchangeResult result) {
        if (result.status == ExchangeStatus::kComplete) {
          connect_backoff_ = absl::ZeroDuration();
        }
        if (PooledConnection* const pooled = Find(*raw)) {
          pooled->exchange = 0;
          loop_.Cancel(std::exchange(pooled->abort_timer, 0));
        }
        done(std::move(result));
      };
  connection->Start(std::move(queued.request.exchange), *std::move(bytes));
}

ConnectionPool::PooledConnection* ConnectionPool::Find(
    const ClientConnection& connection) {
  const auto found =
      std::find_if(connections_.begin(), connections_.end(),
                   [&](const PooledConnection& pooled) {
                     return pooled.connection.get() == &connection;
                   });
  return found == connections_.end() ? nullptr : &*found;
}

void ConnectionPool::Open() {
  auto connection = std::make_shared<ClientConnection>(
      loop_, endpoint_, options_, static_cast<Observer*>(this));
  connections_.push_back({connection, 0, 0, loop_.Now(), false, false});
  connection->Connect();
}

bool ConnectionPool::Cancel(ExchangeId exchange, absl::Duration grace) {
  const auto queued = std::find_if(
      queue_.begin(), queue_.end(),
      [&](const QueuedRequest& entry) { return entry.id == exchange; });
  if (queued != queue_.end()) {
    QueuedRequest cancelled = std::move(*queued);
    queue_.erase(queued);
    PostResult(std::move(cancelled.request.exchange.done),
               ExchangeStatus::kNotSent);
    return true;
  }
  for (PooledConnection& pooled : connections_) {
    if (pooled.exchange != exchange || pooled.abort_timer != 0) continue;
    pooled.abort_timer =
        timers_.RunAfter(grace, [this, connection = pooled.connection] {
          if (PooledConnection* const expired = Find(*connection)) {
            expired->abort_timer = 0;
            connection->AbortExchange();
          }
        });
    break;
  }
  return false;
}

void ConnectionPool::PostResult(std::function<void(ExchangeResult)> done,
                                ExchangeStatus status) {
  timers_.Post([done = std::move(done), status] { done({status, {}}); });
}

void ConnectionPool::Probe() {
  if (PendingConnections() == 0 && connection_count() < limit_) Open();
}

void ConnectionPool::CloseSurplusAttempts() {
  std::vector<std::shared_ptr<ClientConnection>> surplus;
  int count = PendingConnections() - static_cast<int>(queue_.size());
  for (auto it = connections_.rbegin(); it != connections_.rend(); ++it) {
    if (it->connection->IsOpen() || it->late) continue;
    if (count-- <= 0) break;
    surplus.push_back(it->connection);
  }
  for (const auto& connection : surplus) connection->Close();
}

bool ConnectionPool::IsConnected() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const PooledConnection& pooled) {
                       return pooled.connection->IsOpen();
                     });
}

void ConnectionPool::RestartAttempts() {
  while (CloseFirst([](const PooledConnection& pooled) {
    return pooled.connection->IsConnecting();
  })) {
  }
  SendQueued();
}

int ConnectionPool::PendingConnections() const {
  return static_cast<int>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const PooledConnection& pooled) {
                      return pooled.verifying ||
                             (!pooled.connection->IsOpen() && !pooled.late);
                    }));
}

bool ConnectionPool::MustVerifyConnections() const {
  return loop_.Now() < verify_until_;
}

void ConnectionPool::ReportConnected(const PooledConnection& opened) {
  if (listener_ == nullptr) return;
  // One without a response since may be half open, of a server that is gone.
  const bool has_active = std::any_of(
      connections_.begin(), connections_.end(),
      [&](const PooledConnection& other) {
        return other.connection->IsOpen() &&
               other.connection.get() != opened.connection.get() &&
               other.connection->last_active_at() > opened.connect_started_at;
      });
  if (opened.late && has_active) return listener_->OnLateConnected();
  listener_->OnConnected();
}

void ConnectionPool::OnOpened(ClientConnection& connection) {
  PooledConnection* pooled = Find(connection);
  if (pooled == nullptr) return;
  ReportConnected(*pooled);
  pooled = Find(connection);
  if (pooled == nullptr) return;
  if (std::exchange(pooled->late, false)) {
    CloseAttemptsBeyondLimit();
    // The limit has been lowered meanwhile.
    if (connection_count() > limit_) return connection.Close();
  } else {
    CloseLateAttempt();
  }
  pooled = Find(connection);
  if (!MustVerifyConnections()) return SendQueued();
  pooled->verifying = true;
  const absl::Duration round_trip = loop_.Now() - pooled->connect_started_at;
  timers_.RunAfter(round_trip + kVerificationMargin,
                   [this, held = pooled->connection] {
                     PooledConnection* const verified = Find(*held);
                     if (verified == nullptr) return;
                     verified->verifying = false;
                     SendQueued();
                   });
}

void ConnectionPool::OnConnectLate(ClientConnection& connection) {
  PooledConnection* const pooled = Find(connection);
  if (pooled == nullptr) return;
  // On a slow path no attempt overtakes an older one.
  const bool is_lost = std::any_of(
      connections_.begin(), connections_.end(),
      [&](const PooledConnection& other) {
        return other.late ||
               (other.connection->IsOpen() &&
                other.connect_started_at > pooled->connect_started_at);
      });
  if (is_lost) return connection.Close();
  pooled->late = true;
  if (listener_ != nullptr) listener_->OnConnectFailed(false);
  FailQueuedIfNoConnection();
}

void ConnectionPool::CloseAttemptsBeyondLimit() {
  const auto is_attempt = [](const PooledConnection& pooled) {
    return !pooled.late && !pooled.connection->IsOpen();
  };
  while (connection_count() > limit_ && CloseFirst(is_attempt)) {
  }
}

void ConnectionPool::CloseLateAttempt() {
  CloseFirst([](const PooledConnection& pooled) { return pooled.late; });
}

bool ConnectionPool::CloseFirst(
    const std::function<bool(const PooledConnection&)>& matches) {
  const auto found =
      std::find_if(connections_.begin(), connections_.end(), matches);
  if (found == connections_.end()) return false;
  const auto connection = found->connection;
  connections_.erase(found);
  connection->Detach();
  connection->Close();
  return true;
}

void ConnectionPool::OnIdle(ClientConnection& /*connection*/) { SendQueued(); }

void ConnectionPool::OnClosed(ClientConnection& connection, bool was_open,
                              bool by_peer) {
  PooledConnection* const pooled = Find(connection);
  if (pooled == nullptr) return;
  loop_.Cancel(pooled->abort_timer);
  const bool is_reported = pooled->late && !by_peer;
  connections_.erase(connections_.begin() + (pooled - connections_.data()));
  if (!was_open) {
    if (listener_ != nullptr && !is_reported) {
      listener_->OnConnectFailed(by_peer);
    }
    return FailQueuedIfNoConnection();
  }
  if (by_peer && !connection.has_received_response()) OnClosedBeforeResponse();
  timers_.Post([this] { SendQueued(); });
}

void ConnectionPool::OnClosedBeforeResponse() {
  connect_backoff_ =
      std::min(std::max(connect_backoff_ * 2, kInitialConnectBackoff),
               options_.max_connect_backoff);
  next_connect_at_ = loop_.Now() + connect_backoff_;
  verify_until_ = loop_.Now() + kVerificationPeriod;
  if (listener_ != nullptr) listener_->OnClosedBeforeResponse();
  FailQueuedIfNoConnection();
}

void ConnectionPool::FailQueuedIfNoConnection() {
  if (connection_count() == 0) FailQueued();
}

void ConnectionPool::FailQueued() { EndQueued(ExchangeStatus::kNotSent); }

void ConnectionPool::WithdrawQueued() { EndQueued(ExchangeStatus::kWithdrawn); }

void ConnectionPool::EndQueued(ExchangeStatus status) {
  std::deque<QueuedRequest> ended;
  ended.swap(queue_);
  for (QueuedRequest& entry : ended) {
    PostResult(std::move(entry.request.exchange.done), status);
  }
}

}  // namespace cherrydyke::engine
