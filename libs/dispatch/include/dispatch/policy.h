#pragma once

#include <string>
#include <tuple>

#include "absl/time/time.h"

namespace cherrydyke {

/// What an operator may change about the decisions on requests. The defaults
/// are what was measured in docs/design/heavy-days.md.
struct Policy {
  /// How much earlier than the latency objective an answer is given to a caller
  /// whose distance is not known: the way to it and back.
  absl::Duration answer_margin = absl::Milliseconds(12);
  /// Time kept free beyond the way to the caller and what this host takes to
  /// give an answer: what the kernel and the caller take.
  absl::Duration answer_spare = absl::Milliseconds(4);
  /// Whether a fan-out waits for all parts until then, or is answered as soon
  /// as enough parts are in.
  bool wait_for_parts = true;
  /// How much earlier than the deadline a request ends.
  absl::Duration deadline_margin = absl::Milliseconds(10);
  /// Time that an unwanted request has to finish at its target before its
  /// connection is closed: a new connection costs the target about as much as
  /// a usual request, but callers' leaving must reach it within half a second.
  absl::Duration cancel_grace = absl::Milliseconds(250);
  /// When a refused caller should come back, on average, and the part of it by
  /// which returns are spread to both sides, so that they do not come together.
  absl::Duration retry_after = absl::Milliseconds(200);
  double retry_after_spread = 0.5;

  /// Whether a part that takes long is asked for at a second target.
  bool hedges = true;
  /// Deviations of a target's usual time above its mean after which a part
  /// counts as taking long: pauses of 200 ms stand far outside, queues inside.
  double hedge_deviations = 4;
  /// Part of the fleet's budget for extra sends that is used at all; the rest
  /// covers arrivals that are delayed into the next window.
  double budget_part = 0.9;
  /// Part of that which sends may use that only make an answer faster or more
  /// complete.
  double helpful_part = 0.85;

  /// What it costs a request to meet a failure, when replicas are compared.
  /// Second sends are few, so a failure may well lose the part, and of many
  /// shards a lost part or two lose the answer: a replica that fails one
  /// request in ten must cost more than one in another region.
  absl::Duration failure_cost = absl::Milliseconds(1000);
  /// Targets of a service to which connections are kept open: the one in use
  /// and the one that a hedge would go to, for which a handshake would come too
  /// late.
  int warm_targets = 2;
  /// Whether distance counts when replicas are compared.
  bool prefer_near = true;
  /// Whether a target gets no more than it answers in time.
  bool limit_concurrency = true;

  /// Most lines a second for each kind of failure or refusal, and for each kind
  /// of answer: callers ask about the former, and each line costs processor.
  int log_lines = 20;
  int answer_log_lines = 3;

  friend bool operator==(const Policy& a, const Policy& b) {
    return std::tie(a.answer_margin, a.answer_spare, a.wait_for_parts,
                    a.deadline_margin, a.cancel_grace, a.retry_after,
                    a.retry_after_spread, a.hedges, a.hedge_deviations,
                    a.budget_part, a.helpful_part, a.failure_cost,
                    a.warm_targets, a.prefer_near, a.limit_concurrency,
                    a.log_lines, a.answer_log_lines) ==
           std::tie(b.answer_margin, b.answer_spare, b.wait_for_parts,
                    b.deadline_margin, b.cancel_grace, b.retry_after,
                    b.retry_after_spread, b.hedges, b.hedge_deviations,
                    b.budget_part, b.helpful_part, b.failure_cost,
                    b.warm_targets, b.prefer_near, b.limit_concurrency,
                    b.log_lines, b.answer_log_lines);
  }
};

}  // namespace cherrydyke
