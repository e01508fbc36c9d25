#pragma once

#include <functional>
#include <memory>

#include "base/result.h"
#include "engine/connection_pool.h"

namespace cherrydyke::engine {

/// Makes calls with a time limit to one server over one kept connection, which
/// is dropped when a call is not answered in time.
class AsyncHttpClient {
 public:
  using Done = std::function<void(Result<HttpResponse>)>;

  AsyncHttpClient(EventLoop& loop, Endpoint endpoint,
                  absl::Duration connect_timeout);

  /// Calls `GET target`.
  /// @param done gets the response of any status, `kTimeout`, or
  /// `kUnavailable` if the connection failed.
  void Get(const std::string& target, absl::Duration timeout, Done done);

 private:
  EventLoop& loop_;
  TimerScope timers_{loop_};
  const Endpoint endpoint_;
  ConnectionPool pool_;
};

}  // namespace cherrydyke::engine
