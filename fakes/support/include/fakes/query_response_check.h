#pragma once

#include <string>

#include "fakes/documents.h"

namespace cherrydyke {

/// Checks the response to a query over fake targets against their documents. It
/// must have a single index version, contain exactly the matching documents
/// outside the ranges that it reports as missing, and report consistent
/// coverage.
///
/// @param body the body of a response with status 200.
/// @return a description of the first error, or "".
std::string CheckQueryResponse(const std::string& body,
                               const DocumentQuery& query);

}  // namespace cherrydyke
