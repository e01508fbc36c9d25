#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "dispatch/request_run.h"
#include "dispatch/target_health.h"
#include "engine/http_message.h"

namespace cherrydyke {

/// What the tier needs to know of a caller's request.
struct Call {
  std::string request_id;
  std::string host;
  /// Without the query.
  std::string path;
  /// How long the caller will wait, if it says so.
  std::optional<absl::Duration> time_left;

  friend bool operator==(const Call& a, const Call& b) {
    return a.request_id == b.request_id && a.host == b.host &&
           a.path == b.path && a.time_left == b.time_left;
  }
};

/// What a target's response means.
struct TargetReply {
  AttemptResult end = AttemptResult::kUnknown;
  engine::HttpResponse response;
  /// The target's signature of its answer.
  std::string stamp;
  std::optional<TargetLoad> load;
  /// Whether the target says that it leaves.
  bool leaving = false;
  /// How long the target, which turned the request away, wants nothing more
  /// from this host; zero where it does not say.
  absl::Duration wait;
  /// It stated a wait that cannot be read or is no time ahead.
  bool is_wait_malformed = false;
};

/// Why the tier answers a request itself.
enum class RefusalReason {
  kMalformed,
  kNoConfiguration,
  kNoRoute,
  kQuarantined,
  kNoTarget,
  /// As `kNoTarget`, because targets have as much as they answer in time.
  kOverloaded,
  /// As `kNoTarget`, because all targets have asked for time.
  kTargetsClosed,
  kTargetsFailed,
  kDeadline,
};

/// @return the reason as a snake_case word.
std::string ReasonName(RefusalReason reason);

/// The protocol spoken with callers and targets. The tier decides; a face
/// translates.
class CallerFace {
 public:
  virtual ~CallerFace() = default;

  /// @return the call, or nothing if the request is malformed.
  virtual std::optional<Call> ReadCall(
      const engine::HttpRequest& request) const = 0;

  /// @return the part of a target's request that is the same for all targets,
  /// without the end of the header.
  virtual std::string TargetHead(const engine::HttpRequest& request) const = 0;

  /// @return the bytes of a request to one target.
  /// @param head from `TargetHead`.
  virtual std::string TargetRequest(const std::string& head,
                                    const std::string& body,
                                    const TargetId& target,
                                    absl::Duration time_left) const = 0;

  virtual TargetReply ReadReply(engine::HttpResponse response) const = 0;

  /// @return a target's response as the caller gets it.
  virtual engine::HttpResponse Relay(engine::HttpResponse response) const = 0;

  /// @return the merged answer of a fan-out.
  virtual engine::HttpResponse Merged(const Call& call,
                                      const std::vector<std::string>& stamps,
                                      size_t missing,
                                      std::string body) const = 0;

  /// @return the answer to a request that is not served.
  /// @param ran whether it may have run at a target.
  /// @param retry_after when the caller should come back; zero for not said.
  virtual engine::HttpResponse Refuse(const std::string& request_id,
                                      RefusalReason reason, bool ran,
                                      absl::Duration retry_after) const = 0;

  /// @return the header by which targets echo the request's id.
  virtual std::string id_header() const = 0;
};

}  // namespace cherrydyke
