#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/functional/function_ref.h"
#include "dispatch/answer_margin_estimator.h"
#include "dispatch/crash_tracker.h"
#include "dispatch/policy.h"
#include "dispatch/request_run.h"
#include "dispatch/retry_after_scheduler.h"
#include "dispatch/route_table.h"
#include "dispatch/top_records.h"
#include "engine/http_server.h"
#include "telemetry/log_budget.h"
#include "telemetry/metrics.h"
#include "tier/caller_face.h"
#include "tier/target_set.h"

namespace cherrydyke {

/// @return what a request and the same request sent again have in common: the
/// caller's address without its port, the path with the query, and the body.
uint64_t RequestFingerprint(const engine::HttpRequest& request);

/// Serves callers' requests: finds the route, runs the request over its
/// targets, and answers. One thread.
class QueryPlane {
 public:
  struct Parts {
    engine::EventLoop& loop;
    const CallerFace& face;
    TargetSet& targets;
    CrashTracker& crashes;
    Metrics& metrics;
    Policy policy;
    /// Crashes under a request were counted.
    std::function<void()> on_crash_counted;
  };

  explicit QueryPlane(Parts parts);
  ~QueryPlane();

  /// Puts a configuration in force for requests that come from now on.
  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  bool has_routes() const { return routes_ != nullptr; }
  int64_t version() const {
    return routes_ == nullptr ? 0 : routes_->version();
  }

  void OnRequest(std::shared_ptr<engine::ServerExchange> exchange);

  /// A request is quarantined from now on: ends those of its kind that run.
  void OnQuarantined(uint64_t fingerprint);

  size_t running() const { return running_.size(); }
  /// @return lines left out since the last call, by kind.
  std::map<std::string, int> TakeDroppedLines() {
    return log_budget_.TakeDropped();
  }

 private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  RequestPlan MakePlan(const Route& route, const Call& call,
                       const engine::ServerExchange& exchange);
  /// Takes one step of a request's run, and notes which targets it passes over.
  RunActions Step(Request& request,
                  absl::FunctionRef<RunActions(RequestRun&)> step);
  void Perform(const RequestPtr& request, const RunActions& actions);
  void SendAttempt(const RequestPtr& request, const AttemptSend& send);
  void OnResult(const RequestPtr& request, size_t attempt,
                engine::ExchangeResult result);
  TargetReply Interpret(engine::ExchangeResult result) const;
  void Learn(const RequestPtr& request, size_t attempt,
             const TargetReply& reply, engine::ExchangeStatus status);
  /// Applies what a target says of itself in an answer.
  void ApplyNotices(const Request& request, size_t attempt,
                    const TargetReply& reply);
  /// A target crashed while it ran an attempt. Counts against a request only
  /// once it has ended without an answer for that part: whatever is under way
  /// at a target when it crashes is lost, and does not crash the next one.
  void OnCrash(const RequestPtr& request, size_t attempt);
  void CountCrash(const Request& request, size_t attempt);
  /// The request is over; what has crashed under it is settled.
  void Retire(const RequestPtr& request);
  void Conclude(const RequestPtr& request, RequestOutcome kind);
  void Answer(const RequestPtr& request);
  void Refuse(engine::ServerExchange& exchange, const std::string& request_id,
              RefusalReason reason, bool ran) {
    Refuse(exchange, request_id, reason, ran, RetryAfter(reason));
  }
  void Refuse(engine::ServerExchange& exchange, const std::string& request_id,
              RefusalReason reason, bool ran, absl::Duration retry_after);
  /// Refuses what has not run for want of targets.
  void RefuseUnplaced(const Request& request);
  void Arm(const RequestPtr& request);
  void OnLeft(const RequestPtr& request);
  /// Ends a request without an answer of its targets.
  void Abort(const RequestPtr& request);
  /// @return each attempt for a part that has no answer: service, target, when
  /// it was sent and the status it got, 0 for none.
  static std::string UnansweredAttempts(const Request& request);
  void CountPassedOver(const ExclusionCounts& passed_over);
  void LogOutcome(const Request& request, const std::string& outcome,
                  size_t missing);
  absl::Duration RetryAfter(RefusalReason reason);
  /// @return a random number in [0, 1).
  double Draw();

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const CallerFace& face_;
  TargetSet& targets_;
  CrashTracker& crashes_;
  Metrics& metrics_;
  const Policy policy_;
  const std::function<void()> on_crash_counted_;
  LogBudget log_budget_;
  RetryAfterScheduler returns_;
  AnswerMarginEstimator timing_;
  std::mt19937_64 random_;
  std::shared_ptr<const RouteTable> routes_;
  absl::flat_hash_map<RouteName, WeightedRoundRobin> spreaders_;
  absl::flat_hash_set<RequestPtr> running_;
};

}  // namespace cherrydyke
