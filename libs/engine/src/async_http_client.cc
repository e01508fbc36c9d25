#include "engine/async_http_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/result.h"

namespace cherrydyke::engine {
namespace {

/// Usually one request is in flight; the second connection carries a request
/// that overlaps with another.
constexpr int kMaxConnections = 2;
/// A connection that was idle for longer may have fallen silent: a new one
/// costs less than the time until that shows.
constexpr absl::Duration kMaxIdleTime = absl::Seconds(2);
/// Callers pause after a failed call. A longer backoff would make the next one
/// fail unsent.
constexpr absl::Duration kMaxConnectBackoff = absl::Milliseconds(20);

ClientOptions MakeClientOptions(absl::Duration connect_timeout) {
  ClientOptions options;
  options.connect_timeout = connect_timeout;
  options.max_connect_backoff = kMaxConnectBackoff;
  return options;
}

}  // namespace

AsyncHttpClient::AsyncHttpClient(EventLoop& loop, Endpoint endpoint,
                                 absl::Duration connect_timeout)
    : loop_(loop),
      endpoint_(endpoint),
      pool_(loop, std::move(endpoint), MakeClientOptions(connect_timeout),
            kMaxConnections, this) {}

struct AsyncHttpClient::PendingCall {
  ResponseTimeouts timeouts;
  ExchangeId exchange = 0;
  TimerId timer = 0;
  absl::Time started_at;
  /// When the first and the last bytes of the response arrived.
  absl::Time first_byte_at = absl::InfiniteFuture();
  absl::Time progress_at;
  ReportedDone done;

  bool HasBegun() const { return first_byte_at != absl::InfiniteFuture(); }
  absl::Time TimesOutAt() const {
    if (!HasBegun()) return started_at + timeouts.first_byte;
    return std::min(progress_at + timeouts.stall,
                    first_byte_at + timeouts.receive);
  }
  /// @return the limit that is exceeded first.
  CallLimit Limit() const {
    if (!HasBegun()) return CallLimit::kFirstByte;
    return progress_at + timeouts.stall < first_byte_at + timeouts.receive
               ? CallLimit::kStall
               : CallLimit::kReceive;
  }
};

void AsyncHttpClient::Get(const std::string& target,
                          const std::vector<HttpHeader>& headers,
                          const ResponseTimeouts& timeouts, Done done) {
  GetWithReport(target, headers, timeouts,
                [done = std::move(done)](Result<HttpResponse> result,
                                         const CallReport& /*report*/) {
                  done(std::move(result));
                });
}

void AsyncHttpClient::GetWithReport(const std::string& target,
                                    const std::vector<HttpHeader>& headers,
                                    const ResponseTimeouts& timeouts,
                                    ReportedDone done) {
  const auto call = std::make_shared<PendingCall>();
  call->timeouts = timeouts;
  call->started_at = loop_.Now();
  call->done = std::move(done);
  PoolRequest request;
  request.max_idle_time = kMaxIdleTime;
  request.exchange.write = [this, target, headers] {
    std::string head =
        absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: ", endpoint_, "\r\n");
    for (const HttpHeader& header : headers) {
      absl::StrAppend(&head, header.name, ": ", header.value, "\r\n");
    }
    return head + "\r\n";
  };
  request.exchange.on_progress = [this, call] {
    call->progress_at = loop_.Now();
    call->first_byte_at = std::min(call->first_byte_at, call->progress_at);
  };
  request.exchange.done = [this, call](ExchangeResult result) {
    if (!call->done) return;
    loop_.Cancel(call->timer);
    const ReportedDone done = std::exchange(call->done, nullptr);
    const absl::Duration elapsed = loop_.Now() - call->started_at;
    if (result.status == ExchangeStatus::kComplete) {
      return done(std::move(result.response), {CallLimit::kNone, elapsed});
    }
    const bool is_limit =
        result.status == ExchangeStatus::kNotSent && !connect_refused_;
    done(Error{ErrorCode::kUnavailable,
               absl::StrCat("no complete HTTP response from ", endpoint_)},
         {is_limit ? CallLimit::kConnect : CallLimit::kNone, elapsed});
  };
  call->exchange = pool_.Send(std::move(request));
  CheckTimeouts(call);
}

void AsyncHttpClient::CheckTimeouts(const std::shared_ptr<PendingCall>& call) {
  if (loop_.Now() < call->TimesOutAt()) {
    call->timer = timers_.RunAt(call->TimesOutAt(),
                                [this, call] { CheckTimeouts(call); });
    return;
  }
  const ReportedDone done = std::exchange(call->done, nullptr);
  const bool was_unsent = pool_.Cancel(call->exchange, absl::ZeroDuration());
  const CallLimit limit = was_unsent ? CallLimit::kConnect : call->Limit();
  done(Error{ErrorCode::kTimeout,
             absl::StrCat(call->HasBegun()
                              ? "HTTP response stopped arriving or took "
                                "too long from "
                              : "HTTP request timed out without a "
                                "response from ",
                          endpoint_)},
       {limit, loop_.Now() - call->started_at});
}

}  // namespace cherrydyke::engine
