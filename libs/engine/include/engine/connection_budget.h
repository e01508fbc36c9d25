#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "absl/time/time.h"

namespace cherrydyke::engine {

/// What all connections of callers may hold together.
struct ConnectionLimits {
  /// Received bytes that are in use and bytes that wait to be sent.
  size_t max_bytes = SIZE_MAX;
  size_t max_connections = SIZE_MAX;

  /// @return the part of each connection if all are open and hold the same.
  size_t BytesPerConnection() const {
    return max_bytes / std::max<size_t>(max_connections, 1);
  }

  friend bool operator==(const ConnectionLimits& a, const ConnectionLimits& b) {
    return a.max_bytes == b.max_bytes && a.max_connections == b.max_connections;
  }
};

/// What one connection of a caller holds.
struct HeldConnection {
  enum class Stage {
    /// No request has begun.
    kIdle,
    /// A request is being received.
    kReceiving,
    /// A request was handed to its handler.
    kRunning,
    /// A response is being sent.
    kSending,
  };

  uint64_t id = 0;
  Stage stage = Stage::kIdle;
  size_t bytes = 0;
  /// When the stage began.
  absl::Time since;

  friend bool operator==(const HeldConnection& a, const HeldConnection& b) {
    return std::tie(a.id, a.stage, a.bytes, a.since) ==
           std::tie(b.id, b.stage, b.bytes, b.since);
  }
};

/// Keeps account of what the connections of callers hold and chooses those to
/// be ended when it is too much.
///
/// Connections whose request is running are never chosen: it may have been
/// sent to a target, so that "not run" would be untrue.
///
/// Pure: has no network, time is an argument.
class ConnectionBudget {
 public:
  explicit ConnectionBudget(const ConnectionLimits& limits) : limits_(limits) {}

  /// Adds a connection or changes what is known of it.
  void Update(const HeldConnection& connection);
  void Remove(uint64_t id);

  bool HasTooManyBytes() const { return bytes_ > limits_.max_bytes; }
  bool HasTooManyConnections() const {
    return connections_.size() > limits_.max_connections;
  }

  /// @return the connections to be ended so that the rest is well within the
  /// limit on bytes, in this order: those that hold most for longest first.
  /// Idle ones hold nothing worth it, and none is chosen that holds no more
  /// than its share of the limit if all connections held the same.
  std::vector<uint64_t> ChooseByBytes(absl::Time now) const;

  /// @return the connections to be closed so that the rest is well within the
  /// limit on connections, in this order: requests and responses that are slow,
  /// idle connections, then others, the oldest of each first.
  std::vector<uint64_t> ChooseByAge(absl::Time now) const;

  size_t bytes() const { return bytes_; }
  size_t connections() const { return connections_.size(); }
  const ConnectionLimits& limits() const { return limits_; }

 private:
  /// Takes a connection out of the sums.
  void Forget(const HeldConnection& connection);
  bool MayEndForBytes(const HeldConnection& connection) const;

  ConnectionLimits limits_;
  std::map<uint64_t, HeldConnection> connections_;
  size_t bytes_ = 0;
  /// Connections that may be ended for what they hold.
  size_t endable_ = 0;
};

}  // namespace cherrydyke::engine
