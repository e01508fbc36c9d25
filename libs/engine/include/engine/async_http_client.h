#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/result.h"
#include "engine/connection_pool.h"

namespace cherrydyke::engine {

/// Time limits of a request. The time that a response takes depends on its size
/// and on the link, so a response that goes on arriving is given more time than
/// one that does not arrive.
struct ResponseTimeouts {
  /// Longest time until the first byte of the response.
  absl::Duration first_byte;
  /// Longest time between two parts of the response.
  absl::Duration stall;
  /// Longest time from the first byte to the end of the response.
  absl::Duration receive;
};

/// The time limit that ended a call.
enum class CallLimit { kNone, kConnect, kFirstByte, kStall, kReceive };

/// How a call went.
struct CallReport {
  CallLimit limit = CallLimit::kNone;
  /// Time from the begin of the call to its end.
  absl::Duration elapsed;

  friend bool operator==(const CallReport& a, const CallReport& b) {
    return std::tie(a.limit, a.elapsed) == std::tie(b.limit, b.elapsed);
  }
};

/// Asynchronous HTTP client of one server with timeouts for each request.
/// Reuses keep-alive connections and closes the connection of a request that
/// times out.
class AsyncHttpClient : private ConnectionPool::Listener {
 public:
  using Done = std::function<void(Result<HttpResponse>)>;
  using ReportedDone =
      std::function<void(Result<HttpResponse>, const CallReport&)>;

  AsyncHttpClient(EventLoop& loop, Endpoint endpoint,
                  absl::Duration connect_timeout);

  /// Sends `GET target`.
  /// @param done receives the response, whatever its status code; `kTimeout` if
  /// one of the time limits was exceeded; or `kUnavailable` if the connection
  /// failed or the response was malformed.
  void Get(const std::string& target, const ResponseTimeouts& timeouts,
           Done done) {
    Get(target, {}, timeouts, std::move(done));
  }
  /// As above, with further request headers.
  void Get(const std::string& target, const std::vector<HttpHeader>& headers,
           const ResponseTimeouts& timeouts, Done done);
  /// As `Get`, also reports how the call went.
  void GetWithReport(const std::string& target,
                     const std::vector<HttpHeader>& headers,
                     const ResponseTimeouts& timeouts, ReportedDone done);

 private:
  struct PendingCall;

  void OnConnectFailed(bool refused) override { connect_refused_ = refused; }
  void OnClosedBeforeResponse() override {}
  void OnConnected() override {}

  /// Ends the call if a time limit is exceeded, otherwise looks again when the
  /// next one can be.
  void CheckTimeouts(const std::shared_ptr<PendingCall>& call);

  EventLoop& loop_;
  TimerScope timers_{loop_};
  const Endpoint endpoint_;
  /// Whether the last attempt to connect that failed ended with an error.
  bool connect_refused_ = false;
  ConnectionPool pool_;
};

}  // namespace cherrydyke::engine
