#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"
#include "wire/messages.h"

namespace cherrydyke {

/// What a ticket text says: which gate incarnation may run the action, and on
/// which target. Anyone can read it; only that incarnation can use it.
struct Ticket {
  HostId gate;
  Incarnation incarnation = 0;
  uint64_t sequence = 0;

  std::string ToString() const;
  static Result<Ticket> Parse(const std::string& text);

  friend bool operator==(const Ticket& a, const Ticket& b) {
    return std::tie(a.gate, a.incarnation, a.sequence) ==
           std::tie(b.gate, b.incarnation, b.sequence);
  }
};

/// Runs each ticket of one gate incarnation at most once.
///
/// Nothing can be written anywhere lasting, so the promise rests on the
/// identity of the incarnation: a ticket names the incarnation that issued it,
/// and only that incarnation, which remembers what it has done with it, may run
/// it. When the incarnation is gone, no one runs it again; its outcome is
/// unknown.
///
/// Every ticket moves one way only: issued -> running -> ended, or
/// issued -> void. Pure: time is an argument.
class TicketStore {
 public:
  struct Options {
    /// Time from issue in which a ticket can be used.
    absl::Duration ticket_lifetime = absl::Seconds(60);
    /// Time from issue for which an outcome is remembered.
    absl::Duration outcome_retention = absl::Minutes(10);
    /// Tickets remembered at once; beyond it none is issued.
    size_t max_tickets = 200'000;
  };

  TicketStore(HostId gate, Incarnation incarnation, Options options)
      : gate_(std::move(gate)), incarnation_(incarnation), options_(options) {}

  struct Scope {
    EntryName entry;
    std::string key;
    TargetId target;
    ShardId shard;
  };

  /// @return the ticket, or nothing if the book is full.
  std::optional<Ticket> Issue(Scope scope, absl::Time now);

  /// The ticket may be run now, once; `End` must follow.
  struct Admitted {
    Scope scope;
  };
  /// The action is running for an earlier request with the same ticket.
  struct Running {};
  /// The ticket's final outcome, the same for every resend.
  struct Ended {
    AttemptOutcome outcome = AttemptOutcome::kDone;
    bool not_run = false;
    std::string result_json;
  };
  using Admission = std::variant<Admitted, Running, Ended>;

  /// Decides what a request with the ticket gets.
  Admission Begin(const Ticket& ticket, const EntryName& entry,
                  const std::string& key, absl::Time now);

  /// Records the final outcome of a run.
  void End(const Ticket& ticket, Ended ended);

  absl::Duration ticket_lifetime() const { return options_.ticket_lifetime; }

 private:
  enum class State { kIssued, kRunning, kEnded };
  struct Record {
    Scope scope;
    absl::Time issued;
    State state = State::kIssued;
    Ended ended;
    int runs = 0;
  };

  void EvictExpired(absl::Time now);

  const HostId gate_;
  const Incarnation incarnation_;
  const Options options_;
  uint64_t last_sequence_ = 0;
  /// By sequence, hence in order of issue.
  std::map<uint64_t, Record> records_;
};

}  // namespace cherrydyke
