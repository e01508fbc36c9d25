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

namespace cherrydyke::engine {

/// What a caller may send, and how long it may take.
struct ServerLimits {
  uint32_t max_header_bytes = 16U << 10U;
  uint64_t max_body_bytes = 256U << 10U;
  /// From the first byte of a request to the end of its header; a body has the
  /// same time again for each part that arrives.
  absl::Duration header_timeout = absl::Seconds(3);
  /// Longest time without a request on a kept connection.
  absl::Duration idle_timeout = absl::Seconds(15);

  friend bool operator==(const ServerLimits& a, const ServerLimits& b) {
    return std::tie(a.max_header_bytes, a.max_body_bytes, a.header_timeout,
                    a.idle_timeout) ==
           std::tie(b.max_header_bytes, b.max_body_bytes, b.header_timeout,
                    b.idle_timeout);
  }
};

/// How far away a caller is, as its connection tells.
struct CallerConnectionInfo {
  /// Time there and back, as the kernel measured it; zero if it did not.
  absl::Duration round_trip;
  /// Whether the connection was opened for this request, so that the caller has
  /// waited for that as well.
  bool is_new_connection = true;

  friend bool operator==(const CallerConnectionInfo& a,
                         const CallerConnectionInfo& b) {
    return a.round_trip == b.round_trip &&
           a.is_new_connection == b.is_new_connection;
  }
};

/// One request under way and the means to answer it. Kept by whoever serves the
/// request; an exchange dropped without an answer closes the connection.
class ServerExchange {
 public:
  virtual ~ServerExchange() = default;
  virtual const HttpRequest& request() const = 0;
  /// @return when the whole request had been read.
  virtual absl::Time received_at() const = 0;
  virtual CallerConnectionInfo connection_info() const = 0;
  /// Answers; only the first call counts.
  virtual void Respond(HttpResponse response) = 0;
  /// Calls `left` once if the caller goes away before the answer.
  virtual void OnDisconnect(std::function<void()> left) = 0;
};

/// Accepts connections and hands whole requests to a handler. Requests of one
/// connection are answered in order; further ones wait unread.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  /// @param limits read anew for each request, as they may be reconfigured.
  HttpServer(EventLoop& loop, std::function<ServerLimits()> limits,
             Handler handler);
  /// Closes every connection; requests under way get no answer.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to listen.
  Status Listen(const Endpoint& endpoint);

  /// From now on each answer ends its connection.
  void CloseAfterResponses();

  /// Closes connections on which no request is read or under way.
  void CloseIdle();

  /// @return requests read and not yet answered.
  size_t requests_in_flight() const;
  size_t connection_count() const;

  /// Shared between the server and its connections.
  struct State;

 private:
  void Accept();
  void Sweep();

  std::shared_ptr<State> state_;
  TimerScope timers_;
};

}  // namespace cherrydyke::engine
