#pragma once

#include <string>

#include "absl/time/time.h"
#include "base/result.h"
#include "routing/query_run.h"

namespace cherrydyke {

/// A caller's query.
struct QueryCall {
  EntryName entry;
  /// JSON text, handed to targets as it is.
  std::string query_json;
  /// Zero if the caller sets none.
  absl::Duration timeout;
};

struct TicketCall {
  EntryName entry;
  std::string key;
};

struct ActionCall {
  std::string ticket;
  EntryName entry;
  std::string key;
  std::string payload_json;
};

/// Read a caller's body; the error names the key and what was expected.
Result<QueryCall> ParseQueryCall(const std::string& body);
Result<TicketCall> ParseTicketCall(const std::string& body);
Result<ActionCall> ParseActionCall(const std::string& body);

/// @return the body of a query's answer.
std::string FormatQueryAnswer(const std::string& request_id,
                              const QueryResult& result);

/// @return the body of an issued ticket.
std::string FormatTicket(const std::string& ticket, int64_t expires_in_ms);

/// @return the body of an action that was done.
std::string FormatActionDone(const std::string& request_id,
                             const std::string& result_json);

/// @return the body of a refusal.
/// @param outcome `not_run` or `unknown`.
std::string FormatRefusal(const std::string& request_id,
                          const std::string& outcome, const std::string& reason,
                          const std::string& message,
                          absl::Duration retry_after);

}  // namespace cherrydyke
