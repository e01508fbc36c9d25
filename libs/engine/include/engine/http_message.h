#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "absl/strings/string_view.h"

namespace cherrydyke::engine {

/// One header field, its name spelled as it was received.
struct HttpHeader {
  std::string name;
  std::string value;

  friend bool operator==(const HttpHeader& a, const HttpHeader& b) {
    return std::tie(a.name, a.value) == std::tie(b.name, b.value);
  }
};

/// A whole request as the server read it.
struct HttpRequest {
  std::string method;
  /// Path and query, unchanged.
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  /// `IP:PORT` of the caller.
  std::string peer;

  friend bool operator==(const HttpRequest& a, const HttpRequest& b) {
    return std::tie(a.method, a.target, a.headers, a.body) ==
           std::tie(b.method, b.target, b.headers, b.body);
  }
};

/// A whole response, as read from a target or to be sent to a caller.
struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  friend bool operator==(const HttpResponse& a, const HttpResponse& b) {
    return std::tie(a.status, a.headers, a.body) ==
           std::tie(b.status, b.headers, b.body);
  }
};

/// @return whether two header names are equal, ignoring ASCII case.
bool EqualHeaderNames(absl::string_view a, absl::string_view b);

/// @return the first value of the named header, or null.
const std::string* FindHeader(const std::vector<HttpHeader>& headers,
                              absl::string_view name);

/// @return whether the header concerns one connection only and must not be
/// forwarded, message framing included.
bool IsConnectionHeader(absl::string_view name);

}  // namespace cherrydyke::engine
