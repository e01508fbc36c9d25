#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/key_range.h"
#include "wire/messages.h"

namespace cherrydyke {

/// A request to a target.
struct TargetCall {
  AttemptId attempt;
  /// Time left until the deadline, sent to the target.
  absl::Duration time_left;
  ShardId shard;
  KeyRange range;
  ShardMapVersion shard_map = 0;
  IndexVersion index_version = 0;
  std::string traceparent;
  /// The caller's query or payload, JSON text.
  std::string body_json;
  /// Empty for queries.
  std::string ticket;
};

/// The outcome of a request to a target.
struct TargetReply {
  AttemptOutcome outcome = AttemptOutcome::kDone;
  /// Whether the request is known not to have been executed, because it was not
  /// sent or the target stated it.
  bool not_run = false;
  ShardId shard;
  IndexVersion index_version = 0;
  bool complete = false;
  std::vector<SearchHit> hits;
  std::vector<IndexVersion> versions;
  int64_t retry_after_ms = 0;
  /// Result of an action, JSON text.
  std::string result_json;
};

/// Health report of a target. It is delayed and may be wrong.
struct TargetHealth {
  std::string incarnation;
  std::string state;
  /// Index versions that the target has for all of the shards that it serves.
  std::vector<IndexVersion> versions;
};

/// Connection to a target, for one request at a time.
class TargetConnection {
 public:
  virtual ~TargetConnection() = default;
  /// @param wait response timeout. A connection on which no response arrived is
  /// closed and must not be used again.
  virtual TargetReply Search(const TargetCall& call, absl::Duration wait) = 0;
  virtual TargetReply Act(const TargetCall& call, absl::Duration wait) = 0;
  virtual std::optional<TargetHealth> Health(absl::Duration wait) = 0;
  virtual void Cancel(const AttemptId& attempt, absl::Duration wait) = 0;
  /// @return whether the connection was used and the target has not closed it
  /// since. A target that restarts closes all of its connections.
  virtual bool IsOpen() const = 0;
};

/// Protocol between gates and targets. Implementations are registered by name
/// in `Registry<TargetProtocol>`.
class TargetProtocol {
 public:
  virtual ~TargetProtocol() = default;
  /// Creates a connection, which connects with its first request.
  /// @param source local address for the connection.
  virtual std::unique_ptr<TargetConnection> Open(const Endpoint& target,
                                                 const std::string& source) = 0;
};

/// Registers the protocol `http`.
void RegisterHttpTargetProtocol();

}  // namespace cherrydyke
