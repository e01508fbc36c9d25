#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"
#include "engine/event_loop.h"
#include "engine/http_message.h"
#include "engine/server_group.h"

namespace cherrydyke::engine {

/// Limits on the size and duration of requests and connections.
struct ServerLimits {
  /// Of a request's header, and of the framing of its body: extensions of all
  /// chunks and trailers together.
  uint32_t max_header_bytes = 16U << 10U;
  uint64_t max_body_bytes = 256U << 10U;
  /// Longest time from the first byte of a request to the end of its header,
  /// then between successive parts of its body, and to the end of its trailers.
  absl::Duration header_timeout = absl::Seconds(3);
  /// Longest time without a request on a keep-alive connection.
  absl::Duration idle_timeout = absl::Seconds(15);
  /// Whether these limits only protect the process while the ones that callers
  /// keep to are not known: see `HttpServer::SetProvisionalRefusal`.
  bool are_provisional = false;

  friend bool operator==(const ServerLimits& a, const ServerLimits& b) {
    return std::tie(a.max_header_bytes, a.max_body_bytes, a.header_timeout,
                    a.idle_timeout, a.are_provisional) ==
           std::tie(b.max_header_bytes, b.max_body_bytes, b.header_timeout,
                    b.idle_timeout, b.are_provisional);
  }
};

/// Properties of the connection on which a caller sent a request.
struct CallerConnectionInfo {
  /// TCP round-trip time measured by the kernel when the connection was
  /// accepted; zero if unknown.
  absl::Duration round_trip;
  /// Whether this is the first request of the connection, so that the caller
  /// has also waited for the connection to open.
  bool is_new_connection = true;

  friend bool operator==(const CallerConnectionInfo& a,
                         const CallerConnectionInfo& b) {
    return a.round_trip == b.round_trip &&
           a.is_new_connection == b.is_new_connection;
  }
};

/// A received request and the means to respond to it. The handler keeps it
/// until it responds.
///
/// It is that of one request: while it is held, its request, time and
/// connection's properties stay what they were when the request was received,
/// and its calls never concern a later request on the same connection.
class ServerExchange {
 public:
  virtual ~ServerExchange() = default;
  virtual const HttpRequest& request() const = 0;
  /// @return when the request had been read completely.
  virtual absl::Time received_at() const = 0;
  virtual CallerConnectionInfo connection_info() const = 0;
  /// Sends the response. Further calls have no effect.
  virtual void Respond(HttpResponse response) = 0;
  /// Sets a callback that is called once if the caller closes the connection
  /// before the response. Has no effect after it.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
};

/// Accepts connections and passes complete requests to a handler. A connection
/// has one request in flight; pipelined ones are handled after it, in order.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  /// @param limits called for each request, since limits are reconfigurable.
  /// @param group shares a budget for connections; null for none.
  HttpServer(EventLoop& loop, std::function<ServerLimits()> limits,
             Handler handler, ServerGroup* group = nullptr);
  /// Closes all connections; requests in flight get no response.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to listen.
  /// @return `kInvalidInput` if the endpoint is malformed, `kUnavailable` if
  /// the server cannot listen there.
  Status Listen(const Endpoint& endpoint);

  /// Sets what makes the response to a request that exceeds provisional limits.
  /// It is not read to its end; callers must not take it for too large, which
  /// 431 and 413 would say.
  void SetProvisionalRefusal(std::function<HttpResponse()> refusal);

  /// Sets what makes the response to a request that is not read to its end, as
  /// the group's connections hold too much: by default one with status 503.
  void SetOverloadRefusal(std::function<HttpResponse()> refusal);

  /// Makes the server close each connection after its next response.
  void CloseAfterResponses();

  /// Closes connections on which no request is being read or handled. One whose
  /// next request has arrived but was not read yet stays open.
  void CloseIdle();

  /// Stops listening: new connections are refused. Those that wait to be
  /// accepted are.
  void StopAccepting();

  /// @return requests that were read and have no response yet.
  size_t requests_in_flight() const;
  size_t connection_count() const;
  /// @return connections on which a request is being read or handled, or whose
  /// response is being written or read by the caller.
  size_t busy_connections() const;

  /// State shared between the server and its connections.
  struct State;

 private:
  void Accept();
  /// Applies time limits to all connections and removes closed ones.
  void Sweep();

  std::shared_ptr<State> state_;
  TimerScope timers_;
};

}  // namespace cherrydyke::engine
