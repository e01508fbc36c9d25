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

/// The parts of a caller's request that routing and time limits depend on.
struct CallerRequest {
  std::string request_id;
  std::string host;
  /// Path without the query string.
  std::string path;
  /// Time until the caller's deadline, if the request states one.
  std::optional<absl::Duration> time_left;

  friend bool operator==(const CallerRequest& a, const CallerRequest& b) {
    return a.request_id == b.request_id && a.host == b.host &&
           a.path == b.path && a.time_left == b.time_left;
  }
};

/// A target's response, parsed.
struct TargetResponse {
  AttemptResult result = AttemptResult::kUnknown;
  engine::HttpResponse response;
  /// The target's signature of the response body.
  std::string signature;
  std::optional<TargetLoad> load;
  /// Whether the target announced its shutdown.
  bool leaving = false;
  /// Time for which the target, having rejected the request, asked this host to
  /// send it nothing; zero if it did not ask.
  absl::Duration backoff;
  /// Whether the target stated a backoff that is not a non-negative number.
  bool is_backoff_malformed = false;
  /// Requests per second that the target takes from all hosts together, if it
  /// states a limit.
  std::optional<double> rate;
  /// Whether the target stated a limit that is not a non-negative number.
  bool is_rate_malformed = false;
};

/// Why a host answers a request itself instead of with a target's response.
enum class RefusalReason {
  kMalformed,
  kNoConfiguration,
  kNoRoute,
  /// As `kNoRoute`, but the route may have been added since this host's
  /// configuration was last known to be current.
  kStaleConfiguration,
  kQuarantined,
  kNoTarget,
  /// As `kNoTarget`, because targets are at their concurrency limits.
  kOverloaded,
  /// As `kNoTarget`, because all targets have asked for a backoff.
  kTargetsBackedOff,
  kTargetsFailed,
  kDeadline,
  /// Callers' connections hold as much as this host can keep for them.
  kMemory,
  /// This host shuts down and could not end the request in time.
  kShutdown,
};

/// @return the reason in snake_case, as metrics, logs and responses show it.
std::string RefusalReasonName(RefusalReason reason);

/// Translates between the tier's own types and the HTTP headers and statuses
/// used with callers and targets. Stateless: makes no routing decisions.
class ProtocolAdapter {
 public:
  virtual ~ProtocolAdapter() = default;

  /// @return the parsed request, or nothing if it is malformed.
  virtual std::optional<CallerRequest> ParseCallerRequest(
      const engine::HttpRequest& request) const = 0;

  /// @return the part of the request head that is the same for all targets,
  /// without the empty line that ends it.
  virtual std::string TargetRequestHead(
      const engine::HttpRequest& request) const = 0;

  /// @param shared_head result of `TargetRequestHead`.
  /// @param time_left time until the request's deadline.
  /// @return the serialized request to one target.
  virtual std::string TargetRequest(const std::string& shared_head,
                                    const std::string& body,
                                    const TargetId& target,
                                    absl::Duration time_left) const = 0;

  virtual TargetResponse ParseTargetResponse(
      engine::HttpResponse response) const = 0;

  /// @return a target's response with the headers that the caller gets.
  virtual engine::HttpResponse Relay(engine::HttpResponse response) const = 0;

  /// @param signatures of the responses that were merged.
  /// @param missing number of parts without a response.
  /// @return the response to a fan-out request.
  virtual engine::HttpResponse MergedResponse(
      const CallerRequest& call, const std::vector<std::string>& signatures,
      size_t missing, std::string body) const = 0;

  /// @param ran whether the request may have run at a target.
  /// @param retry_after time after which the caller should retry.
  /// @return the response to a request that is not served.
  virtual engine::HttpResponse RefusalResponse(
      const std::string& request_id, RefusalReason reason, bool ran,
      absl::Duration retry_after) const = 0;

  /// @return whether the status tells callers that the request did not run.
  virtual bool DeniesRun(const engine::HttpResponse& response) const = 0;

  /// @return whether a target signed the response, having run the request.
  virtual bool IsFromTarget(const engine::HttpResponse& response) const = 0;

  /// @return name of the header in which targets echo the request id.
  virtual std::string request_id_header() const = 0;
};

}  // namespace cherrydyke
