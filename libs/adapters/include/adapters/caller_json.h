#pragma once

#include <string>

#include "absl/time/time.h"
#include "base/result.h"
#include "routing/query_run.h"

namespace cherrydyke {

/// A caller's query.
struct QueryCall {
  EntryName entry;
  /// The query as JSON text, sent to targets as it is.
  std::string query_json;
  /// Zero if the caller sets no timeout.
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

/// Parse the body of a caller's request. The error names the key and the
/// expected value.
Result<QueryCall> ParseQueryCall(const std::string& body);
Result<TicketCall> ParseTicketCall(const std::string& body);
Result<ActionCall> ParseActionCall(const std::string& body);

/// @return the body of the response to a query.
std::string FormatQueryResponse(const std::string& request_id,
                                const QueryResult& result);

/// @return the body of the response to a ticket request.
std::string FormatTicket(const std::string& ticket, int64_t expires_in_ms);

/// @return the body of the response to an action that was executed.
std::string FormatActionResult(const std::string& request_id,
                               const std::string& result_json);

/// @param outcome `not_run` or `unknown`.
/// @return the body of an error response.
std::string FormatRefusal(const std::string& request_id,
                          const std::string& outcome, const std::string& reason,
                          const std::string& message,
                          absl::Duration retry_after);

}  // namespace cherrydyke
