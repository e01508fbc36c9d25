#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/handover_choice.h"
#include "dispatch/region_limits.h"
#include "dispatch/target_selector.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// Parameters of one request, fixed when it starts.
struct RequestPlan {
  /// One service for each part of the answer; a single one unless it fans out.
  std::vector<ServiceName> services;
  bool is_fanout = false;
  bool idempotent = false;
  /// Whether an overdue part is also requested from a second target.
  bool hedges = true;
  /// Maximum number of targets of each service that the request may run on.
  int max_attempts = 1;
  /// Minimum number of parts of an answer.
  size_t min_parts = 1;
  /// When the request is answered if it has the minimum number of parts.
  absl::Time answer_at;
  /// When the request ends in any case.
  absl::Time deadline;
  /// Allowed regions of targets, which newer configurations restrict.
  RegionLimits regions;
  /// Targets that may have run the request before it was handed to this host.
  TriedTargets tried;
};

/// Result of one attempt.
enum class AttemptResult {
  kSuccess,
  /// This host sent no byte of it.
  kNotSent,
  /// It certainly did not run, for example because the target rejected it.
  kNotRun,
  /// As `kNotRun`: the address now belongs to another target.
  kWrongTarget,
  /// The target ran it and answered with an error.
  kFailure,
  /// As `kFailure`, with a status that tells callers that it did not run.
  kMisleadingFailure,
  /// There is no answer; it may have run.
  kUnknown,
};

/// One attempt to be sent.
struct AttemptSend {
  size_t attempt = 0;
  size_t part = 0;
  TargetId target;
};

/// Outcome of a request, which decides the response to the caller.
enum class RequestOutcome {
  /// Answered with the successful parts.
  kAnswer,
  /// The error response of a target is relayed unchanged.
  kRelayFailure,
  /// It did not run on any target and will not run.
  kNotRun,
  /// No answer is possible; it may have run.
  kFailed,
  /// Its deadline passed; it may have run.
  kTimedOut,
};

/// Actions that the owner of a run has to take after an event.
struct RunActions {
  /// Empty beside an outcome: nothing is sent of a request that has ended.
  std::vector<AttemptSend> send;
  /// Attempts that have become overdue.
  std::vector<size_t> overdue;
  /// Attempts to cancel; some may not have been sent yet.
  std::vector<size_t> cancel;
  std::optional<RequestOutcome> outcome;
};

/// State machine of one request, which needs an answer from one target of each
/// of its services. Decides on first sends, hedges, retries, and when and how
/// the request is answered.
///
/// Until `answer_at` it waits for all parts, as an answer is worth more the
/// more shards it covers; then it is answered as soon as it has `min_parts`
/// parts. A request that can no longer get these fails immediately.
///
/// A request that is not idempotent has at most one attempt that may have run:
/// it is retried only if the previous attempt certainly did not run. Its
/// caller relies on statuses that deny a run, so a misleading failure of its
/// target is not relayed.
///
/// Pure: the time is an argument of each event.
class RequestRun {
 public:
  RequestRun(RequestPlan plan, TargetSelector& target_selector);

  RunActions Start(absl::Time now);
  RunActions OnEnded(size_t attempt, AttemptResult result, absl::Time now);
  RunActions OnTimer(absl::Time now);
  /// No target can be reached any more: ends the run with the parts that it
  /// has, or without an answer. A request that must not run twice goes on, as
  /// its attempt may still be answered.
  RunActions OnPathLost();
  /// An attempt that was to be cancelled had not been sent yet.
  void OnCancelledUnsent(size_t attempt);
  /// Ends the run without an answer, for example if the caller disconnected.
  RunActions Abort();

  /// @return whether the request could be answered with the parts it has.
  bool CanAnswer() const { return succeeded_parts_ >= plan_.min_parts; }
  /// @return the latest time at which `OnTimer` must be called.
  absl::Time NextTimer() const;
  bool done() const { return done_; }
  const RequestPlan& plan() const { return plan_; }

  /// @return the successful attempt of each part, if any.
  std::vector<std::optional<size_t>> Winners() const;
  /// @return the attempt whose error response is relayed.
  size_t relayed() const { return relayed_; }
  size_t sends() const { return attempts_.size(); }
  const TargetId& target(size_t attempt) const {
    return attempts_[attempt].target;
  }
  /// @return whether the attempt has neither ended nor been cancelled.
  bool running(size_t attempt) const { return attempts_[attempt].running; }
  const ServiceName& service(size_t attempt) const {
    return plan_.services[attempts_[attempt].part];
  }
  /// @return whether the part of the attempt has an answer.
  bool answered(size_t attempt) const {
    return parts_[attempts_[attempt].part].winner.has_value();
  }
  /// @return the targets that have run or may have run the request.
  TriedTargets Tried() const;
  /// @return the number of attempts that ran or may have run.
  size_t maybe_run() const { return maybe_run_; }

 private:
  struct Attempt {
    size_t part = 0;
    TargetId target;
    bool running = true;
    bool may_have_run = true;
  };
  struct Part {
    std::optional<size_t> winner;
    bool failed = false;
    int running = 0;
    /// Attempts that are running, have run or may have run.
    int executions = 0;
    /// Attempts that reached or may have reached a target. If there are any,
    /// the next one is an extra send.
    int arrivals = 0;
    std::vector<TargetId> tried;
    absl::Time overdue_at = absl::InfiniteFuture();
    std::optional<size_t> failure;
  };

  /// Sends the first request of this host for a part.
  bool SendFirst(size_t part, absl::Time now, RunActions& actions);
  bool Send(size_t part, std::optional<RetryPriority> priority, absl::Time now,
            RunActions& actions);
  void Retry(size_t part, absl::Time now, RunActions& actions);
  absl::Time OverdueTime(const SelectedTarget& selected, absl::Time now) const;
  void MarkFailed(Part& part);
  RetryPriority PriorityOf(size_t part) const;
  bool MayHedge(const Part& part) const;
  /// @return whether the request is answered without the parts that it lacks.
  bool IsAnswerDue(absl::Time now) const;
  void CheckCompletion(absl::Time now, RunActions& actions);
  void Finish(RequestOutcome outcome, RunActions& actions);
  RequestOutcome FailureOutcome() const;

  const RequestPlan plan_;
  TargetSelector& target_selector_;
  std::vector<Part> parts_;
  std::vector<Attempt> attempts_;
  size_t succeeded_parts_ = 0;
  size_t failed_parts_ = 0;
  size_t maybe_run_ = 0;
  /// Attempts made before the request was handed to this host.
  size_t tried_before_ = 0;
  size_t relayed_ = 0;
  bool done_ = false;
};

}  // namespace cherrydyke
