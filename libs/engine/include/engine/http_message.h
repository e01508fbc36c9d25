#pragma once

#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "absl/strings/string_view.h"

namespace cherrydyke::engine {

/// One header field. The name keeps the spelling in which it was received.
struct HttpHeader {
  std::string name;
  std::string value;

  friend bool operator==(const HttpHeader& a, const HttpHeader& b) {
    return std::tie(a.name, a.value) == std::tie(b.name, b.value);
  }
};

/// The target of a request in absolute form, `http://HOST/PATH?QUERY`.
struct AbsoluteTarget {
  /// With the port, if one is given.
  std::string host;
  /// Path and query, not decoded; begins with a slash.
  std::string target;

  friend bool operator==(const AbsoluteTarget& a, const AbsoluteTarget& b) {
    return std::tie(a.host, a.target) == std::tie(b.host, b.target);
  }
};

/// @return the parts, or nothing if the target is not in absolute form, or not
/// one of an HTTP server without TLS.
std::optional<AbsoluteTarget> ParseAbsoluteTarget(absl::string_view target);

/// A complete request as the server received it.
struct HttpRequest {
  std::string method;
  /// Path and query, not decoded. The host of one in absolute form is in the
  /// `Host` header.
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

/// A complete response, received from a target or to be sent to a caller.
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

/// @return the value of the first header of that name, or null. Names are
/// compared without regard to ASCII case.
const std::string* FindHeader(const std::vector<HttpHeader>& headers,
                              absl::string_view name);

/// @return whether the header is hop-by-hop or describes message framing, so
/// that it must not be forwarded.
bool IsConnectionHeader(absl::string_view name);

}  // namespace cherrydyke::engine
