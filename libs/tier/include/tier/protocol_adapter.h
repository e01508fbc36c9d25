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
struct CallerRequest {
  std::string request_id;
  std::string host;
  /// Without the query.
  std::string path;
  /// How long the caller will wait, if it says so.
  std::optional<absl::Duration> time_left;

  friend bool operator==(const CallerRequest& a, const CallerRequest& b) {
    return a.request_id == b.request_id && a.host == b.host &&
           a.path == b.path && a.time_left == b.time_left;
  }
};

/// What a target's response means.
struct TargetResponse {
  AttemptEnd outcome = AttemptEnd::kUnknown;
  engine::HttpResponse response;
  /// The target's signature of its answer.
  std::string signature;
  std::optional<TargetLoad> load;
  /// Whether the target says that it leaves.
  bool leaving = false;
  /// How long the target, which turned the request away, wants nothing more
  /// from this host; zero where it does not say.
  absl::Duration backoff;
  /// It stated a wait that cannot be read or is no time ahead.
  bool is_backoff_malformed = false;
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
  kTargetsBackedOff,
  kTargetsFailed,
  kDeadline,
};

/// @return the reason as a snake_case word.
std::string RefusalReasonName(RefusalReason reason);

/// The protocol spoken with callers and targets. The tier decides; a face
/// translates.
class ProtocolAdapter {
 public:
  virtual ~ProtocolAdapter() = default;

  /// @return the call, or nothing if the request is malformed.
  virtual std::optional<CallerRequest> ParseCallerRequest(
      const engine::HttpRequest& request) const = 0;

  /// @return the part of a target's request that is the same for all targets,
  /// without the end of the header.
  virtual std::string TargetRequestHead(
      const engine::HttpRequest& request) const = 0;

  /// @return the bytes of a request to one target.
  /// @param head from `TargetRequestHead`.
  virtual std::string TargetRequest(const std::string& shared_head,
                                    const std::string& body,
                                    const TargetId& target,
                                    absl::Duration time_left) const = 0;

  virtual TargetResponse ParseTargetResponse(
      engine::HttpResponse response) const = 0;

  /// @return a target's response as the caller gets it.
  virtual engine::HttpResponse Relay(engine::HttpResponse response) const = 0;

  /// @return the merged answer of a fan-out.
  virtual engine::HttpResponse MergedResponse(
      const CallerRequest& call, const std::vector<std::string>& signatures,
      size_t missing, std::string body) const = 0;

  /// @return the answer to a request that is not served.
  /// @param ran whether it may have run at a target.
  /// @param retry_after when the caller should come back; zero for not said.
  virtual engine::HttpResponse RefusalResponse(
      const std::string& request_id, RefusalReason reason, bool ran,
      absl::Duration retry_after) const = 0;

  /// @return the header by which targets echo the request's id.
  virtual std::string request_id_header() const = 0;
};

}  // namespace cherrydyke
