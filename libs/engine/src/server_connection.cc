#include "server_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <iterator>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "beast_message.h"
#include "boost/asio/write.hpp"
#include "engine/client_connection.h"
#include "engine/status_code.h"

namespace cherrydyke::engine {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Bytes of pipelined requests that are buffered until the response to the one
/// before them is written; beyond that, reading pauses.
constexpr size_t kMaxPipelinedBytes = 32U << 10U;
/// Longest time that a caller may take to read a response.
constexpr absl::Duration kWriteTimeout = absl::Seconds(20);
constexpr int kStatusServiceUnavailable = 503;
/// Of a connection beside what it has received and sends.
constexpr size_t kConnectionBytes = 8U << 10U;
/// Of a header's field beside its text, parsed and copied.
constexpr size_t kFieldBytes = 256;
/// Copies of a running request: its own, and those that are being sent.
constexpr size_t kRequestCopies = 3;
/// Instead of a response whose status no caller could read; it does not deny
/// that the request ran.
constexpr int kStatusBadGateway = 502;
/// Time for a caller to read the last response of a connection and to close it.
constexpr absl::Duration kLingerTimeout = absl::Seconds(1);

// @return the round-trip time measured by the kernel, zero if unknown.
absl::Duration RoundTripOf(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return absl::ZeroDuration();
  }
  return absl::Microseconds(info.tcpi_rtt);
}

absl::string_view StringViewOf(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

bool IsOriginForm(boost::beast::string_view target) {
  return !target.empty() && target.front() == '/';
}

// RFC 9112, 3.2.2: the host of a target in absolute form replaces the one in
// the header.
void UseOriginForm(HttpRequest& request) {
  std::optional<AbsoluteTarget> absolute = ParseAbsoluteTarget(request.target);
  if (!absolute) return;
  request.target = std::move(absolute->target);
  for (HttpHeader& header : request.headers) {
    if (EqualHeaderNames(header.name, "Host")) {
      header.value = std::move(absolute->host);
      return;
    }
  }
}

std::string Serialize(const HttpResponse& response, bool is_head, bool keep) {
  const auto status = StatusCode::FinalFromInt(response.status);
  if (!status) {
    HttpResponse replacement;
    replacement.status = kStatusBadGateway;
    return Serialize(replacement, is_head, keep);
  }
  std::string bytes;
  bytes.reserve(256 + response.body.size());
  absl::StrAppend(&bytes, "HTTP/1.1 ", status->ToString(), "\r\n");
  for (const HttpHeader& header : response.headers) {
    absl::StrAppend(&bytes, header.name, ": ", header.value, "\r\n");
  }
  const bool bodiless = response.status == 204 || response.status == 304;
  if (!bodiless) {
    absl::StrAppend(&bytes, "Content-Length: ", response.body.size(), "\r\n");
  }
  if (!keep) bytes += "Connection: close\r\n";
  bytes += "\r\n";
  if (!is_head && !bodiless) bytes += response.body;
  return bytes;
}

}  // namespace

/// One request of a connection, which may carry others by the time at which
/// the handler looks at it again.
class ServerConnection::Exchange : public ServerExchange {
 public:
  /// @param number of the request on its connection.
  Exchange(std::shared_ptr<ServerConnection> connection, uint64_t number,
           HttpRequest request)
      : connection_(std::move(connection)),
        number_(number),
        request_(std::move(request)),
        received_at_(connection_->state_->loop.Now()),
        connection_info_(connection_->connection_info_) {}

  uint64_t number() const { return number_; }
  const HttpRequest& request() const override { return request_; }
  absl::Time received_at() const override { return received_at_; }
  CallerConnectionInfo connection_info() const override {
    return connection_info_;
  }
  void Respond(HttpResponse response) override {
    connection_->Respond(*this, response);
  }
  void OnDisconnect(std::function<void()> callback) override {
    connection_->OnDisconnect(*this, std::move(callback));
  }

 private:
  const std::shared_ptr<ServerConnection> connection_;
  const uint64_t number_;
  const HttpRequest request_;
  const absl::Time received_at_;
  const CallerConnectionInfo connection_info_;
};

ServerConnection::ServerConnection(std::shared_ptr<HttpServer::State> state,
                                   asio::ip::tcp::socket socket)
    : state_(std::move(state)),
      socket_(std::move(socket)),
      limits_(state_->limits()) {}

ServerConnection::~ServerConnection() { LeaveGroup(); }

void ServerConnection::Start() {
  ConfigureTcp(socket_.native_handle());
  error_code ignored;
  const auto peer = socket_.remote_endpoint(ignored);
  peer_ = absl::StrCat(peer.address().to_string(), ":", peer.port());
  connection_info_.round_trip = RoundTripOf(socket_.native_handle());
  deadline_ = state_->loop.Now() + limits_.idle_timeout;
  if (state_->group != nullptr) group_id_ = state_->group->Add(*this);
  SetPhase(Phase::kIdle);
  ReportHeld();
  Read();
}

void ServerConnection::SetPhase(Phase phase) {
  phase_ = phase;
  phase_began_at_ = state_->loop.Now();
}

HeldConnection ServerConnection::Held() const {
  using Stage = HeldConnection::Stage;
  HeldConnection held;
  held.id = group_id_;
  held.since = phase_began_at_;
  held.bytes = kConnectionBytes + input_.capacity();
  if (IsReadingPaused()) {
    held.bytes += static_cast<size_t>(state_->receive_buffer_bytes);
  }
  switch (phase_) {
    case Phase::kIdle:
    case Phase::kClosed:
      break;
    case Phase::kReading:
      held.stage = Stage::kReceiving;
      held.bytes += header_bytes_ + parser_->get().body().capacity();
      break;
    case Phase::kRunning:
      held.stage = Stage::kRunning;
      held.bytes += kRequestCopies * (header_bytes_ + body_bytes_);
      break;
    case Phase::kWriting:
      held.stage = Stage::kSending;
      held.bytes += header_bytes_ + body_bytes_ + response_bytes_;
      break;
  }
  return held;
}

void ServerConnection::ReportHeld() {
  if (group_id_ != 0 && phase_ != Phase::kClosed) {
    state_->group->Update(Held());
  }
}

void ServerConnection::ReportLimited(CallerLimit limit) const {
  if (group_id_ != 0) state_->group->Report({limit, peer_, Held()});
}

void ServerConnection::LeaveGroup() {
  if (const uint64_t id = std::exchange(group_id_, 0); id != 0) {
    state_->group->Remove(id);
  }
}

void ServerConnection::EndForLimit(CallerLimit limit) {
  ReportLimited(limit);
  if (phase_ != Phase::kReading || limit != CallerLimit::kMemory) {
    return Close();
  }
  if (state_->overload_refusal) {
    return RespondAndClose(state_->overload_refusal());
  }
  Reject(kStatusServiceUnavailable);
}

void ServerConnection::StartParser() {
  limits_ = state_->limits();
  parser_.emplace();
  framing_ = FramingBudget(limits_.max_header_bytes);
  parser_->header_limit(limits_.max_header_bytes);
  parser_->body_limit(limits_.max_body_bytes);
}

void ServerConnection::Read() {
  if (reading_ || peer_closed_ || phase_ == Phase::kClosed) return;
  if (IsReadingPaused()) return;
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](const error_code& error, size_t bytes) {
        self->reading_ = false;
        if (self->phase_ == Phase::kClosed) return;
        if (error == asio::error::operation_aborted) {
          return self->OnReadCancelled();
        }
        if (error) return self->OnPeerClosed();
        self->closing_when_quiet_ = false;
        self->input_.commit(
            asio::buffer_copy(self->input_.prepare(bytes),
                              asio::buffer(self->read_buffer_, bytes)));
        if (self->phase_ == Phase::kIdle || self->phase_ == Phase::kReading) {
          self->OnBytes();
        } else if (self->lingering_) {
          self->input_.consume(self->input_.size());
        }
        self->ReportHeld();
        self->Read();
      });
}

bool ServerConnection::IsReadingPaused() const {
  const bool has_response_ahead =
      phase_ == Phase::kRunning || (phase_ == Phase::kWriting && !lingering_);
  return has_response_ahead && input_.size() >= kMaxPipelinedBytes;
}

void ServerConnection::OnBytes() {
  if (input_.size() == 0) return;
  if (phase_ == Phase::kIdle) {
    StartParser();
    deadline_ = state_->loop.Now() + limits_.header_timeout;
    SetPhase(Phase::kReading);
  }
  const bool had_header = parser_->is_header_done();
  if (!had_header && !ParseHeader()) return;
  if (!ParseBody()) return;
  if (parser_->is_done()) return Dispatch();
  if (!had_header && parser_->is_header_done()) SendContinue();
}

bool ServerConnection::ParseHeader() {
  error_code error;
  const size_t used = parser_->put(input_.data(), error);
  input_.consume(used);
  if (!CheckParsed(error)) return false;
  if (!parser_->is_header_done()) return true;
  const auto& fields = parser_->get();
  header_bytes_ = used + kFieldBytes * static_cast<size_t>(std::distance(
                                           fields.begin(), fields.end()));
  if (!IsValidRequest()) {
    Reject(400);
    return false;
  }
  // Before trailers are parsed, which the parser adds to the fields.
  headers_ = CopyHeaders(fields);
  deadline_ = state_->loop.Now() + limits_.header_timeout;
  return true;
}

bool ServerConnection::ParseBody() {
  if (!parser_->is_header_done()) return true;
  parser_->eager(true);
  error_code error;
  const std::string& body = parser_->get().body();
  while (input_.size() > 0 && !parser_->is_done()) {
    const size_t body_bytes = body.size();
    const size_t used = parser_->put(input_.data(), error);
    input_.consume(used);
    framing_.OnParsed(used, body.size() - body_bytes);
    if (body.size() > body_bytes) {
      deadline_ = state_->loop.Now() + limits_.header_timeout;
    }
    if (error || used == 0) break;
  }
  if (!CheckParsed(error)) return false;
  if (!framing_.IsExceeded(parser_->is_done() ? 0 : input_.size())) return true;
  ReportLimited(CallerLimit::kFraming);
  RejectAsTooLarge(431);
  return false;
}

bool ServerConnection::CheckParsed(const error_code& error) {
  if (!error || error == http::error::need_more) return true;
  if (error == http::error::header_limit) {
    RejectAsTooLarge(431);
  } else if (error == http::error::body_limit) {
    RejectAsTooLarge(413);
  } else {
    Reject(400);
  }
  return false;
}

bool ServerConnection::IsValidRequest() const {
  const auto& message = parser_->get();
  if (!IsOriginForm(message.target()) &&
      !ParseAbsoluteTarget(StringViewOf(message.target()))) {
    return false;
  }
  if (message.count(http::field::host) != 1) return false;
  // Prevents request smuggling: a peer that interprets other codings or two
  // lengths differently could see a second request inside this one.
  const auto coding = message.count(http::field::transfer_encoding);
  if (coding > 1 || message.count(http::field::content_length) > 1) {
    return false;
  }
  if (coding == 1) {
    const std::string value =
        message[http::field::transfer_encoding].to_string();
    return message.count(http::field::content_length) == 0 &&
           absl::EqualsIgnoreCase(value, "chunked");
  }
  return true;
}

void ServerConnection::SendContinue() {
  if (parser_->get().count(http::field::expect) == 0) return;
  static constexpr absl::string_view kContinue =
      "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(socket_, asio::buffer(kContinue.data(), kContinue.size()),
                    [self = shared_from_this()](const error_code&, size_t) {});
}

void ServerConnection::Dispatch() {
  auto& message = parser_->get();
  keep_alive_ = message.keep_alive();
  HttpRequest request;
  request.method = message.method_string().to_string();
  request.target = message.target().to_string();
  request.headers = std::move(headers_);
  request.body = std::move(message.body());
  request.peer = peer_;
  parser_.reset();
  UseOriginForm(request);
  body_bytes_ = request.body.capacity();
  SetPhase(Phase::kRunning);
  ReportHeld();
  responded_ = false;
  ++state_->requests_in_flight;
  state_->handler(std::make_shared<Exchange>(
      shared_from_this(), ++request_number_, std::move(request)));
}

bool ServerConnection::IsRunning(uint64_t request_number) const {
  return request_number == request_number_ && phase_ == Phase::kRunning &&
         !responded_;
}

void ServerConnection::OnDisconnect(const Exchange& exchange,
                                    std::function<void()> callback) {
  if (IsRunning(exchange.number())) on_disconnect_ = std::move(callback);
}

void ServerConnection::Respond(const Exchange& exchange,
                               const HttpResponse& response) {
  if (!IsRunning(exchange.number())) return;
  responded_ = true;
  on_disconnect_ = nullptr;
  --state_->requests_in_flight;
  const bool keep =
      keep_alive_ && !state_->close_after_response && !peer_closed_;
  const bool is_head = exchange.request().method == "HEAD";
  Write(std::make_shared<std::string>(Serialize(response, is_head, keep)),
        keep);
}

void ServerConnection::Reject(int status) {
  HttpResponse response;
  response.status = status;
  RespondAndClose(response);
}

void ServerConnection::RejectAsTooLarge(int status) {
  if (!limits_.are_provisional || !state_->provisional_refusal) {
    return Reject(status);
  }
  RespondAndClose(state_->provisional_refusal());
}

void ServerConnection::RespondAndClose(const HttpResponse& response) {
  DropInput();
  Write(std::make_shared<std::string>(Serialize(response, false, false)),
        false);
}

void ServerConnection::DropInput() {
  parser_.reset();
  headers_ = {};
  input_.consume(input_.size());
  input_.shrink_to_fit();
}

void ServerConnection::Write(const std::shared_ptr<std::string>& bytes,
                             bool keep) {
  SetPhase(Phase::kWriting);
  response_bytes_ = bytes->size();
  ReportHeld();
  deadline_ = state_->loop.Now() + kWriteTimeout;
  asio::async_write(socket_, asio::buffer(*bytes),
                    [self = shared_from_this(), bytes, keep](
                        const error_code& error, size_t) {
                      if (self->phase_ == Phase::kClosed) return;
                      if (error) return self->Close();
                      self->OnWritten(keep);
                    });
}

void ServerConnection::OnWritten(bool keep) {
  if (!keep) {
    // Closing with unread bytes would reset the connection, which can discard
    // the response in transit.
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (peer_closed_) return Close();
    lingering_ = true;
    deadline_ = state_->loop.Now() + kLingerTimeout;
    input_.consume(input_.size());
    return Read();
  }
  SetPhase(Phase::kIdle);
  connection_info_.is_new_connection = false;
  header_bytes_ = 0;
  body_bytes_ = 0;
  response_bytes_ = 0;
  if (input_.size() == 0) input_.shrink_to_fit();
  deadline_ = state_->loop.Now() + state_->limits().idle_timeout;
  OnBytes();
  ReportHeld();
  Read();
}

void ServerConnection::OnPeerClosed() {
  peer_closed_ = true;
  if (phase_ == Phase::kRunning) {
    if (auto callback = std::move(on_disconnect_)) callback();
    if (phase_ == Phase::kRunning) {
      --state_->requests_in_flight;
      responded_ = true;
    }
    return Close();
  }
  // Also discards a response that is still being written.
  Close();
}

void ServerConnection::CheckTimeout(absl::Time now) {
  if (phase_ == Phase::kRunning || phase_ == Phase::kClosed) return;
  if (now < deadline_) return;
  if (phase_ == Phase::kReading) return Reject(408);
  if (phase_ == Phase::kIdle) return CloseIfIdle();
  if (!lingering_) ReportLimited(CallerLimit::kUnreadResponse);
  Close();
}

bool ServerConnection::IsBusy() const {
  if (phase_ != Phase::kIdle) return phase_ != Phase::kClosed;
  error_code error;
  return socket_.available(error) > 0 && !error;
}

void ServerConnection::CloseIfIdle() {
  // Closing with unread bytes would reset the connection.
  if (phase_ != Phase::kIdle || IsBusy()) return;
  if (!reading_) return Close();
  // A request may have been read whose handler waits in the loop; cancelling
  // does not affect it. Otherwise `OnReadCancelled` closes the connection.
  closing_when_quiet_ = true;
  error_code ignored;
  socket_.cancel(ignored);
}

void ServerConnection::OnReadCancelled() {
  if (std::exchange(closing_when_quiet_, false)) {
    if (phase_ == Phase::kIdle && !IsBusy()) return Close();
  }
  Read();
}

void ServerConnection::Close() {
  // The handler of a running request holds it until its end.
  if (phase_ != Phase::kRunning) LeaveGroup();
  phase_ = Phase::kClosed;
  on_disconnect_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace cherrydyke::engine
