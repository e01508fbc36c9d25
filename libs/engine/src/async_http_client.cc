#include "engine/async_http_client.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "base/result.h"

namespace cherrydyke::engine {
namespace {

/// Usually one request is in flight; the second connection carries a request
/// that overlaps with another.
constexpr int kMaxConnections = 2;

ClientOptions MakeClientOptions(absl::Duration connect_timeout) {
  ClientOptions options;
  options.connect_timeout = connect_timeout;
  return options;
}

}  // namespace

AsyncHttpClient::AsyncHttpClient(EventLoop& loop, Endpoint endpoint,
                                 absl::Duration connect_timeout)
    : loop_(loop),
      endpoint_(endpoint),
      pool_(loop, std::move(endpoint), MakeClientOptions(connect_timeout),
            kMaxConnections, nullptr) {}

void AsyncHttpClient::Get(const std::string& target, absl::Duration timeout,
                          Done done) {
  struct PendingCall {
    ExchangeId exchange = 0;
    TimerId timer = 0;
    Done done;
  };
  const auto call = std::make_shared<PendingCall>();
  call->done = std::move(done);
  PoolRequest request;
  request.exchange.write = [this, target] {
    return absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: ", endpoint_,
                        "\r\n\r\n");
  };
  request.exchange.done = [this, call](ExchangeResult result) {
    if (!call->done) return;
    loop_.Cancel(call->timer);
    const Done done = std::exchange(call->done, nullptr);
    if (result.status == ExchangeStatus::kComplete) {
      done(std::move(result.response));
    } else {
      done(Error{ErrorCode::kUnavailable,
                 absl::StrCat("no complete HTTP response from ", endpoint_)});
    }
  };
  call->timer = timers_.RunAfter(timeout, [this, call] {
    const Done done = std::exchange(call->done, nullptr);
    pool_.Cancel(call->exchange, absl::ZeroDuration());
    done(Error{ErrorCode::kTimeout,
               absl::StrCat("HTTP request timed out without a response from ",
                            endpoint_)});
  });
  call->exchange = pool_.Send(std::move(request));
}

}  // namespace cherrydyke::engine
