#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "actions/ticket_store.h"
#include "base/clock.h"
#include "gate/target_runner.h"
#include "wire/link.h"

namespace cherrydyke {

/// Issues the tickets of one gate incarnation and runs each ticket's action at
/// most once. Thread-safe.
class ActionExecutor {
 public:
  struct Environment {
    const Clock& clock;
    /// @return the reason for which no request may be sent to the target now,
    /// or `kDone` if requests may be sent.
    std::function<AttemptOutcome(const TargetId&)> refusal_for;
    /// @return the target's runner, or null if this gate has none.
    std::function<std::shared_ptr<TargetRunner>(const TargetId&)> find_runner;
    std::function<AttemptId()> next_attempt;
    /// Runs a task on the control thread after a delay.
    std::function<void(absl::Duration, std::function<void()>)> run_later;
  };

  /// @param max_attempt_duration longest time that an action may run at a
  /// target; longer timeouts of requests are reduced to it.
  ActionExecutor(HostId gate, Incarnation incarnation, Environment environment,
                 absl::Duration max_attempt_duration);

  void OnTicketRequest(const std::shared_ptr<Link>& link,
                       const TicketRequest& request);

  /// Runs the action of a ticket that was not used before; otherwise sends the
  /// outcome of the earlier run. A request that arrives while the action runs
  /// gets the outcome of that run.
  void OnActionRequest(const std::shared_ptr<Link>& link,
                       const ActionRequest& request);

  /// Stops retries: an action that did not run ends instead of being retried.
  void BeginDrain() { draining_ = true; }
  /// @return the number of actions that have started and not ended.
  int InFlight() const { return in_flight_; }

 private:
  /// Sends the outcome of an action to one of the requests for it.
  using Waiter = std::function<void(const TicketStore::Ended&)>;

  void RunAction(const ActionRequest& request, const Ticket& ticket,
                 const TicketStore::Scope& scope, absl::Time deadline);
  void OnActionReply(const ActionRequest& request, const Ticket& ticket,
                     const TicketStore::Scope& scope, absl::Time deadline,
                     const TargetReply& reply);
  void EndAction(const Ticket& ticket, const TicketStore::Ended& ended);

  const Environment environment_;
  const absl::Duration max_attempt_duration_;
  std::atomic<bool> draining_{false};
  std::atomic<int> in_flight_{0};
  absl::Mutex mutex_;
  TicketStore tickets_ ABSL_GUARDED_BY(mutex_);
  /// Requests for running actions, by the sequence number of the ticket.
  std::map<uint64_t, std::vector<Waiter>> waiters_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cherrydyke
