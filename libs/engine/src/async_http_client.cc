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
  PatientGet get;
  ExchangeId exchange = 0;
  TimerId timer = 0;
  absl::Time started_at;
  absl::Time sent_at = absl::InfiniteFuture();
  bool is_late = false;
  /// When the first and the last bytes of the response arrived.
  absl::Time first_byte_at = absl::InfiniteFuture();
  absl::Time progress_at;

  bool IsSent() const { return sent_at != absl::InfiniteFuture(); }
  bool HasBegun() const { return first_byte_at != absl::InfiniteFuture(); }
  absl::Time ExceededAt(const ResponseTimeouts& timeouts) const {
    if (HasBegun()) {
      return std::min(progress_at + timeouts.stall,
                      first_byte_at + timeouts.receive);
    }
    const absl::Time first_byte_due = started_at + timeouts.first_byte;
    if (IsSent()) return first_byte_due;
    return std::min(first_byte_due, started_at + timeouts.send);
  }
  absl::Time LateAt() const {
    return is_late ? absl::InfiniteFuture() : ExceededAt(get.late);
  }
  absl::Time EndsAt() const { return ExceededAt(get.end); }
  /// @return the limit that is exceeded first.
  CallLimit LimitOf(const ResponseTimeouts& timeouts) const {
    if (!IsSent()) return CallLimit::kConnect;
    if (!HasBegun()) return CallLimit::kFirstByte;
    return progress_at + timeouts.stall < first_byte_at + timeouts.receive
               ? CallLimit::kStall
               : CallLimit::kReceive;
  }
  CallReport Report(CallLimit limit, absl::Time now) const {
    return {limit, now - started_at, sent_at - started_at,
            first_byte_at - started_at};
  }
};

void AsyncHttpClient::Get(const std::string& target,
                          const std::vector<HttpHeader>& headers,
                          const ResponseTimeouts& timeouts, Done done) {
  constexpr ResponseTimeouts kNever = {
      absl::InfiniteDuration(), absl::InfiniteDuration(),
      absl::InfiniteDuration(), absl::InfiniteDuration()};
  Start({target, kNever, timeouts, nullptr,
         [done = std::move(done)](Result<HttpResponse> result,
                                  const CallReport& /*report*/) {
           done(std::move(result));
         }},
        headers);
}

ExchangeId AsyncHttpClient::Get(PatientGet get) {
  return Start(std::move(get), {});
}

ExchangeId AsyncHttpClient::Start(PatientGet get,
                                  const std::vector<HttpHeader>& headers) {
  const auto call = std::make_shared<PendingCall>();
  call->get = std::move(get);
  call->started_at = loop_.Now();
  PoolRequest request;
  request.max_idle_time = kMaxIdleTime;
  request.exchange.write = [this, call, headers] {
    call->sent_at = loop_.Now();
    std::string head = absl::StrCat("GET ", call->get.target,
                                    " HTTP/1.1\r\nHost: ", endpoint_, "\r\n");
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
    if (!call->get.done) return;
    loop_.Cancel(call->timer);
    calls_.erase(call->exchange);
    const auto done = std::exchange(call->get.done, nullptr);
    if (result.status == ExchangeStatus::kComplete) {
      return done(std::move(result.response),
                  call->Report(CallLimit::kNone, loop_.Now()));
    }
    const bool is_limit =
        result.status == ExchangeStatus::kNotSent && !connect_refused_;
    done(Error{ErrorCode::kUnavailable,
               absl::StrCat("no complete HTTP response from ", endpoint_)},
         call->Report(is_limit ? CallLimit::kConnect : CallLimit::kNone,
                      loop_.Now()));
  };
  call->exchange = pool_.Send(std::move(request));
  calls_.emplace(call->exchange, call);
  CheckTimeouts(call);
  return call->exchange;
}

void AsyncHttpClient::Cancel(ExchangeId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  PendingCall& cancelled = *found->second;
  loop_.Cancel(cancelled.timer);
  cancelled.get.done = nullptr;
  calls_.erase(found);
  pool_.Cancel(call, absl::ZeroDuration());
  // The next call may need another attempt.
  pool_.CloseSurplusAttempts();
}

void AsyncHttpClient::CheckTimeouts(const std::shared_ptr<PendingCall>& call) {
  const absl::Time now = loop_.Now();
  if (now >= call->EndsAt()) {
    const CallReport report = call->Report(call->LimitOf(call->get.end), now);
    const auto done = std::exchange(call->get.done, nullptr);
    Cancel(call->exchange);
    return done(
        Error{ErrorCode::kTimeout,
              absl::StrCat(call->HasBegun() ? "HTTP response stopped arriving "
                                              "or took too long from "
                                            : "HTTP request timed out without "
                                              "a response from ",
                           endpoint_)},
        report);
  }
  const bool is_late = now >= call->LateAt();
  if (is_late) call->is_late = true;
  call->timer = timers_.RunAt(std::min(call->LateAt(), call->EndsAt()),
                              [this, call] { CheckTimeouts(call); });
  // It may cancel the call.
  if (is_late && call->get.on_late) {
    call->get.on_late(call->Report(call->LimitOf(call->get.late), now));
  }
}

}  // namespace cherrydyke::engine
