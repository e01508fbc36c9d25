#pragma once

#include <functional>
#include <memory>
#include <optional>
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
  /// As `kNotSent`: `Exchange::write` withdrew the request. This says nothing
  /// about the server.
  kWithdrawn,
  /// The connection ended after sending of the request had begun and before a
  /// complete response: the server may have executed the request.
  kConnectionLost,
  /// The server sent bytes that are not a valid HTTP response, or a response
  /// that exceeds the size limits.
  kMalformed,
  /// The exchange was cancelled and did not end within its grace period.
  kAborted,
};

/// Result of one request.
struct ExchangeResult {
  ExchangeStatus status = ExchangeStatus::kNotSent;
  /// The response if `status` is `kComplete`. Otherwise its status code and
  /// headers if they were received in full, and an empty body.
  HttpResponse response;
};

/// One request and the callback for its result.
struct Exchange {
  /// Serializes head and body. Called when the request is sent: it may have
  /// waited for a connection, and the remaining time that it states must be
  /// that at the time of sending. Returns nothing to withdraw a request that
  /// must not be sent any more.
  std::function<std::optional<std::string>()> write;
  /// Whether the response has no body regardless of its headers (HEAD).
  bool is_head = false;
  /// Identifier that the response echoes in `ClientOptions::id_header`. A
  /// response that carries a different one is discarded and the next one is
  /// awaited; so is one without, if the server has echoed an identifier on the
  /// connection before. Not checked if empty.
  std::string expected_id;
  /// Called when bytes of the response arrive; may be null.
  std::function<void()> on_progress;
  std::function<void(ExchangeResult)> done;
};

/// Options of outgoing connections.
struct ClientOptions {
  /// Time after which a connection attempt is late.
  absl::Duration connect_timeout = absl::Seconds(1);
  /// Longest time for which an attempt that is late is kept: on a slow path it
  /// may still succeed.
  absl::Duration max_connect_lateness = absl::Seconds(3);
  /// Largest response body that is accepted, in bytes.
  size_t max_body_bytes = 16U << 20U;
  /// Response header that is compared with `Exchange::expected_id`.
  std::string id_header;
  /// Until this time a new connection carries no request before it has stayed
  /// open for as long as it took to open. A server that has too many
  /// connections closes it within that time, and it would be unknown whether a
  /// request sent on it had been executed.
  absl::Time verify_new_connections_until = absl::InfinitePast();
  /// Longest time for which a pool opens no connection after the server closed
  /// one before any response. Requests fail unsent meanwhile.
  absl::Duration max_connect_backoff = absl::Seconds(2);
};

/// Keep-alive connection to a server that carries one request at a time.
///
/// A read is always pending, so that a close by the server or unsolicited bytes
/// are detected while the connection is idle, before a request is sent on it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  /// Receives the state changes of a connection.
  class Observer {
   public:
    virtual ~Observer() = default;
    /// The connection was established and can take a request.
    virtual void OnOpened(ClientConnection& connection) = 0;
    /// The connection was not established within
    /// `ClientOptions::connect_timeout`, but may still be.
    virtual void OnConnectLate(ClientConnection& connection) = 0;
    /// An exchange has ended and the connection can take the next one.
    virtual void OnIdle(ClientConnection& connection) = 0;
    /// The connection is closed and cannot be used again.
    /// @param was_open whether it had been established.
    /// @param by_peer whether the server caused the close: it refused, closed
    /// or reset the connection, or sent unsolicited bytes.
    virtual void OnClosed(ClientConnection& connection, bool was_open,
                          bool by_peer) = 0;
  };

  ClientConnection(EventLoop& loop, Endpoint endpoint, ClientOptions options,
                   Observer* observer);
  ~ClientConnection();

  void Connect();

  /// Sends a request. Precondition: `IsIdle()`.
  /// @param bytes head and body, as serialized by `exchange.write`.
  void Start(Exchange exchange, std::string bytes);

  /// Closes at once. The `done` of a running exchange is not called.
  void Close();

  /// Closes at once and reports the running exchange as `kAborted`. Has no
  /// effect if no exchange is running.
  void AbortExchange();

  bool IsConnecting() const { return state_ == State::kConnecting; }
  bool IsIdle() const { return state_ == State::kIdle; }
  bool IsOpen() const {
    return state_ == State::kIdle || state_ == State::kBusy;
  }
  /// @return whether a complete response was received on the connection.
  bool has_received_response() const { return has_received_response_; }
  /// @return when the connection was established or, if later, the last
  /// complete response was received.
  absl::Time last_active_at() const { return last_active_at_; }
  /// @return the idle timeout in the server's last `Keep-Alive` header;
  /// infinite if it has sent none.
  absl::Duration server_idle_timeout() const { return server_idle_timeout_; }
  /// Removes the observer; no further state change is reported.
  void Detach() { observer_ = nullptr; }

 private:
  enum class State { kConnecting, kIdle, kBusy, kClosed };
  struct Socket;

  void OnConnectTimeout();
  void Read();
  void OnBytes();
  /// @param is_eof whether the server closed the connection in order.
  void OnReadError(bool is_eof);
  bool ParseResponse(bool at_end);
  /// @return whether chunk extensions and trailers are within their limit.
  bool HasExpectedFraming() const;
  void CompleteResponse();
  /// @param id identifier in the response, or null.
  /// @return whether the response is that to the running exchange.
  bool IsExpected(const std::string* id);
  /// @return status code and headers of the current response if they were
  /// received in full, otherwise an empty response.
  HttpResponse ReceivedHead() const;
  void ResetParser();
  /// Closes the connection, then reports the result of the exchange.
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
  /// Whether a part of the request has not been handed to the kernel yet.
  bool writing_ = false;
  bool has_received_response_ = false;
  bool has_echoed_id_ = false;
  TimerId connect_timer_ = 0;
  absl::Time last_active_at_;
  absl::Duration server_idle_timeout_ = absl::InfiniteDuration();
};

/// Sets the options of a connected TCP socket: no Nagle delay, keep-alive
/// probes, and the time after which unacknowledged bytes end the connection.
void ConfigureTcp(int descriptor);

}  // namespace cherrydyke::engine
