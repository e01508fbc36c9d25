#pragma once

#include <string>

#include "nlohmann/json.hpp"

namespace cherrydyke {

/// Formats spans as an indented tree with the start (relative to the first root
/// span) and the duration of each span in milliseconds. Spans of one parent are
/// ordered by their start.
///
/// @param spans a JSON array of spans as `/v1/spans` returns them.
std::string SpanTree(const nlohmann::json& spans);

}  // namespace cherrydyke
