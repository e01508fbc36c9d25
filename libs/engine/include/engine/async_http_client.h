#pragma once

#include <functional>
#include <map>
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
  /// Longest time until the request is sent on a connection.
  absl::Duration send = absl::InfiniteDuration();
};

/// The time limit that a call has exceeded.
enum class CallLimit { kNone, kConnect, kFirstByte, kStall, kReceive };

/// How a call went so far.
struct CallReport {
  CallLimit limit = CallLimit::kNone;
  /// Time since the begin of the call.
  absl::Duration elapsed;
  /// Time until the request was sent on a connection, and until the first byte
  /// of the response; infinite if that did not happen.
  absl::Duration sent = absl::InfiniteDuration();
  absl::Duration first_byte = absl::InfiniteDuration();

  friend bool operator==(const CallReport& a, const CallReport& b) {
    return a.Key() == b.Key();
  }

 private:
  std::tuple<CallLimit, absl::Duration, absl::Duration, absl::Duration> Key()
      const {
    return {limit, elapsed, sent, first_byte};
  }
};

/// A request that goes on when it is late.
struct PatientGet {
  std::string target;
  /// Limits after which the call is late.
  ResponseTimeouts late;
  /// Limits after which it ends.
  ResponseTimeouts end;
  /// Called once if the call is late.
  std::function<void(const CallReport&)> on_late;
  std::function<void(Result<HttpResponse>, const CallReport&)> done;
};

/// Asynchronous HTTP client of one server with timeouts for each request.
/// Reuses keep-alive connections and closes the connection of a request that
/// times out.
class AsyncHttpClient : private ConnectionPool::Listener {
 public:
  using Done = std::function<void(Result<HttpResponse>)>;

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
  /// Sends a request that goes on when it is late. A connection that takes long
  /// to open does not hold up later requests.
  /// @return the call, for `Cancel`.
  ExchangeId Get(PatientGet get);

  /// Cancels a call. None of its callbacks is called any more. Has no effect on
  /// one that has ended.
  void Cancel(ExchangeId call);

 private:
  struct PendingCall;

  void OnConnectFailed(bool refused) override { connect_refused_ = refused; }
  void OnClosedBeforeResponse() override {}
  void OnConnected() override {}
  void OnLateConnected() override {}

  ExchangeId Start(PatientGet get, const std::vector<HttpHeader>& headers);
  /// Ends the call or reports that it is late if a time limit is exceeded, and
  /// looks again when the next one can be.
  void CheckTimeouts(const std::shared_ptr<PendingCall>& call);

  EventLoop& loop_;
  TimerScope timers_{loop_};
  const Endpoint endpoint_;
  /// Whether the last attempt to connect that failed ended with an error.
  bool connect_refused_ = false;
  ConnectionPool pool_;
  std::map<ExchangeId, std::shared_ptr<PendingCall>> calls_;
};

}  // namespace cherrydyke::engine
