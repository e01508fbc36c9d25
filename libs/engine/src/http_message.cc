#include "engine/http_message.h"

#include <array>

#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

namespace cherrydyke::engine {

bool EqualHeaderNames(absl::string_view a, absl::string_view b) {
  return absl::EqualsIgnoreCase(a, b);
}

const std::string* FindHeader(const std::vector<HttpHeader>& headers,
                              absl::string_view name) {
  for (const HttpHeader& header : headers) {
    if (EqualHeaderNames(header.name, name)) return &header.value;
  }
  return nullptr;
}

bool IsConnectionHeader(absl::string_view name) {
  static constexpr std::array<absl::string_view, 11> kNames = {
      "Connection",
      "Keep-Alive",
      "Transfer-Encoding",
      "Content-Length",
      "Proxy-Connection",
      "TE",
      "Trailer",
      "Upgrade",
      "Expect",
      "Proxy-Authorization",
      "Proxy-Authenticate"};
  for (const absl::string_view known : kNames) {
    if (EqualHeaderNames(known, name)) return true;
  }
  return false;
}

}  // namespace cherrydyke::engine
