#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "engine/connection_budget.h"
#include "engine/event_loop.h"

namespace cherrydyke::engine {

/// A limit that ends callers' connections.
enum class CallerLimit {
  /// What all connections of the group hold together.
  kMemory,
  /// Connections of the group.
  kConnections,
  /// Chunk extensions and trailers of one request.
  kFraming,
  /// Time for a caller to take one response.
  kUnreadResponse,
};

/// @return the limit in snake_case, as metrics and logs show it.
std::string CallerLimitName(CallerLimit limit);

/// A connection that a limit has ended.
struct LimitedConnection {
  CallerLimit limit = CallerLimit::kMemory;
  /// Address of the caller as `IP:PORT`.
  std::string peer;
  /// What the connection held when it was ended.
  HeldConnection held;

  friend bool operator==(const LimitedConnection& a,
                         const LimitedConnection& b) {
    return std::tie(a.limit, a.peer, a.held) ==
           std::tie(b.limit, b.peer, b.held);
  }
};

/// Servers whose connections share a budget. It must outlive them.
class ServerGroup {
 public:
  /// One connection of a server of the group.
  class Member {
   public:
    virtual ~Member() = default;
    /// Ends the connection, after a refusal if a request is being received.
    virtual void EndForLimit(CallerLimit limit) = 0;
  };

  ServerGroup(const EventLoop& loop, const ConnectionLimits& limits)
      : loop_(loop), budget_(limits) {}

  /// Sets a callback for each connection that a limit ends.
  void OnLimited(std::function<void(const LimitedConnection&)> callback) {
    on_limited_ = std::move(callback);
  }

  /// Adds a connection, which counts from its first `Update`.
  /// @return its id in `HeldConnection`.
  uint64_t Add(Member& member);
  /// Changes what is known of a connection, which may end others or the
  /// connection itself.
  void Update(const HeldConnection& connection);
  void Remove(uint64_t id);
  void Report(const LimitedConnection& limited) const {
    if (on_limited_) on_limited_(limited);
  }

  const ConnectionBudget& budget() const { return budget_; }

 private:
  void Enforce();

  const EventLoop& loop_;
  ConnectionBudget budget_;
  std::map<uint64_t, Member*> members_;
  std::function<void(const LimitedConnection&)> on_limited_;
  uint64_t last_id_ = 0;
  /// Whether connections are being ended, which changes what they hold.
  bool is_enforcing_ = false;
};

}  // namespace cherrydyke::engine
