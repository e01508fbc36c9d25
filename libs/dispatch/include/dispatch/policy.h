#pragma once

#include <string>
#include <tuple>

#include "absl/time/time.h"

namespace cherrydyke {

/// Settings that operators can change. The measurements behind the defaults are
/// in docs/design/heavy-days.md and published-freshness.md.
struct Policy {
  /// Assumed round trip to a caller whose round trip is not known. An answer is
  /// sent this much earlier than the latency objective.
  absl::Duration answer_margin = absl::Milliseconds(12);
  /// Further margin for the processing in the kernel and at the caller, beyond
  /// the round trip and the delay of this host.
  absl::Duration answer_spare = absl::Milliseconds(4);
  /// Whether a fan-out waits for all parts until the latency objective, or is
  /// answered as soon as it has the minimum number of parts.
  bool wait_for_parts = true;
  /// How much earlier than its deadline a request is ended.
  absl::Duration deadline_margin = absl::Milliseconds(10);
  /// Time that a cancelled request has to finish at its target before its
  /// connection is closed. Closing at once is expensive, as a new connection
  /// costs the target about as much as a typical request; but the target must
  /// learn within 500 ms that a caller disconnected.
  absl::Duration cancel_grace = absl::Milliseconds(250);
  /// Mean Retry-After delay of refused callers, and its jitter to both sides
  /// as a fraction of the delay, so that callers do not retry at the same time.
  absl::Duration retry_after = absl::Milliseconds(200);
  double retry_after_spread = 0.5;

  /// Whether an overdue part is hedged, that is also requested from a second
  /// target.
  bool hedges = true;
  /// Latency above a target's mean, in mean deviations, from which a part is
  /// overdue: a pause of 200 ms is far above, ordinary queueing is below.
  double hedge_deviations = 4;
  /// Usable fraction of the fleet-wide retry budget. The rest allows for extra
  /// sends that are delayed and arrive in the next window.
  double budget_part = 0.9;
  /// Fraction of that available to optional sends, which only make an answer
  /// faster or more complete.
  double helpful_part = 0.85;

  /// Cost of a failure when replicas are compared, as added latency. The retry
  /// budget is small, so a failure often loses the part, and one or two missing
  /// parts fail a fan-out over many shards. A replica that fails 10 % of
  /// requests must therefore cost more than one in another region.
  absl::Duration failure_cost = absl::Milliseconds(1000);
  /// Targets of a service to which connections are kept open: the preferred one
  /// and the one for hedges, which cannot afford to wait for a handshake.
  int warm_targets = 2;
  /// Whether the round trip counts when replicas are compared.
  bool prefer_near = true;
  /// Whether the adaptive concurrency limit applies to targets.
  bool limit_concurrency = true;

  /// Calls a second that all hosts together may spend on watching the
  /// configuration service, far below the rate that it allows. As many hosts
  /// watch it as stay within this while changes continue. Where that is less
  /// than one in each failure domain, roles decide which one reads.
  double watch_calls_per_s = 40;

  /// Maximum log lines per second for each kind of failure or refusal, and
  /// for each kind of answer. Callers ask about failures and refusals, and each
  /// line costs CPU time.
  int log_lines = 20;
  int answer_log_lines = 3;

  friend bool operator==(const Policy& a, const Policy& b) {
    return std::tie(a.answer_margin, a.answer_spare, a.wait_for_parts,
                    a.deadline_margin, a.cancel_grace, a.retry_after,
                    a.retry_after_spread, a.hedges, a.hedge_deviations,
                    a.budget_part, a.helpful_part, a.failure_cost,
                    a.warm_targets, a.prefer_near, a.limit_concurrency,
                    a.watch_calls_per_s, a.log_lines, a.answer_log_lines) ==
           std::tie(b.answer_margin, b.answer_spare, b.wait_for_parts,
                    b.deadline_margin, b.cancel_grace, b.retry_after,
                    b.retry_after_spread, b.hedges, b.hedge_deviations,
                    b.budget_part, b.helpful_part, b.failure_cost,
                    b.warm_targets, b.prefer_near, b.limit_concurrency,
                    b.watch_calls_per_s, b.log_lines, b.answer_log_lines);
  }
};

}  // namespace cherrydyke
