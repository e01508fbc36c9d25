#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "dispatch/answer_margin_estimator.h"
#include "dispatch/config_versions.h"
#include "dispatch/crash_tracker.h"
#include "dispatch/policy.h"
#include "dispatch/published_state.h"
#include "dispatch/request_run.h"
#include "dispatch/retry_after_scheduler.h"
#include "dispatch/route_table.h"
#include "dispatch/shutdown_schedule.h"
#include "dispatch/top_records.h"
#include "engine/http_server.h"
#include "telemetry/log.h"
#include "telemetry/log_rate_limiter.h"
#include "telemetry/metrics.h"
#include "tier/handover_client.h"
#include "tier/handover_origin.h"
#include "tier/protocol_adapter.h"
#include "tier/request_change_log.h"
#include "tier/target_set.h"

namespace cherrydyke {

/// @return a hash of what a request shares with its repetitions: the method,
/// the path with the query, the body, and the caller's address without its
/// port.
uint64_t RequestFingerprint(const engine::HttpRequest& request);

class WaitingRequests;

/// Serves callers' requests: finds the route, sends the request to targets with
/// retries and hedges, and responds. Single-threaded.
class RequestHandler {
 public:
  struct Dependencies {
    engine::EventLoop& loop;
    const ProtocolAdapter& protocol;
    TargetSet& targets;
    CrashTracker& crashes;
    HandoverClient& handovers;
    ConfigVersions& versions;
    Metrics& metrics;
    Policy policy;
    /// Time within which a published change must take effect.
    absl::Duration change_deadline;
    std::function<PublishedState()> published_state;
    /// Called after crashes of a request were counted.
    std::function<void()> on_crash_counted;
  };

  explicit RequestHandler(Dependencies dependencies);
  ~RequestHandler();

  /// Sets the routes of requests received from now on.
  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  bool has_routes() const { return routes_ != nullptr; }

  /// Targets are to get no more requests, or may again.
  void OnWithdrawals(const std::vector<WithdrawalNotice>& notices) {
    change_log_.OnNotices(notices, loop_.Now());
  }

  /// Handles a request of this host's own callers.
  void OnRequest(std::shared_ptr<engine::ServerExchange> exchange) {
    Handle(std::move(exchange), std::nullopt);
  }
  /// Handles a request that another host handed over. It is not handed over
  /// again.
  void OnHandedOver(std::shared_ptr<engine::ServerExchange> exchange,
                    HandoverOrigin origin) {
    Handle(std::move(exchange), std::move(origin));
  }

  /// @return the response to a request of this host's own callers that was not
  /// read to its end.
  engine::HttpResponse RefuseUnread(RefusalReason reason);

  /// A request became quarantined: aborts the running ones with its
  /// fingerprint.
  void OnQuarantined(uint64_t fingerprint);

  /// This host takes itself for partitioned from all targets: ends the running
  /// requests that would only wait for their deadlines.
  void OnPartitioned();

  /// From now on, requests are taken as the schedule permits.
  void BeginShutdown(const ShutdownSchedule& schedule);

  /// Peers or the path to targets have changed: handles the requests that wait
  /// for that anew, soon.
  void ResumeWaiting();

  /// Ends all running requests for the shutdown: with the parts that they have
  /// if these are enough, otherwise without a target's response.
  void EndRunning();

  /// @return requests in flight.
  size_t running() const { return running_.size(); }
  /// @return requests that wait for a peer.
  size_t waiting() const;
  /// @return log lines dropped since the last call, by kind.
  std::map<std::string, int> TakeDroppedLines() {
    return log_rate_limiter_.TakeDroppedCounts();
  }
  /// As above, of lines due to changes.
  std::map<std::string, int> TakeDroppedChangeLines() {
    return change_log_.TakeDroppedLines();
  }

 private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  void Handle(std::shared_ptr<engine::ServerExchange> exchange,
              std::optional<HandoverOrigin> origin);
  RequestPlan MakePlan(const Route& route, const CallerRequest& caller_request,
                       const engine::ServerExchange& exchange,
                       const std::optional<HandoverOrigin>& origin);
  /// @return the service that gets a request of a route without fan-out.
  ServiceName ChooseBackend(const Route& route,
                            const std::optional<HandoverOrigin>& origin);
  /// @return whether too few of the request's services can be reached from this
  /// host.
  bool IsOutOfReach(const RequestPlan& plan) const;
  /// Hands a request to another host.
  /// @return false if that is not possible; nothing was done then.
  bool HandOver(const std::shared_ptr<engine::ServerExchange>& exchange,
                const CallerRequest& caller_request, const RequestPlan& plan,
                TriedTargets tried);
  HandoverCriteria CriteriaOf(const RequestPlan& plan) const;
  /// Lets a request that has not run wait for a peer.
  /// @return false if it is to be refused at once.
  bool WaitForPeer(const std::shared_ptr<engine::ServerExchange>& exchange,
                   const std::string& request_id,
                   const UnplacedRequest& request);
  /// Hands over a request that ended without a response because targets are out
  /// of this host's reach.
  bool HandOverUnserved(const RequestPtr& request);
  /// Runs one step of a request and counts the targets passed over in it.
  RunActions Advance(Request& request,
                     absl::FunctionRef<RunActions(RequestRun&)> step);
  void Perform(const RequestPtr& request, const RunActions& actions);
  void SendAttempt(const RequestPtr& request, const AttemptSend& send);
  /// An attempt was to be sent though its request has ended.
  void ReportWithdrawnAfterEnd(const Request& request, const TargetId& target,
                               absl::Time selected_at);
  void OnResult(const RequestPtr& request, size_t attempt,
                engine::ExchangeResult result);
  TargetResponse Interpret(engine::ExchangeResult result) const;
  void RecordResult(const RequestPtr& request, size_t attempt,
                    const TargetResponse& reply, engine::ExchangeStatus status);
  /// Finds out whether the target crashed under an attempt without a response.
  void ExplainMissingResponse(const RequestPtr& request, size_t attempt,
                              AttemptLoss loss);
  /// Applies a shutdown or backoff that a target announced in a response.
  void ApplyNotices(const Request& request, size_t attempt,
                    const TargetResponse& reply);
  /// Applies the request rate that the target stated in a complete response, or
  /// that it stated none.
  void ApplyStatedRate(const Request& request, size_t attempt,
                       const TargetResponse& reply);
  /// A target crashed while it ran an attempt. The crash counts against the
  /// request only if the request ends without a response for that part: a crash
  /// loses all requests in flight at the target, and the innocent ones succeed
  /// when they are retried elsewhere.
  void OnCrash(const RequestPtr& request, size_t attempt);
  void CountCrash(const Request& request, size_t attempt);
  /// Ends a request and counts the crashes of attempts whose parts got no
  /// response.
  void FinishRequest(const RequestPtr& request);
  void Conclude(const RequestPtr& request, RequestOutcome kind);
  void SendResponse(const RequestPtr& request);
  void Refuse(engine::ServerExchange& exchange, const std::string& request_id,
              RefusalReason reason, bool ran) {
    Refuse(exchange, request_id, reason, ran, RetryAfter(reason));
  }
  void Refuse(engine::ServerExchange& exchange, const std::string& request_id,
              RefusalReason reason, bool ran, absl::Duration retry_after);
  /// @param is_line_due whether its line is not to be left out.
  /// @return whether it has a line.
  bool LogRefusal(const engine::ServerExchange& exchange,
                  const std::string& request_id, RefusalReason reason, bool ran,
                  absl::Duration retry_after, Fields change_fields,
                  bool is_line_due);
  /// Refuses a request because no route is known for it.
  void RefuseUnrouted(engine::ServerExchange& exchange,
                      const CallerRequest& caller_request, RefusalReason reason,
                      bool ran);
  void CountRefusal(RefusalReason reason);
  /// Refuses a request that has not run because no target could be used.
  void RefuseForLackOfTargets(const Request& request);
  void ArmTimer(const RequestPtr& request);
  void OnCallerDisconnected(const RequestPtr& request);
  /// Ends a request without waiting for its targets.
  void Abort(const RequestPtr& request);
  /// @return for each attempt of a part without a successful response: service,
  /// target, milliseconds from receipt of the request to the send, and HTTP
  /// status, 0 for none.
  static std::string UnansweredAttempts(const Request& request);
  void CountPassedOver(const ExclusionCounts& passed_over);
  /// Logs and counts the outcome of a request whose response is given, or
  /// which a peer has, and lets go of what was received.
  void End(const RequestPtr& request, const std::string& outcome,
           size_t missing);
  void LogOutcome(const Request& request, const std::string& outcome,
                  size_t missing);
  /// Adds how current the host is, which tells a request of a late host from
  /// one of a changed configuration.
  static void AppendPublishedState(const PublishedState& state, Fields& fields);
  HandledRequest MakeHandled(const Request& request,
                             const std::string& outcome) const;
  absl::Duration RetryAfter(RefusalReason reason);
  /// @return a random number in [0, 1).
  double RandomFraction();

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const ProtocolAdapter& protocol_;
  TargetSet& targets_;
  CrashTracker& crashes_;
  HandoverClient& handovers_;
  ConfigVersions& versions_;
  Metrics& metrics_;
  const Policy policy_;
  const absl::Duration change_deadline_;
  const std::function<PublishedState()> published_state_;
  const std::function<void()> on_crash_counted_;
  LogRateLimiter log_rate_limiter_;
  RequestChangeLog change_log_;
  RetryAfterScheduler retry_after_scheduler_;
  AnswerMarginEstimator answer_margin_;
  std::mt19937_64 random_;
  std::shared_ptr<const RouteTable> routes_;
  std::optional<ShutdownSchedule> shutdown_;
  absl::flat_hash_map<RouteName, WeightedRoundRobin> spreaders_;
  absl::flat_hash_set<RequestPtr> running_;
  std::unique_ptr<WaitingRequests> waiting_;
};

}  // namespace cherrydyke
