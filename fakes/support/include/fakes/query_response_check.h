#pragma once

#include <string>

#include "fakes/documents.h"

namespace cherrydyke {

/// Checks an answer to a query over fake targets against what they hold: it
/// must be of one index version, contain each matching document of the ranges
/// that it claims and no other, and state its coverage truly.
///
/// @param body the body of a `200` answer.
/// @return what is wrong, or "".
std::string CheckQueryResponse(const std::string& body,
                               const DocumentQuery& query);

}  // namespace cherrydyke
