#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/target_selector.h"
#include "dispatch/types.h"

namespace cherrydyke {

/// What one request needs, fixed when it starts.
struct RequestPlan {
  /// One service for each part of the answer; just one unless it fans out.
  std::vector<ServiceName> services;
  bool is_fanout = false;
  bool idempotent = false;
  /// Whether a part that takes long is asked for at a second target.
  bool hedges = true;
  /// Most targets of each service that the request may run on.
  int max_attempts = 1;
  /// Fewest parts that make an answer.
  size_t min_parts = 1;
  /// When an answer that has enough parts is given.
  absl::Time answer_at;
  /// When the request ends, answered or not.
  absl::Time deadline;
  /// Regions whose targets may be used; empty for all.
  std::vector<RegionName> allowed_regions;
};

/// How an attempt ended.
enum class AttemptResult {
  kSuccess,
  /// No byte of it left this host.
  kNotSent,
  /// The target says, or it is certain, that the request did not run.
  kNotRun,
  /// As `kNotRun`, and the address belongs to another target by now.
  kWrongTarget,
  /// The target ran it and answered with a failure.
  kFailure,
  /// It may have run; there is no answer.
  kUnknown,
};

/// One attempt to be sent.
struct AttemptSend {
  size_t attempt = 0;
  size_t part = 0;
  TargetId target;
};

/// How a request is to be answered.
enum class RequestOutcome {
  /// With the successful parts.
  kAnswer,
  /// With one target's failure, unchanged.
  kRelayFailure,
  /// It has run nowhere and never will.
  kNotRun,
  /// No answer can be had; it may have run.
  kFailed,
  /// The deadline has passed; it may have run.
  kTimedOut,
};

/// What the owner of a run has to do after an event.
struct RunActions {
  std::vector<AttemptSend> send;
  /// Attempts that have run longer than their targets usually take.
  std::vector<size_t> overdue;
  /// Attempts whose result is no longer wanted; some may not be sent yet.
  std::vector<size_t> cancel;
  std::optional<RequestOutcome> outcome;
};

/// Runs one request over one target of each service that it needs: first
/// sends, hedges for overdue ones, retries, and when to answer with what.
///
/// Until `answer_at` it waits for every part, as an answer is worth more the
/// more of the shards it covers; from then on it answers as soon as the needed
/// parts are in. A request that can no longer get them ends at once.
///
/// A request that is not idempotent has at most one attempt that may have run:
/// it is sent again only after proof that it did not.
///
/// Pure decision logic: every event carries the time.
class RequestRun {
 public:
  RequestRun(RequestPlan plan, TargetSelector& placement);

  RunActions Start(absl::Time now);
  RunActions OnEnded(size_t attempt, AttemptResult end, absl::Time now);
  RunActions OnTimer(absl::Time now);
  /// Ends the run without an answer, as when the caller has left.
  RunActions Abort();

  /// @return when `OnTimer` is to be called at the latest.
  absl::Time NextTimer() const;
  bool done() const { return done_; }
  const RequestPlan& plan() const { return plan_; }

  /// @return for each part, the attempt that succeeded, if any.
  std::vector<std::optional<size_t>> Winners() const;
  /// @return the attempt whose failure is to be relayed.
  size_t relayed() const { return relayed_; }
  size_t sends() const { return attempts_.size(); }
  const TargetId& target(size_t attempt) const {
    return attempts_[attempt].target;
  }
  /// @return whether the attempt's result is still wanted.
  bool running(size_t attempt) const { return attempts_[attempt].running; }
  const ServiceName& service(size_t attempt) const {
    return plan_.services[attempts_[attempt].part];
  }
  /// @return whether the part that the attempt was for has been answered.
  bool answered(size_t attempt) const {
    return parts_[attempts_[attempt].part].winner.has_value();
  }
  /// @return attempts that may have run at a target.
  size_t maybe_run() const { return maybe_run_; }

 private:
  struct Attempt {
    size_t part = 0;
    TargetId target;
    bool running = true;
  };
  struct Part {
    std::optional<size_t> winner;
    bool given_up = false;
    int running = 0;
    /// Attempts that run, have run or may have.
    int counted = 0;
    /// Attempts that reached a target, or may have: the next one is beyond the
    /// free first arrival.
    int arrivals = 0;
    std::vector<TargetId> tried;
    absl::Time overdue_at = absl::InfiniteFuture();
    std::optional<size_t> failure;
  };

  bool Send(size_t part, std::optional<RetryPriority> extra, absl::Time now,
            RunActions& actions);
  void Retry(size_t part, absl::Time now, RunActions& actions);
  absl::Time OverdueAt(const SelectedTarget& placed, absl::Time now) const;
  void GiveUp(Part& part);
  RetryPriority UseOf(size_t part) const;
  bool MayHedge(const Part& part) const;
  void Settle(absl::Time now, RunActions& actions);
  void Conclude(RequestOutcome kind, RunActions& actions);
  RequestOutcome FailureKind() const;

  const RequestPlan plan_;
  TargetSelector& placement_;
  std::vector<Part> parts_;
  std::vector<Attempt> attempts_;
  size_t succeeded_ = 0;
  size_t given_up_ = 0;
  size_t maybe_run_ = 0;
  size_t relayed_ = 0;
  bool done_ = false;
};

}  // namespace cherrydyke
