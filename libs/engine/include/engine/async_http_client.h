#pragma once

#include <functional>
#include <memory>

#include "base/result.h"
#include "engine/connection_pool.h"

namespace cherrydyke::engine {

/// Asynchronous HTTP client of one server with a timeout for each request.
/// Reuses keep-alive connections and closes the connection of a request that
/// times out.
class AsyncHttpClient {
 public:
  using Done = std::function<void(Result<HttpResponse>)>;

  AsyncHttpClient(EventLoop& loop, Endpoint endpoint,
                  absl::Duration connect_timeout);

  /// Sends `GET target`.
  /// @param done receives the response, whatever its status code; `kTimeout` if
  /// it is not complete within `timeout`; or `kUnavailable` if the connection
  /// failed or the response was malformed.
  void Get(const std::string& target, absl::Duration timeout, Done done);

 private:
  EventLoop& loop_;
  TimerScope timers_{loop_};
  const Endpoint endpoint_;
  ConnectionPool pool_;
};

}  // namespace cherrydyke::engine
