#pragma once

#include <utility>
#include <vector>

#include "boost/beast/http/fields.hpp"
#include "engine/http_message.h"

namespace cherrydyke::engine {

/// @return a copy of the header fields, in order.
inline std::vector<HttpHeader> CopyHeaders(
    const boost::beast::http::fields& fields) {
  std::vector<HttpHeader> headers;
  headers.reserve(8);
  for (const auto& field : fields) {
    headers.push_back(
        {field.name_string().to_string(), field.value().to_string()});
  }
  return headers;
}

}  // namespace cherrydyke::engine
