#include "engine/client_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"
#include "beast_message.h"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/write.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/http/parser.hpp"
#include "boost/beast/http/string_body.hpp"
#include "endpoint.h"
#include "engine/framing_budget.h"
#include "engine/status_code.h"

namespace cherrydyke::engine {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using ResponseParser = http::response_parser<http::string_body>;

/// Buffer size of one read, in bytes; most responses fit.
constexpr size_t kReadBytes = 4096;
/// Largest accepted response header, and framing of a body beside what its
/// chunks need, in bytes.
constexpr uint32_t kMaxResponseHeaderBytes = 64U << 10U;
/// Time after which bytes that the peer's kernel has not acknowledged end the
/// connection, in milliseconds: within the few seconds that partitions last.
constexpr unsigned kTcpUserTimeoutMs = 4000;

/// A response without a length ends when its connection is closed, regardless
/// of its headers.
bool KeepsConnection(const ResponseParser& parser) {
  return parser.get().keep_alive() && !parser.get().need_eof();
}

/// A switch of protocols is expected by requests with an `Upgrade` header only.
bool HasExpectedStatus(const ResponseParser& parser) {
  const auto status =
      StatusCode::FromInt(static_cast<int>(parser.get().result_int()));
  return status && !status->SwitchesProtocols();
}

/// TCP keep-alive: idle time and probe interval in seconds, and number of
/// probes. A connection whose network path has dropped its state is closed
/// within about four seconds.
constexpr int kKeepAliveIdleS = 2;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

}  // namespace

void ConfigureTcp(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleS,
             sizeof(kKeepAliveIdleS));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalS,
             sizeof(kKeepAliveIntervalS));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
             sizeof(kTcpUserTimeoutMs));
}

struct ClientConnection::Socket {
  explicit Socket(asio::io_context& context) : tcp(context) {}

  asio::ip::tcp::socket tcp;
  beast::flat_buffer input;
  std::optional<ResponseParser> parser;
  FramingBudget framing;
  /// Of the response, once its header has been received.
  std::vector<HttpHeader> headers;
};

ClientConnection::ClientConnection(EventLoop& loop, Endpoint endpoint,
                                   ClientOptions options, Observer* observer)
    : loop_(loop),
      endpoint_(std::move(endpoint)),
      options_(std::move(options)),
      observer_(observer),
      socket_(std::make_unique<Socket>(loop.context())) {}

ClientConnection::~ClientConnection() { loop_.Cancel(connect_timer_); }

void ClientConnection::Connect() {
  const auto address = ParseEndpoint(endpoint_);
  if (!address) {
    loop_.Post([self = shared_from_this()] { self->CloseSocket(false); });
    return;
  }
  connect_timer_ =
      loop_.RunAfter(options_.connect_timeout,
                     [self = shared_from_this()] { self->OnConnectTimeout(); });
  socket_->tcp.async_connect(
      *address, [self = shared_from_this()](const error_code& error) {
        if (self->state_ == State::kClosed) return;
        self->loop_.Cancel(self->connect_timer_);
        if (error) return self->CloseSocket(true);
        ConfigureTcp(self->socket_->tcp.native_handle());
        self->state_ = State::kIdle;
        self->last_active_at_ = self->loop_.Now();
        self->Read();
        if (self->observer_ != nullptr) self->observer_->OnOpened(*self);
      });
}

void ClientConnection::OnConnectTimeout() {
  connect_timer_ = loop_.RunAfter(options_.max_connect_lateness,
                                  [self = shared_from_this()] {
                                    self->connect_timer_ = 0;
                                    self->CloseSocket(false);
                                  });
  if (observer_ != nullptr) observer_->OnConnectLate(*this);
}

void ClientConnection::Start(Exchange exchange, std::string bytes) {
  state_ = State::kBusy;
  exchange_ = std::move(exchange);
  ResetParser();
  writing_ = true;
  const auto kept = std::make_shared<const std::string>(std::move(bytes));
  asio::async_write(
      socket_->tcp, asio::buffer(*kept),
      [self = shared_from_this(), kept](const error_code& error, size_t) {
        // A failed write also fails the pending read, which may still deliver
        // a response that the server sent before it had read all the request.
        if (!error) self->writing_ = false;
      });
}

void ClientConnection::ResetParser() {
  socket_->parser.emplace();
  socket_->framing = FramingBudget(kMaxResponseHeaderBytes);
  socket_->parser->header_limit(kMaxResponseHeaderBytes);
  socket_->parser->body_limit(options_.max_body_bytes);
  socket_->parser->skip(exchange_.is_head);
}

void ClientConnection::Read() {
  socket_->tcp.async_read_some(
      socket_->input.prepare(kReadBytes),
      [self = shared_from_this()](const error_code& error, size_t bytes) {
        if (self->state_ == State::kClosed) return;
        if (error) return self->OnReadError(error == asio::error::eof);
        self->socket_->input.commit(bytes);
        self->OnBytes();
        if (self->state_ != State::kClosed) self->Read();
      });
}

void ClientConnection::OnBytes() {
  // Unsolicited bytes cannot be attributed to a request.
  if (state_ != State::kBusy) return CloseSocket(true);
  if (exchange_.on_progress) exchange_.on_progress();
  while (state_ == State::kBusy && ParseResponse(false)) CompleteResponse();
}

bool ClientConnection::ParseResponse(bool at_end) {
  ResponseParser& parser = *socket_->parser;
  error_code error;
  if (at_end) {
    if (!parser.got_some()) return false;
    parser.put_eof(error);
    // A truncated response counts as a lost connection.
    if (error) return false;
  } else {
    while (socket_->input.size() > 0 && !parser.is_done()) {
      // An eager parser loses the error of a body that is too long if more
      // bytes follow the header.
      const bool had_header = parser.is_header_done();
      parser.eager(had_header);
      const size_t body_bytes = parser.get().body().size();
      const size_t used = parser.put(socket_->input.data(), error);
      socket_->input.consume(used);
      if (had_header) {
        socket_->framing.OnParsed(used,
                                  parser.get().body().size() - body_bytes);
      } else if (parser.is_header_done()) {
        // Before trailers are parsed, which the parser adds to the fields.
        socket_->headers = CopyHeaders(parser.get());
      }
      if (error || used == 0) break;
    }
  }
  const bool needs_more = error == http::error::need_more;
  if (needs_more && !parser.is_header_done()) return false;
  if ((error && !needs_more) || !HasExpectedFraming() ||
      (parser.is_header_done() && !HasExpectedStatus(parser))) {
    CloseAndFinish(ExchangeStatus::kMalformed, ReceivedHead(), false);
    return false;
  }
  return parser.is_done();
}

bool ClientConnection::HasExpectedFraming() const {
  const ResponseParser& parser = *socket_->parser;
  if (!parser.is_header_done()) return true;
  const size_t unparsed = parser.is_done() ? 0 : socket_->input.size();
  return !socket_->framing.IsExceeded(unparsed);
}

HttpResponse ClientConnection::ReceivedHead() const {
  HttpResponse head;
  const ResponseParser& parser = *socket_->parser;
  if (!parser.is_header_done()) return head;
  head.status = static_cast<int>(parser.get().result_int());
  head.headers = socket_->headers;
  return head;
}

void ClientConnection::CompleteResponse() {
  ResponseParser& parser = *socket_->parser;
  HttpResponse response;
  response.status = static_cast<int>(parser.get().result_int());
  const bool interim = !StatusCode::FinalFromInt(response.status);
  const bool reusable = KeepsConnection(parser);
  response.headers = std::move(socket_->headers);
  response.body = std::move(parser.get().body());
  const std::string* const id =
      FindHeader(response.headers, options_.id_header);
  if (interim || !IsExpected(id)) return ResetParser();
  UpdateServerIdleTimeout(response);
  last_active_at_ = loop_.Now();
  has_received_response_ = true;
  // If part of the request is still unsent, the server would read the next
  // request as the rest of it.
  if (!reusable || writing_ || socket_->input.size() > 0) {
    return CloseAndFinish(ExchangeStatus::kComplete, std::move(response),
                          false);
  }
  auto done = std::move(exchange_.done);
  exchange_ = {};
  state_ = State::kIdle;
  if (done) done({ExchangeStatus::kComplete, std::move(response)});
  if (state_ == State::kIdle && observer_ != nullptr) observer_->OnIdle(*this);
}

bool ClientConnection::IsExpected(const std::string* id) {
  if (exchange_.expected_id.empty()) return true;
  if (id == nullptr) return !has_echoed_id_;
  if (*id != exchange_.expected_id) return false;
  has_echoed_id_ = true;
  return true;
}

void ClientConnection::UpdateServerIdleTimeout(const HttpResponse& response) {
  const std::string* const header = FindHeader(response.headers, "Keep-Alive");
  if (header == nullptr) return;
  for (absl::string_view part : absl::StrSplit(*header, ',')) {
    part = absl::StripAsciiWhitespace(part);
    int seconds = 0;
    if (absl::ConsumePrefix(&part, "timeout=") &&
        absl::SimpleAtoi(part, &seconds)) {
      server_idle_timeout_ = absl::Seconds(seconds);
    }
  }
}

void ClientConnection::OnReadError(bool is_eof) {
  if (state_ == State::kBusy && is_eof && ParseResponse(true)) {
    CompleteResponse();
  }
  // Also if that response was not the one expected.
  if (state_ == State::kBusy) {
    return CloseAndFinish(ExchangeStatus::kConnectionLost, ReceivedHead(),
                          true);
  }
  CloseSocket(true);
}

void ClientConnection::CloseAndFinish(ExchangeStatus status,
                                      HttpResponse response, bool by_peer) {
  auto done = std::move(exchange_.done);
  exchange_ = {};
  CloseSocket(by_peer);
  if (done) done({status, std::move(response)});
}

void ClientConnection::AbortExchange() {
  if (state_ != State::kBusy) return;
  CloseAndFinish(ExchangeStatus::kAborted, ReceivedHead(), false);
}

void ClientConnection::Close() {
  exchange_ = {};
  CloseSocket(false);
}

void ClientConnection::CloseSocket(bool by_peer) {
  if (state_ == State::kClosed) return;
  const bool was_open = state_ != State::kConnecting;
  state_ = State::kClosed;
  loop_.Cancel(connect_timer_);
  error_code ignored;
  socket_->tcp.close(ignored);
  if (observer_ != nullptr) observer_->OnClosed(*this, was_open, by_peer);
}

}  // namespace cherrydyke::engine
