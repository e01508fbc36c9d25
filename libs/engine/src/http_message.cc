#include "engine/http_message.h"

#include <algorithm>
#include <array>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
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

std::optional<AbsoluteTarget> ParseAbsoluteTarget(absl::string_view target) {
  constexpr absl::string_view kScheme = "http://";
  if (!absl::StartsWithIgnoreCase(target, kScheme)) return std::nullopt;
  target.remove_prefix(kScheme.size());
  const size_t path = std::min(target.find_first_of("/?#"), target.size());
  const absl::string_view host = target.substr(0, path);
  const absl::string_view rest = target.substr(path);
  // RFC 9110, 4.2: a host is needed, user information is an error.
  if (host.empty() || host.front() == ':') return std::nullopt;
  if (absl::StrContains(host, '@')) return std::nullopt;
  if (!rest.empty() && rest.front() == '#') return std::nullopt;
  const bool has_path = !rest.empty() && rest.front() == '/';
  return AbsoluteTarget{absl::StrCat(host),
                        absl::StrCat(has_path ? "" : "/", rest)};
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
