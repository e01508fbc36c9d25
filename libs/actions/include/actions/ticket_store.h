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

/// Names the gate incarnation that may run an action. The text form can be read
/// by anyone; only that incarnation accepts it.
struct Ticket {
  HostId gate;
  /// Incarnation of the gate that issued the ticket.
  Incarnation incarnation = 0;
  uint64_t sequence = 0;

  /// @return `HOST.INCARNATION.SEQUENCE`, the numbers as 16 hexadecimal digits.
  std::string ToString() const;
  /// @return the ticket, or `kInvalidInput` if the text is not of that form.
  static Result<Ticket> Parse(const std::string& text);

  friend bool operator==(const Ticket& a, const Ticket& b) {
    return std::tie(a.gate, a.incarnation, a.sequence) ==
           std::tie(b.gate, b.incarnation, b.sequence);
  }
};

/// Issues tickets for actions and admits each of them at most once.
///
/// The store is kept in memory only, because there is no durable storage. A
/// ticket names the incarnation that issued it, and only that incarnation,
/// which keeps a record of the ticket, may run it. When the incarnation has
/// ended, no process runs the ticket again and its outcome is unknown.
///
/// The states of a ticket are issued -> running -> ended, or issued -> ended if
/// it expires before it is used. Has no clock: the current time is a parameter.
class TicketStore {
 public:
  struct Options {
    /// Time after its issue within which a ticket can be used.
    absl::Duration ticket_lifetime = absl::Seconds(60);
    /// Time after its issue for which the record of a ticket is kept.
    absl::Duration outcome_retention = absl::Minutes(10);
    /// Records kept at once; no ticket is issued beyond that.
    size_t max_tickets = 200'000;
  };

  TicketStore(HostId gate, Incarnation incarnation, Options options)
      : gate_(std::move(gate)), incarnation_(incarnation), options_(options) {}

  /// What a ticket was issued for.
  struct Scope {
    EntryName entry;
    std::string key;
    TargetId target;
    ShardId shard;
  };

  /// @return the ticket, or nullopt if the store is full.
  std::optional<Ticket> Issue(Scope scope, absl::Time now);

  /// The caller has to run the action now and then call `End`.
  struct Admitted {
    Scope scope;
  };
  /// The action is already running for an earlier request with the ticket.
  struct Running {};
  /// The final outcome of the ticket; every repeated request gets the same.
  /// `kUnknownTicket` if there is no record of the ticket for this entry and
  /// key.
  struct Ended {
    AttemptOutcome outcome = AttemptOutcome::kDone;
    /// Whether it is proved that the action was not run.
    bool not_run = false;
    std::string result_json;
  };
  using Admission = std::variant<Admitted, Running, Ended>;

  /// Admits the first request with a ticket; repeated requests get its state.
  Admission Begin(const Ticket& ticket, const EntryName& entry,
                  const std::string& key, absl::Time now);

  /// Records the final outcome of an admitted ticket.
  void End(const Ticket& ticket, Ended ended);

  absl::Duration ticket_lifetime() const { return options_.ticket_lifetime; }

 private:
  enum class State { kIssued, kRunning, kEnded };
  struct TicketRecord {
    Scope scope;
    absl::Time issued;
    State state = State::kIssued;
    Ended ended;
    int runs = 0;
  };

  /// Removes records older than `outcome_retention`, except running ones and
  /// those issued after a running one.
  void EvictExpired(absl::Time now);

  const HostId gate_;
  const Incarnation incarnation_;
  const Options options_;
  uint64_t last_sequence_ = 0;
  /// By sequence number, which is the order of issue.
  std::map<uint64_t, TicketRecord> records_;
};

}  // namespace cherrydyke
