#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "dispatch/answer_timing.h"
#include "dispatch/crash_ledger.h"
#include "dispatch/policy.h"
#include "dispatch/request_run.h"
#include "dispatch/return_schedule.h"
#include "dispatch/route_table.h"
#include "dispatch/top_records.h"
#include "engine/http_server.h"
#include "telemetry/log_budget.h"
#include "telemetry/metrics.h"
#include "tier/caller_face.h"
#include "tier/target_set.h"

namespace cherrydyke {

/// Serves callers' requests: finds the route, runs the request over its
/// targets, and answers. One thread.
class QueryPlane {
 public:
  struct Parts {
    engine::EventLoop& loop;
    const CallerFace& face;
    TargetSet& targets;
    CrashLedger& crashes;
    Metrics& metrics;
    Policy policy;
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

  size_t running() const { return running_; }
  /// @return lines left out since the last call, by kind.
  std::map<std::string, int> TakeDroppedLines() {
    return log_budget_.TakeDropped();
  }

 private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  RequestPlan MakePlan(const Route& route, const Call& call,
                       const engine::ServerExchange& exchange);
  void Perform(const RequestPtr& request, const RunActions& actions);
  void SendAttempt(const RequestPtr& request, const AttemptSend& send);
  void OnResult(const RequestPtr& request, size_t attempt,
                engine::ExchangeResult result);
  TargetReply Interpret(engine::ExchangeResult result) const;
  void Learn(const Request& request, size_t attempt, const TargetReply& reply,
             engine::ExchangeStatus status);
  void Conclude(const RequestPtr& request, ConclusionKind kind);
  void Answer(const RequestPtr& request);
  void Refuse(engine::ServerExchange& exchange, const std::string& request_id,
              RefusalReason reason, bool ran);
  void Arm(const RequestPtr& request);
  void OnLeft(const RequestPtr& request);
  /// @return each attempt for a part that has no answer: service, target, when
  /// it was sent and the status it got, 0 for none.
  static std::string UnansweredAttempts(const Request& request);
  void LogOutcome(const Request& request, const std::string& outcome,
                  size_t missing);
  absl::Duration RetryAfter(RefusalReason reason);

  engine::EventLoop& loop_;
  engine::TimerScope timers_{loop_};
  const CallerFace& face_;
  TargetSet& targets_;
  CrashLedger& crashes_;
  Metrics& metrics_;
  const Policy policy_;
  LogBudget log_budget_;
  ReturnSchedule returns_;
  AnswerTiming timing_;
  std::mt19937_64 random_;
  std::shared_ptr<const RouteTable> routes_;
  absl::flat_hash_map<RouteName, WeightedSpreader> spreaders_;
  size_t running_ = 0;
};

}  // namespace cherrydyke
