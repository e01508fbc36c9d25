#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "base/ids.h"
#include "engine/event_loop.h"
#include "engine/http_message.h"

namespace cherrydyke::engine {

/// How an exchange with a server ended.
enum class ExchangeStatus {
  /// A complete response was read.
  kComplete,
  /// No byte of the request was sent.
  kNotSent,
  /// The connection ended after the request was sent and before a complete
  /// response: the request may have run.
  kConnectionLost,
  /// The server sent something that is no HTTP response.
  kMalformed,
  /// It was cancelled and did not end within its grace.
  kAborted,
};

/// What came of one request.
struct ExchangeResult {
  ExchangeStatus status = ExchangeStatus::kNotSent;
  /// Unless the response is complete, its status and headers if they came
  /// whole, and no body.
  HttpResponse response;
};

/// One request and what happens with its result.
struct Exchange {
  /// Makes head and body when they are sent, not before: a request may wait
  /// for a connection, and what it states of the time left must be true then.
  std::function<std::string()> write;
  /// Whether the response has no body whatever its headers say.
  bool is_head = false;
  /// Identifier that the response echoes; a response that echoes another one
  /// is dropped and the next is awaited.
  std::string expected_id;
  std::function<void(ExchangeResult)> done;
};

/// Settings of connections that this process opens.
struct ClientOptions {
  absl::Duration connect_timeout = absl::Seconds(1);
  /// Largest response body that is kept, in bytes.
  size_t max_body_bytes = 16U << 20U;
  /// Header that carries the identifier checked against `expected_id`.
  std::string id_header;
  /// Until then new connections carry nothing before they have been open for
  /// the time that they took to open: a server with too many ends them by then,
  /// and what was sent on one might have run.
  absl::Time verify_new_connections_until = absl::InfinitePast();
};

/// One kept connection to a server; it carries one request at a time.
///
/// A read is always pending, so that a close or stray bytes are seen while the
/// connection is idle, before a request is trusted to it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  /// Told of the state changes that a pool needs.
  class Observer {
   public:
    virtual ~Observer() = default;
    /// The connection was established and is free for a request.
    virtual void OnOpened(ClientConnection& connection) = 0;
    /// An exchange has ended and the connection is free for the next one.
    virtual void OnIdle(ClientConnection& connection) = 0;
    /// The connection is closed and will not be used again.
    /// @param was_open whether it had been established.
    /// @param by_peer whether the other end closed or reset it.
    virtual void OnClosed(ClientConnection& connection, bool was_open,
                          bool by_peer) = 0;
  };

  ClientConnection(EventLoop& loop, Endpoint endpoint, ClientOptions options,
                   Observer* observer);
  ~ClientConnection();

  void Connect();

  /// Sends a request. Precondition: `IsIdle()`.
  void Start(Exchange exchange);

  /// Closes at once; a running exchange's `done` is not called.
  void Close();

  /// Closes at once and reports the running exchange as broken off.
  void AbortExchange();

  bool IsIdle() const { return state_ == State::kIdle; }
  bool IsOpen() const {
    return state_ == State::kIdle || state_ == State::kBusy;
  }
  /// @return whether it has carried an answer.
  bool has_received_response() const { return has_received_response_; }
  /// @return when the connection was opened or last answered.
  absl::Time last_active_at() const { return last_active_at_; }
  /// @return how long the server keeps an idle connection, if it said so.
  absl::Duration server_idle_timeout() const { return server_idle_timeout_; }
  /// The owner is going away; nothing more is reported.
  void Detach() { observer_ = nullptr; }

 private:
  enum class State { kConnecting, kIdle, kBusy, kClosed };
  struct Socket;

  void Read();
  void OnBytes();
  void OnReadError(bool clean);
  bool ParseResponse(bool at_end);
  void CompleteResponse();
  /// @return status and headers of a response under way, if they are whole.
  HttpResponse ReceivedHead() const;
  void ResetParser();
  /// Closes the connection, then reports the exchange.
  void CloseAndFinish(ExchangeStatus status, HttpResponse response,
                      bool by_peer);
  void CloseSocket(bool by_peer);
  void UpdateServerIdleTimeout(const HttpResponse& response);

  EventLoop& loop_;
  const Endpoint endpoint_;
  const ClientOptions options_;
  Observer* observer_;
  std::unique_ptr<Socket> socket_;
  State state_ = State::kConnecting;
  Exchange exchange_;
  /// Whether a part of a request is not yet handed to the kernel.
  bool writing_ = false;
  bool has_received_response_ = false;
  TimerId connect_timer_ = 0;
  absl::Time last_active_at_;
  absl::Duration server_idle_timeout_ = absl::InfiniteDuration();
};

/// Turns off coalescing and sets the time after which unconfirmed bytes break
/// the connection, on a TCP socket's descriptor.
void ConfigureTcp(int descriptor);

}  // namespace cherrydyke::engine
