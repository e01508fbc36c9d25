#include "engine/async_http_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "support/raw_peers.h"

namespace cherrydyke::engine {
namespace {

constexpr ResponseTimeouts kTimeouts = {absl::Seconds(1), absl::Seconds(1),
                                        absl::Milliseconds(2500)};
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);
constexpr absl::Duration kLate = absl::Milliseconds(100);
constexpr absl::Duration kPartPeriod = absl::Milliseconds(50);

}  // namespace

class AsyncHttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AsyncHttpClientTest);
  CPPUNIT_TEST(ResponseThatGoesOnArrivingIsNotCutOff);
  CPPUNIT_TEST(ResponseThatStopsArrivingTimesOut);
  CPPUNIT_TEST(ResponseThatNeverEndsTimesOut);
  CPPUNIT_TEST(SilentServerTimesOut);
  CPPUNIT_TEST(SendsFurtherHeaders);
  CPPUNIT_TEST(CallsAfterClosedConnectionsAreSent);
  CPPUNIT_TEST(LateCallGoesOn);
  CPPUNIT_TEST(PatientCallEndsAtItsLastLimit);
  CPPUNIT_TEST(CallWithoutConnectionIsLateSooner);
  CPPUNIT_TEST(CancelledCallReportsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ResponseThatGoesOnArrivingIsNotCutOff() {
    constexpr int kParts = 30;
    const auto result = GetInParts(kParts, kParts);
    CPPUNIT_ASSERT(GetError(result) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string(kParts, 'x'), GetValue(result).body);
  }

  void ResponseThatStopsArrivingTimesOut() {
    const absl::Time started = loop_.Now();
    CPPUNIT_ASSERT(IsTimeout(GetInParts(10, 3)));
    CPPUNIT_ASSERT(loop_.Now() - started < kTimeouts.receive);
  }

  void ResponseThatNeverEndsTimesOut() {
    const absl::Time started = loop_.Now();
    CPPUNIT_ASSERT(IsTimeout(GetInParts(1000, 1000)));
    CPPUNIT_ASSERT(loop_.Now() - started >= kTimeouts.receive);
  }

  void SilentServerTimesOut() {
    RawServer server(loop_, [](RawConnection&, const std::string&) {});
    CPPUNIT_ASSERT(IsTimeout(Get(server)));
  }

  void SendsFurtherHeaders() {
    std::string received;
    RawServer server(loop_, [&](RawConnection& c, const std::string& bytes) {
      received = bytes;
      c.Write(OkResponse("x"));
    });
    Get(server, {{"Accept-Encoding", "a"}});
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         HeaderOf(received, "Accept-Encoding"));
  }

  // Guards against calls that fail unsent although the server is back (CONFIG).
  void CallsAfterClosedConnectionsAreSent() {
    constexpr absl::Duration kShortestPauseOfCallers = absl::Milliseconds(50);
    int calls = 0;
    RawServer server(loop_, [&](RawConnection& c, const std::string&) {
      ++calls;
      c.Reset();
    });
    AsyncHttpClient client(loop_, server.endpoint(), kConnectTimeout);
    for (int i = 1; i <= 5; ++i) {
      bool is_done = false;
      client.Get("/x", kTimeouts,
                 [&](const Result<HttpResponse>&) { is_done = true; });
      CPPUNIT_ASSERT(RunUntil(loop_, [&] { return is_done; }));
      CPPUNIT_ASSERT_EQUAL(i, calls);
      RunFor(loop_, kShortestPauseOfCallers);
    }
  }

  // Guards against a slow path on which each call is given up (CONFIG).
  void LateCallGoesOn() {
    TimerScope timers(loop_);
    RawServer server(loop_, [&](RawConnection& c, const std::string&) {
      timers.RunAfter(2 * kLate, [&c] { c.Write(OkResponse("x")); });
    });
    GetPatiently(server);
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return late_count_ == 1; }));
    CPPUNIT_ASSERT(report_.limit == CallLimit::kFirstByte);
    CPPUNIT_ASSERT(report_.first_byte == absl::InfiniteDuration());
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return result_.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("x"), GetValue(*result_).body);
    CPPUNIT_ASSERT_EQUAL(1, late_count_);
    CPPUNIT_ASSERT(report_.limit == CallLimit::kNone);
    CPPUNIT_ASSERT(report_.sent < kLate);
    CPPUNIT_ASSERT(report_.first_byte >= 2 * kLate);
    CPPUNIT_ASSERT(report_.first_byte <= report_.elapsed);
    CPPUNIT_ASSERT_EQUAL(1, server.accepted());
  }

  void PatientCallEndsAtItsLastLimit() {
    RawServer server(loop_, [](RawConnection&, const std::string&) {});
    const absl::Time started = loop_.Now();
    GetPatiently(server);
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return result_.has_value(); }));
    CPPUNIT_ASSERT(IsTimeout(*result_));
    CPPUNIT_ASSERT(loop_.Now() - started >= kTimeouts.first_byte);
    CPPUNIT_ASSERT_EQUAL(1, late_count_);
  }

  void CallWithoutConnectionIsLateSooner() {
    RawServer server(loop_, [](RawConnection&, const std::string&) {});
    server.FallSilent();
    const absl::Time started = loop_.Now();
    GetPatiently(server);
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return late_count_ == 1; }));
    CPPUNIT_ASSERT(loop_.Now() - started < kLate);
    CPPUNIT_ASSERT(report_.limit == CallLimit::kConnect);
    CPPUNIT_ASSERT(report_.sent == absl::InfiniteDuration());
  }

  void CancelledCallReportsNothing() {
    RawServer server(loop_, [](RawConnection& c, const std::string&) {
      c.Write(OkResponse("x"));
    });
    const ExchangeId call = GetPatiently(server);
    patient_client_->Cancel(call);
    RunFor(loop_, 2 * kLate);
    CPPUNIT_ASSERT(!result_.has_value());
    CPPUNIT_ASSERT_EQUAL(0, late_count_);
    patient_client_->Cancel(call);
  }

 private:
  ExchangeId GetPatiently(const RawServer& server) {
    PatientGet get;
    get.target = "/x";
    get.late = {kLate, kLate, kTimeouts.receive, kLate / 2};
    get.end = kTimeouts;
    get.on_late = [this](const CallReport& report) {
      ++late_count_;
      report_ = report;
    };
    get.done = [this](Result<HttpResponse> got, const CallReport& report) {
      result_ = std::move(got);
      report_ = report;
    };
    patient_client_ = std::make_unique<AsyncHttpClient>(
        loop_, server.endpoint(), kConnectTimeout);
    return patient_client_->Get(std::move(get));
  }

  // Requests a response of `length` bytes of which one a period arrives until
  // `sent` have.
  Result<HttpResponse> GetInParts(int length, int sent) {
    RawConnection* connection = nullptr;
    RawServer server(loop_, [&](RawConnection& c, const std::string&) {
      connection = &c;
      c.Write(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", length,
                           "\r\n\r\n"));
    });
    int parts = 0;
    TimerScope timers(loop_);
    timers.Every(kPartPeriod, [&] {
      if (connection == nullptr || parts++ >= sent) return;
      connection->Write("x");
    });
    return Get(server);
  }

  Result<HttpResponse> Get(const RawServer& server,
                           const std::vector<HttpHeader>& headers = {}) {
    AsyncHttpClient client(loop_, server.endpoint(), kConnectTimeout);
    std::optional<Result<HttpResponse>> result;
    client.Get("/x", headers, kTimeouts,
               [&](Result<HttpResponse> got) { result = std::move(got); });
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return result.has_value(); }));
    return std::move(*result);
  }

  static bool IsTimeout(const Result<HttpResponse>& result) {
    const Error* const error = GetError(result);
    return error != nullptr && error->code == ErrorCode::kTimeout;
  }

  BootClock clock_;
  EventLoop loop_{clock_};
  std::unique_ptr<AsyncHttpClient> patient_client_;
  std::optional<Result<HttpResponse>> result_;
  int late_count_ = 0;
  CallReport report_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AsyncHttpClientTest);

}  // namespace cherrydyke::engine
