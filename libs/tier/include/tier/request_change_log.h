#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "telemetry/log.h"
#include "telemetry/log_rate_limiter.h"
#include "tier/request_trail.h"
#include "tier/route_changes.h"
#include "tier/target_withdrawals.h"

namespace cherrydyke {

/// Decides which requests have a line because a route or target of theirs
/// changed within twice the bound for changes, and logs those that ended before
/// this host knew of the change. Bounded by the changes, and per second.
///
/// Pure but for the log: time is an argument.
class RequestChangeLog {
 public:
  /// Most lines a second of answered requests and of refused ones.
  static constexpr int kDoneLines = 60;
  static constexpr int kRefusedLines = 100;
  /// Most lines of requests before a change at a time and in a period, and
  /// those that wait for their time.
  static constexpr size_t kBeforeLines = 10;
  static constexpr absl::Duration kBeforePeriod = absl::Milliseconds(100);
  static constexpr size_t kMaxWaitingLines = 1024;

  /// @param bound time within which changes must take effect.
  explicit RequestChangeLog(absl::Duration bound)
      : routes_(2 * bound), targets_(2 * bound), trail_(bound) {}

  /// As `RouteChanges::OnRoutes`; notes requests handled before.
  void OnRoutes(const RouteTable* before, const RouteTable& table,
                absl::Time now);
  /// Targets are withdrawn, or no longer; notes requests sent to them before.
  void OnNotices(const std::vector<WithdrawalNotice>& notices, absl::Time now);

  /// A request has ended. Adds what changed to the fields of its line.
  /// @return whether its line is due, even if there are many.
  bool OnEnded(const HandledRequest& request, Fields& fields);
  /// A request without a route is refused; as `OnEnded`.
  bool OnRefused(const HandledRequest& request, Fields& fields);
  /// Keeps a request that has ended, for changes that become known later.
  void Keep(HandledRequest request) { trail_.Add(std::move(request)); }

  /// Logs some of the requests that were noted. To be called each
  /// `kBeforePeriod`.
  void LogBefore();

  /// A request is being sent to a target. Logs that the target is withdrawn.
  /// @param selected_at when the target was selected.
  void OnSent(const std::string& request, uint32_t instance_hash,
              absl::Time selected_at, absl::Time now);

  /// @return log lines dropped since the last call, by kind.
  std::map<std::string, int> TakeDroppedLines();

 private:
  RouteChange* FindChange(const HandledRequest& request);
  void NoteBefore(const HandledRequest& request, Fields fields, absl::Time now);

  RouteChanges routes_;
  TargetWithdrawals targets_;
  RequestTrail trail_;
  LogRateLimiter limiter_;
  std::deque<Fields> before_;
  int dropped_before_ = 0;
};

}  // namespace cherrydyke
