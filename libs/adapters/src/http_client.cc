#include "adapters/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "absl/strings/ascii.h"
#include "absl/time/clock.h"
#include "httplib.h"
#include "wire/socket.h"

namespace cherrydyke {
namespace {

constexpr absl::Duration kMinTimeout = absl::Milliseconds(1);
constexpr absl::Duration kMaxConnectTimeout = absl::Seconds(1);

void SetTimeouts(httplib::Client& client, absl::Duration timeout) {
  const absl::Duration wait = std::max(timeout, kMinTimeout);
  const auto seconds = static_cast<time_t>(absl::ToInt64Seconds(wait));
  const auto micros = static_cast<time_t>(
      absl::ToInt64Microseconds(wait - absl::Seconds(seconds)));
  const absl::Duration connect = std::min(wait, kMaxConnectTimeout);
  const auto connect_seconds =
      static_cast<time_t>(absl::ToInt64Seconds(connect));
  client.set_connection_timeout(connect_seconds,
                                static_cast<time_t>(absl::ToInt64Microseconds(
                                    connect - absl::Seconds(connect_seconds))));
  client.set_read_timeout(seconds, micros);
  client.set_write_timeout(seconds, micros);
}

/// The library reads any three digits.
bool IsFinalStatus(int status) { return status >= 200 && status < 600; }

HttpClient::Outcome FromLibrary(const httplib::Result& result,
                                absl::Duration elapsed,
                                absl::Duration timeout) {
  if (result) {
    if (!IsFinalStatus(result->status)) return HttpFailure::kMalformed;
    HttpReply reply{result->status, result->body, {}};
    for (const auto& [name, value] : result->headers) {
      reply.headers[absl::AsciiStrToLower(name)] = value;
    }
    return reply;
  }
  switch (result.error()) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return HttpFailure::kNotConnected;
    default:
      // The library reports a timeout and a closed connection alike, as a
      // failed read; the elapsed time distinguishes them.
      return elapsed + absl::Milliseconds(1) >= timeout
                 ? HttpFailure::kTimeout
                 : HttpFailure::kConnectionLost;
  }
}

}  // namespace

struct HttpClient::Impl {
  Impl(const std::string& host, int port) : client(host, port) {}
  httplib::Client client;
};

HttpClient::HttpClient(const Endpoint& endpoint, const std::string& source)
    : impl_(std::make_unique<Impl>(AddressOf(endpoint), PortOf(endpoint))) {
  impl_->client.set_keep_alive(true);
  impl_->client.set_tcp_nodelay(true);
  // Compressing small bodies between nearby hosts costs more than it saves.
  impl_->client.set_default_headers({{"Accept-Encoding", "identity"}});
  if (!source.empty()) impl_->client.set_interface(source);
}

HttpClient::~HttpClient() = default;

HttpClient::Outcome HttpClient::Get(const std::string& path,
                                    absl::Duration timeout) {
  SetTimeouts(impl_->client, timeout);
  const absl::Time start = absl::Now();
  const httplib::Result result = impl_->client.Get(path);
  return FromLibrary(result, absl::Now() - start, timeout);
}

HttpClient::Outcome HttpClient::Post(const std::string& path,
                                     const std::string& body,
                                     const Headers& headers,
                                     absl::Duration timeout) {
  SetTimeouts(impl_->client, timeout);
  httplib::Headers library_headers;
  for (const auto& [name, value] : headers)
    library_headers.emplace(name, value);
  const absl::Time start = absl::Now();
  const httplib::Result result =
      impl_->client.Post(path, library_headers, body, "application/json");
  return FromLibrary(result, absl::Now() - start, timeout);
}

bool HttpClient::IsOpen() const {
  if (impl_->client.is_socket_open() == 0) return false;
  char byte = 0;
  const ssize_t peeked =
      recv(impl_->client.socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked > 0 || (peeked < 0 && (errno == EAGAIN || errno == EINTR));
}

void HttpClient::Close() { impl_->client.stop(); }

}  // namespace cherrydyke
