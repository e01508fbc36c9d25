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

/// One request to a target.
struct TargetCall {
  AttemptId attempt;
  /// Time left until the deadline, told to the target.
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

/// What came of a request.
struct TargetReply {
  AttemptOutcome outcome = AttemptOutcome::kDone;
  /// Whether it is proved that the target ran nothing: nothing was sent, or the
  /// target says so.
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

/// What a target says of itself; a hint that lags and may be wrong.
struct TargetHealth {
  std::string incarnation;
  std::string state;
  /// Versions that the target holds of every shard that it serves.
  std::vector<IndexVersion> versions;
};

/// One connection to one target, for one request at a time.
class TargetConnection {
 public:
  virtual ~TargetConnection() = default;
  /// @param wait how long to wait for the answer; a connection on which none
  /// came is closed and must not be used again.
  virtual TargetReply Search(const TargetCall& call, absl::Duration wait) = 0;
  virtual TargetReply Act(const TargetCall& call, absl::Duration wait) = 0;
  virtual std::optional<TargetHealth> Health(absl::Duration wait) = 0;
  virtual void Cancel(const AttemptId& attempt, absl::Duration wait) = 0;
  /// @return whether the connection was used and the target has not ended it
  /// since: a target that restarted ends all of its connections.
  virtual bool IsOpen() const = 0;
};

/// A protocol that targets speak; the narrow interface to the back ends.
/// Registered by name in `Registry<TargetProtocol>`.
class TargetProtocol {
 public:
  virtual ~TargetProtocol() = default;
  /// @param source address to connect from.
  virtual std::unique_ptr<TargetConnection> Open(const Endpoint& target,
                                                 const std::string& source) = 0;
};

/// Adds `http` to the registry.
void RegisterHttpTargetProtocol();

}  // namespace cherrydyke
