#include "actions/ticket_store.h"

#include <cstdlib>
#include <vector>

#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "base/invariant.h"

namespace cherrydyke {
namespace {

constexpr size_t kHexDigits = 16;

bool ParseHex(const std::string& text, uint64_t& value) {
  if (text.size() != kHexDigits ||
      text.find_first_not_of("0123456789abcdef") != std::string::npos) {
    return false;
  }
  value = std::strtoull(text.c_str(), nullptr, 16);
  return true;
}

}  // namespace

std::string Ticket::ToString() const {
  return gate + "." + ToHex(incarnation) + "." + ToHex(sequence);
}

Result<Ticket> Ticket::Parse(const std::string& text) {
  const Error error{ErrorCode::kInvalidInput,
                    "ticket: expected HOST.INCARNATION.SEQUENCE"};
  const size_t second = text.rfind('.');
  if (second == std::string::npos || second == 0) return error;
  const size_t first = text.rfind('.', second - 1);
  if (first == std::string::npos || first == 0) return error;
  Ticket ticket;
  ticket.gate = text.substr(0, first);
  if (!ParseHex(text.substr(first + 1, second - first - 1),
                ticket.incarnation) ||
      !ParseHex(text.substr(second + 1), ticket.sequence)) {
    return error;
  }
  return ticket;
}

std::optional<Ticket> TicketStore::Issue(Scope scope, absl::Time now) {
  EvictExpired(now);
  if (records_.size() >= options_.max_tickets) return std::nullopt;
  const uint64_t sequence = ++last_sequence_;
  TicketRecord& record = records_[sequence];
  record.scope = std::move(scope);
  record.issued = now;
  return Ticket{gate_, incarnation_, sequence};
}

TicketStore::Admission TicketStore::Begin(const Ticket& ticket,
                                          const EntryName& entry,
                                          const std::string& key,
                                          absl::Time now) {
  EvictExpired(now);
  // Another incarnation, or this one before it evicted the record, may have run
  // the ticket: `not_run` cannot be claimed.
  const Ended unknown{AttemptOutcome::kUnknownTicket, false, ""};
  if (ticket.incarnation != incarnation_) return unknown;
  const auto found = records_.find(ticket.sequence);
  if (found == records_.end()) return unknown;
  TicketRecord& record = found->second;
  if (record.scope.entry != entry || record.scope.key != key) return unknown;
  if (record.state == State::kRunning) return Running{};
  if (record.state == State::kEnded) return record.ended;
  if (now - record.issued > options_.ticket_lifetime) {
    record.state = State::kEnded;
    record.ended = {AttemptOutcome::kTicketExpired, true, ""};
    return record.ended;
  }
  record.state = State::kRunning;
  ++record.runs;
  CHERRYDYKE_INVARIANT(record.runs == 1, "a ticket runs at most once");
  return Admitted{record.scope};
}

void TicketStore::End(const Ticket& ticket, Ended ended) {
  const auto found = records_.find(ticket.sequence);
  if (found == records_.end()) return;
  TicketRecord& record = found->second;
  CHERRYDYKE_INVARIANT(record.state == State::kRunning,
                       "a ticket ends only while it is running");
  record.state = State::kEnded;
  record.ended = std::move(ended);
}

void TicketStore::EvictExpired(absl::Time now) {
  while (!records_.empty()) {
    const auto oldest = records_.begin();
    const bool expired =
        now - oldest->second.issued > options_.outcome_retention;
    if (!expired || oldest->second.state == State::kRunning) return;
    records_.erase(oldest);
  }
}

}  // namespace cherrydyke
