#include "engine/http_server.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "base/clock.h"
#include "boost/system/system_error.hpp"
#include "support/raw_peers.h"

namespace cherrydyke::engine {
namespace {

constexpr char kHostHeader[] = "Host: a\r\n";
/// Below the ephemeral port range, and not used by another test.
constexpr char kEndpoint[] = "127.0.0.1:17411";
constexpr uint16_t kPort = 17411;

std::string Get(const std::string& path, const std::string& headers = "") {
  return "GET " + path + " HTTP/1.1\r\n" + kHostHeader + headers + "\r\n";
}

std::string ChunkedHeader() {
  return absl::StrCat("POST /c HTTP/1.1\r\n", kHostHeader,
                      "Transfer-Encoding: chunked\r\n\r\n");
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(AnswersPipelinedRequestsInOrder);
  CPPUNIT_TEST(ReadsWhatFollowsPipelinedRequests);
  CPPUNIT_TEST(ReadsChunkedBodies);
  CPPUNIT_TEST(ReadsBodiesInChunksOfOneByte);
  CPPUNIT_TEST(TrailersAreNotFieldsOfTheHeader);
  CPPUNIT_TEST(RejectsFramingWithoutEnd);
  CPPUNIT_TEST(FramingWithoutABodyTimesOut);
  CPPUNIT_TEST(SendsContinueForExpectedBody);
  CPPUNIT_TEST(RejectsOversizedAndMalformedRequests);
  CPPUNIT_TEST(LimitsRaisedOnAnIdleConnectionHoldForTheNextRequest);
  CPPUNIT_TEST(RequestsBeyondProvisionalLimitsAreNotTooLarge);
  CPPUNIT_TEST(IdleTimeRaisedDuringARequestHoldsAfterIt);
  CPPUNIT_TEST(RequestInAbsoluteFormNamesItsHostInTheTarget);
  CPPUNIT_TEST(RejectsOtherFormsOfTargets);
  CPPUNIT_TEST(RejectsAmbiguousFraming);
  CPPUNIT_TEST(ReportsCallerDisconnectDuringRequest);
  CPPUNIT_TEST(TimesOutSlowHeadersAndIdleConnections);
  CPPUNIT_TEST(ClosesConnectionsAfterResponsesWhenStopping);
  CPPUNIT_TEST(ConnectionIsBusyUntilItsResponseIsWritten);
  CPPUNIT_TEST(IdleConnectionWithAnUnreadRequestStaysOpen);
  CPPUNIT_TEST(ConnectionInTheBacklogIsServedWhenAcceptingStops);
  CPPUNIT_TEST(RequestThatWasJustReadSurvivesClosingIdleConnections);
  CPPUNIT_TEST(UnreadRequestSurvivesTheIdleTimeout);
  CPPUNIT_TEST(HandlesPipelinedFloodOneRequestAtATime);
  CPPUNIT_TEST(ExchangeKeepsItsRequestBesideTheNextOne);
  CPPUNIT_TEST(ExchangeDoesNotRespondToTheNextRequest);
  CPPUNIT_TEST(ExchangeIsNotToldOfTheNextCallerLeaving);
  CPPUNIT_TEST(SurvivesRandomBytes);
  CPPUNIT_TEST(WritesNoStatusThatTheProtocolLacks);
  CPPUNIT_TEST(GroupRefusesTheRequestThatHoldsMost);
  CPPUNIT_TEST(GroupClosesTheOldestIdleConnection);
  CPPUNIT_TEST(GroupServesSmallRequestsBesideRunningOnes);
  CPPUNIT_TEST(RequestThatRunsIsNotEndedByWhatItsHandlerDoes);
  CPPUNIT_TEST(RequestWhoseCallerLeftCountsUntilItsEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    limits_.max_header_bytes = 1024;
    limits_.max_body_bytes = 4096;
    limits_.header_timeout = absl::Milliseconds(300);
    limits_.idle_timeout = absl::Milliseconds(600);
    StartServer(nullptr);
  }

  void tearDown() override {
    exchanges_.clear();
    server_.reset();
  }

  void AnswersPipelinedRequestsInOrder() {
    const auto caller = Connect();
    caller->Write(Get("/1") + Get("/2"));
    CPPUNIT_ASSERT(WaitForRequests(1));
    CPPUNIT_ASSERT_EQUAL(std::string("/1"), exchanges_[0]->request().target);
    RunFor(loop_, absl::Milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, exchanges_.size());
    Respond(0, "one");
    CPPUNIT_ASSERT(WaitForRequests(2));
    Respond(1, "two");
    CPPUNIT_ASSERT(WaitForResponse(*caller, "two"));
    CPPUNIT_ASSERT(caller->received().find("one") <
                   caller->received().find("two"));
  }

  // Guards against handling old bytes of the buffer as the next request.
  void ReadsWhatFollowsPipelinedRequests() {
    const auto caller = Connect();
    caller->Write(Get("/1") + Get("/2"));
    for (size_t i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT(WaitForRequests(i + 1));
      Respond(i, "x");
    }
    RunFor(loop_, absl::Milliseconds(30));
    caller->Write(Get("/3"));
    CPPUNIT_ASSERT(WaitForRequests(3));
    CPPUNIT_ASSERT_EQUAL(std::string("/3"), exchanges_[2]->request().target);
  }

  void GroupRefusesTheRequestThatHoldsMost() {
    constexpr size_t kLargeBodyBytes = 500'000;
    limits_.max_body_bytes = kLargeBodyBytes;
    ConnectionLimits limits;
    limits.max_bytes = 2 * kLargeBodyBytes;
    UseGroup(limits);
    const auto large = Connect();
    large->Write(PostHeader("/large", kLargeBodyBytes) +
                 std::string(300'000, 'x'));
    const auto small = Connect();
    small->Write(PostHeader("/small", 1000) + std::string(999, 'x'));
    RunFor(loop_, absl::Milliseconds(30));
    CPPUNIT_ASSERT(limited_.empty());
    const auto other = Connect();
    other->Write(PostHeader("/other", kLargeBodyBytes) +
                 std::string(200'000, 'x'));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return large->closed_by_peer(); }));
    CPPUNIT_ASSERT(Contains(large->received(), " 503 "));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, limited_.size());
    CPPUNIT_ASSERT(limited_[0].limit == CallerLimit::kMemory);
    small->Write("x");
    CPPUNIT_ASSERT(WaitForRequests(1));
    CPPUNIT_ASSERT_EQUAL(std::string("/small"),
                         exchanges_[0]->request().target);
  }

  void RequestWhoseCallerLeftCountsUntilItsEnd() {
    UseGroup({});
    const auto caller = Connect();
    caller->Write(PostHeader("/", limits_.max_body_bytes) +
                  std::string(limits_.max_body_bytes, 'x'));
    CPPUNIT_ASSERT(WaitForRequests(1));
    bool has_left = false;
    exchanges_[0]->OnDisconnect([&] { has_left = true; });
    caller->Close();
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return has_left; }));
    RunFor(loop_, absl::Milliseconds(30));
    CPPUNIT_ASSERT(group_->budget().bytes() > limits_.max_body_bytes);
    exchanges_.clear();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, group_->budget().bytes());
  }

  // Guards against ending all others for what running requests hold.
  void GroupServesSmallRequestsBesideRunningOnes() {
    constexpr size_t kLargeBodyBytes = 100'000;
    limits_.max_body_bytes = kLargeBodyBytes;
    ConnectionLimits limits;
    limits.max_bytes = 325'000;
    limits.max_connections = 10;
    UseGroup(limits);
    const auto large = Connect();
    large->Write(PostHeader("/large", kLargeBodyBytes) +
                 std::string(kLargeBodyBytes, 'x'));
    CPPUNIT_ASSERT(WaitForRequests(1));
    std::vector<std::shared_ptr<RawConnection>> callers;
    for (size_t i = 1; i <= 3; ++i) {
      callers.push_back(Connect());
      callers.back()->Write(Get("/small"));
      CPPUNIT_ASSERT(WaitForRequests(i + 1));
    }
    CPPUNIT_ASSERT(group_->budget().bytes() > limits.max_bytes);
    for (size_t i = 1; i <= 3; ++i) {
      Respond(i, "small");
      CPPUNIT_ASSERT(WaitForResponse(*callers[i - 1], "small"));
    }
  }

  // Guards against LOST: the group knew the request as one being received.
  void RequestThatRunsIsNotEndedByWhatItsHandlerDoes() {
    constexpr size_t kBodyBytes = 20'000;
    limits_.max_body_bytes = kBodyBytes;
    limits_.header_timeout = absl::Seconds(5);
    ConnectionLimits limits;
    limits.max_bytes = 110'000;
    UseGroup(limits);
    std::vector<std::shared_ptr<RawConnection>> others;
    for (size_t i = 0; i < 3; ++i) {
      others.push_back(Connect());
      others.back()->Write(Get("/other"));
      CPPUNIT_ASSERT(WaitForRequests(i + 1));
    }
    const auto caller = Connect();
    caller->Write(PostHeader("/", kBodyBytes) +
                  std::string(kBodyBytes - 1, 'x'));
    RunFor(loop_, absl::Milliseconds(300));
    on_request_ = [this] {
      for (size_t i = 0; i < 3; ++i) Respond(i, std::string(kBodyBytes, 'x'));
    };
    caller->Write("x");
    CPPUNIT_ASSERT(WaitForRequests(4));
    RunFor(loop_, absl::Milliseconds(30));
    Respond(3, "served");
    CPPUNIT_ASSERT(WaitForResponse(*caller, "served"));
  }

  void GroupClosesTheOldestIdleConnection() {
    ConnectionLimits limits;
    limits.max_connections = 2;
    UseGroup(limits);
    const auto oldest = Connect();
    RunFor(loop_, absl::Milliseconds(10));
    const auto older = Connect();
    RunFor(loop_, absl::Milliseconds(10));
    const auto newest = Connect();
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return oldest->closed_by_peer(); }));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, limited_.size());
    CPPUNIT_ASSERT(limited_[0].limit == CallerLimit::kConnections);
    newest->Write(Get("/newest"));
    older->Write(Get("/older"));
    CPPUNIT_ASSERT(WaitForRequests(2));
  }

  void WritesNoStatusThatTheProtocolLacks() {
    for (const int status : {0, 42, 100, 101, 199, 600, 999, -200}) {
      exchanges_.clear();
      const auto caller = Connect();
      caller->Write(Get("/1"));
      CPPUNIT_ASSERT(WaitForRequests(1));
      HttpResponse response;
      response.status = status;
      response.headers = {{"Stamp", "s"}};
      response.body = "body";
      exchanges_[0]->Respond(std::move(response));
      RunUntil(loop_, [&] { return IsComplete(caller->received()); });
      const std::string& received = caller->received();
      CPPUNIT_ASSERT_MESSAGE(
          received, absl::StartsWith(received, "HTTP/1.1 502 Bad Gateway\r\n"));
      CPPUNIT_ASSERT(!absl::StrContains(received, "Stamp"));
      CPPUNIT_ASSERT(!absl::StrContains(received, "body"));
    }
  }

  void ReadsChunkedBodies() {
    const auto caller = Connect();
    caller->Write("POST /c HTTP/1.1\r\n" + std::string(kHostHeader) +
                  "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    RunFor(loop_, absl::Milliseconds(20));
    CPPUNIT_ASSERT(exchanges_.empty());
    caller->Write("2\r\nde\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(WaitForRequests(1));
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), exchanges_[0]->request().body);
  }

  void ReadsBodiesInChunksOfOneByte() {
    const auto caller = Connect();
    caller->Write(ChunkedHeader());
    for (uint64_t i = 0; i < limits_.max_body_bytes; ++i) {
      caller->Write("00000001\r\nx\r\n");
    }
    caller->Write("0\r\nX-Sum: 1\r\n\r\n");
    CPPUNIT_ASSERT(WaitForRequests(1));
    CPPUNIT_ASSERT_EQUAL(std::string(limits_.max_body_bytes, 'x'),
                         exchanges_[0]->request().body);
  }

  void TrailersAreNotFieldsOfTheHeader() {
    const auto caller = Connect();
    caller->Write(ChunkedHeader() + "1\r\nx\r\n0\r\nX-Deadline: 9\r\n\r\n");
    CPPUNIT_ASSERT(WaitForRequests(1));
    const HttpRequest& request = exchanges_[0]->request();
    CPPUNIT_ASSERT(FindHeader(request.headers, "Host") != nullptr);
    CPPUNIT_ASSERT(FindHeader(request.headers, "X-Deadline") == nullptr);
  }

  // Guards against input that no limit counts.
  void RejectsFramingWithoutEnd() {
    const std::string long_text(2000, 'x');
    ExpectStatus(ChunkedHeader() + "1;a=" + long_text, "431");
    ExpectStatus(ChunkedHeader() + "1\r\nx\r\n0\r\nX-Trailer: " + long_text,
                 "431");
    std::string chunks;
    for (int i = 0; i < 10; ++i) {
      absl::StrAppend(&chunks, "1;a=", long_text.substr(0, 200), "\r\nx\r\n");
    }
    ExpectStatus(ChunkedHeader() + chunks, "431");
    std::string trailers;
    while (trailers.size() < size_t{16} * limits_.max_header_bytes) {
      trailers += "a:\r\n";
    }
    ExpectStatus(absl::StrCat(ChunkedHeader(), "1000\r\n",
                              std::string(0x1000, 'x'), "\r\n0\r\n", trailers),
                 "431");
  }

  void FramingWithoutABodyTimesOut() {
    const auto caller = Connect();
    caller->Write(ChunkedHeader() + "1;a=");
    const absl::Duration period = limits_.header_timeout / 4;
    for (int i = 0; i < 20 && !caller->closed_by_peer(); ++i) {
      caller->Write("x");
      RunFor(loop_, period);
    }
    CPPUNIT_ASSERT(Contains(caller->received(), " 408 "));
  }

  void SendsContinueForExpectedBody() {
    const auto caller = Connect();
    caller->Write("POST /c HTTP/1.1\r\n" + std::string(kHostHeader) +
                  "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    CPPUNIT_ASSERT(WaitForResponse(*caller, "100 Continue"));
    caller->Write("ab");
    CPPUNIT_ASSERT(WaitForRequests(1));
  }

  void RejectsOversizedAndMalformedRequests() {
    ExpectStatus(Get("/", "X: " + std::string(2000, 'x') + "\r\n"), "431");
    ExpectStatus("POST / HTTP/1.1\r\n" + std::string(kHostHeader) +
                     "Content-Length: 5000\r\n\r\n",
                 "413");
    ExpectStatus("POST / HTTP/1.1\r\n" + std::string(kHostHeader) +
                     "Transfer-Encoding: chunked\r\n\r\n1400\r\n" +
                     std::string(5120, 'x'),
                 "413");
    ExpectStatus("POST / HTTP/1.1\r\n" + std::string(kHostHeader) +
                     "Content-Length: 5000\r\n\r\n" + std::string(200, 'x'),
                 "413");
    ExpectStatus("nonsense\r\n\r\n", "400");
    ExpectStatus("GET / HTTP/1.1\r\n\r\n", "400");
    ExpectStatus("GET x HTTP/1.1\r\n" + std::string(kHostHeader) + "\r\n",
                 "400");
  }

  // The parser of a kept connection was made when the request before came.
  void LimitsRaisedOnAnIdleConnectionHoldForTheNextRequest() {
    const auto caller = Connect();
    caller->Write(Get("/1"));
    CPPUNIT_ASSERT(WaitForRequests(1));
    Respond(0, "x");
    RunFor(loop_, absl::Milliseconds(30));
    limits_.max_header_bytes *= 4;
    limits_.max_body_bytes *= 4;
    caller->Write(absl::StrCat(
        "POST / HTTP/1.1\r\n", kHostHeader, "X: ", std::string(2000, 'x'),
        "\r\nContent-Length: 5000\r\n\r\n", std::string(5000, 'x')));
    const bool was_read = WaitForRequests(2);
    CPPUNIT_ASSERT_MESSAGE(caller->received(), was_read);
    CPPUNIT_ASSERT_EQUAL(size_t{5000}, exchanges_[1]->request().body.size());
  }

  void RequestsBeyondProvisionalLimitsAreNotTooLarge() {
    limits_.are_provisional = true;
    server_->SetProvisionalRefusal([] {
      HttpResponse refusal;
      refusal.status = 503;
      return refusal;
    });
    const std::string post = "POST / HTTP/1.1\r\n" + std::string(kHostHeader);
    ExpectStatus(Get("/", "X: " + std::string(2000, 'x') + "\r\n"), "503");
    ExpectStatus(post + "Content-Length: 5000\r\n\r\n", "503");
    ExpectStatus(post + "Transfer-Encoding: chunked\r\n\r\n1400\r\n" +
                     std::string(5120, 'x'),
                 "503");
    ExpectStatus("nonsense\r\n\r\n", "400");
    limits_.are_provisional = false;
    ExpectStatus(post + "Content-Length: 5000\r\n\r\n", "413");
  }

  // Guards against closing a connection that callers may still reuse (LOST).
  void IdleTimeRaisedDuringARequestHoldsAfterIt() {
    const auto caller = Connect();
    caller->Write(Get("/1"));
    CPPUNIT_ASSERT(WaitForRequests(1));
    const absl::Duration idle_timeout_before = limits_.idle_timeout;
    limits_.idle_timeout *= 4;
    Respond(0, "x");
    RunFor(loop_, 2 * idle_timeout_before);
    CPPUNIT_ASSERT(!caller->closed_by_peer());
    caller->Write(Get("/2"));
    CPPUNIT_ASSERT(WaitForRequests(2));
  }

  void RequestInAbsoluteFormNamesItsHostInTheTarget() {
    const auto caller = Connect();
    const std::vector<std::pair<std::string, HttpRequest>> cases = {
        {"http://b.example:81/x/y?z=/w",
         MakeRequest("b.example:81", "/x/y?z=/w")},
        {"HTTP://B/", MakeRequest("B", "/")},
        {"http://b", MakeRequest("b", "/")},
        {"http://b?z=1", MakeRequest("b", "/?z=1")},
        {"http://[::1]:81/x@y", MakeRequest("[::1]:81", "/x@y")},
        {"/http://b/x", MakeRequest("a", "/http://b/x")}};
    for (size_t i = 0; i < cases.size(); ++i) {
      const auto& [target, expected] = cases[i];
      caller->Write(Get(target));
      const bool was_read = WaitForRequests(i + 1);
      CPPUNIT_ASSERT_MESSAGE(target + ": " + caller->received(), was_read);
      CPPUNIT_ASSERT_MESSAGE(target, exchanges_[i]->request() == expected);
      Respond(i, "x");
    }
  }

  void RejectsOtherFormsOfTargets() {
    for (const std::string target :
         {"http://", "http:///x", "http://:80/x", "http://u@b/x", "http://b#x",
          "https://b/x", "ftp://b/x", "http:/b", "b:80", "*"}) {
      ExpectStatus(Get(target), "400");
    }
    // As in origin form, a header without a host is malformed.
    ExpectStatus("GET http://b/x HTTP/1.1\r\n\r\n", "400");
    ExpectStatus("GET http://b/x HTTP/1.1\r\nHost: b\r\nHost: b\r\n\r\n",
                 "400");
    CPPUNIT_ASSERT(exchanges_.empty());
  }

  void RejectsAmbiguousFraming() {
    const std::string post = "POST / HTTP/1.1\r\n" + std::string(kHostHeader);
    ExpectStatus(post +
                     "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "0\r\n\r\n",
                 "400");
    ExpectStatus(post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                 "400");
    ExpectStatus(post + "Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n", "400");
    ExpectStatus(post + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
                 "400");
    CPPUNIT_ASSERT(exchanges_.empty());
  }

  void ReportsCallerDisconnectDuringRequest() {
    const auto caller = Connect();
    caller->Write(Get("/1"));
    CPPUNIT_ASSERT(WaitForRequests(1));
    bool disconnected = false;
    exchanges_[0]->OnDisconnect([&] { disconnected = true; });
    caller->Close();
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return disconnected; }));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, server_->requests_in_flight());
    Respond(0, "nobody");
  }

  void TimesOutSlowHeadersAndIdleConnections() {
    const auto slow = Connect();
    const auto idle = Connect();
    slow->Write("GET / HTTP/1.1\r\n");
    CPPUNIT_ASSERT(WaitForResponse(*slow, " 408 "));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return idle->closed_by_peer(); }));
    CPPUNIT_ASSERT(idle->received().empty());
  }

  void ClosesConnectionsAfterResponsesWhenStopping() {
    const auto caller = Connect();
    caller->Write(Get("/1"));
    CPPUNIT_ASSERT(WaitForRequests(1));
    server_->CloseAfterResponses();
    Respond(0, "last");
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return caller->closed_by_peer(); }));
    CPPUNIT_ASSERT(Contains(caller->received(), "Connection: close"));
    CPPUNIT_ASSERT(Contains(caller->received(), "last"));
  }

  // Guards against a process that exits while it writes a response (LOST).
  void ConnectionIsBusyUntilItsResponseIsWritten() {
    constexpr size_t kBytes = 30U << 20U;
    const int caller = ConnectWithoutReading();
    CPPUNIT_ASSERT(WaitForRequests(1));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, server_->busy_connections());
    Respond(0, std::string(kBytes, 'x'));
    RunFor(loop_, absl::Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, server_->requests_in_flight());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, server_->busy_connections());
    std::string buffer(kBytes, 0);
    size_t received = 0;
    CPPUNIT_ASSERT(RunUntil(loop_, [&] {
      const ssize_t bytes =
          recv(caller, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (bytes > 0) received += static_cast<size_t>(bytes);
      return received > kBytes;
    }));
    CPPUNIT_ASSERT(
        RunUntil(loop_, [&] { return server_->busy_connections() == 0; }));
    close(caller);
  }

  // Guards against closing a connection on which a request has just arrived.
  void IdleConnectionWithAnUnreadRequestStaysOpen() {
    const auto caller = Connect();
    caller->Write(Get("/1"));
    CPPUNIT_ASSERT(WaitForRequests(1));
    Respond(0, "one");
    CPPUNIT_ASSERT(WaitForResponse(*caller, "one"));
    const auto idle = Connect();
    RunFor(loop_, absl::Milliseconds(20));
    caller->Write(Get("/2"));
    server_->CloseIdle();
    server_->StopAccepting();
    CPPUNIT_ASSERT(WaitForRequests(2));
    Respond(1, "two");
    CPPUNIT_ASSERT(WaitForResponse(*caller, "two"));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return idle->closed_by_peer(); }));
    CPPUNIT_ASSERT_THROW(Connect(), boost::system::system_error);
  }

  // Guards against resetting a request that waits in the listen backlog.
  void ConnectionInTheBacklogIsServedWhenAcceptingStops() {
    const auto caller = Connect();
    caller->Write(Get("/1"));
    server_->StopAccepting();
    CPPUNIT_ASSERT(WaitForRequests(1));
    Respond(0, "one");
    CPPUNIT_ASSERT(WaitForResponse(*caller, "one"));
  }

  // Guards against dropping a request that was read while its connection was
  // accepted, and is not yet handled when idle connections are closed.
  void RequestThatWasJustReadSurvivesClosingIdleConnections() {
    const auto caller = Connect();
    caller->Write(Get("/1"));
    server_->StopAccepting();
    server_->CloseIdle();
    CPPUNIT_ASSERT(WaitForRequests(1));
    Respond(0, "one");
    CPPUNIT_ASSERT(WaitForResponse(*caller, "one"));
  }

  // Guards against resetting a request that arrived before the check of the
  // idle timeout, in a process that was paused or busy.
  void UnreadRequestSurvivesTheIdleTimeout() {
    const auto caller = Connect();
    caller->Write(Get("/1"));
    CPPUNIT_ASSERT(WaitForRequests(1));
    Respond(0, "one");
    CPPUNIT_ASSERT(WaitForResponse(*caller, "one"));
    const auto idle = Connect();
    RunFor(loop_, absl::Milliseconds(20));
    // Runs in the same turn of the loop as the check, just before it.
    loop_.RunAfter(absl::ZeroDuration(), [&] { caller->Write(Get("/2")); });
    absl::SleepFor(limits_.idle_timeout + absl::Milliseconds(300));
    CPPUNIT_ASSERT(WaitForRequests(2));
    Respond(1, "two");
    CPPUNIT_ASSERT(WaitForResponse(*caller, "two"));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return idle->closed_by_peer(); }));
  }

  void HandlesPipelinedFloodOneRequestAtATime() {
    const auto caller = Connect();
    std::string flood;
    for (int i = 0; i < 4000; ++i) flood += Get("/" + std::to_string(i));
    caller->Write(flood.substr(0, 60'000));
    CPPUNIT_ASSERT(WaitForRequests(1));
    RunFor(loop_, absl::Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, exchanges_.size());
    for (size_t i = 0; i < 500; ++i) {
      CPPUNIT_ASSERT(WaitForRequests(i + 1));
      Respond(i, "x");
    }
  }

  // Guards against a holder of an answered request who takes the next one on
  // the connection for it (UNASKED).
  void ExchangeKeepsItsRequestBesideTheNextOne() {
    const auto caller = ReceiveTwo();
    const ServerExchange& first = *exchanges_[0];
    CPPUNIT_ASSERT_EQUAL(std::string("/first"), first.request().target);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), first.request().body);
    CPPUNIT_ASSERT(first.received_at() < exchanges_[1]->received_at());
    CPPUNIT_ASSERT(first.connection_info().is_new_connection);
    CPPUNIT_ASSERT_EQUAL(std::string("/second"),
                         exchanges_[1]->request().target);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), exchanges_[1]->request().body);
    CPPUNIT_ASSERT(!exchanges_[1]->connection_info().is_new_connection);
  }

  // Guards against a late second response that reaches the next request's
  // caller as its own (MIXED).
  void ExchangeDoesNotRespondToTheNextRequest() {
    const auto caller = ReceiveTwo();
    Respond(0, "late");
    RunFor(loop_, absl::Milliseconds(20));
    CPPUNIT_ASSERT(!Contains(caller->received(), "late"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, server_->requests_in_flight());
    Respond(1, "second response");
    CPPUNIT_ASSERT(WaitForResponse(*caller, "second response"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, server_->requests_in_flight());
  }

  // Guards against a late callback that replaces that of the next request,
  // which then goes on for a caller who has left (GONE).
  void ExchangeIsNotToldOfTheNextCallerLeaving() {
    const auto caller = ReceiveTwo();
    int first = 0;
    int second = 0;
    exchanges_[1]->OnDisconnect([&] { ++second; });
    exchanges_[0]->OnDisconnect([&] { ++first; });
    caller->Close();
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return first + second > 0; }));
    CPPUNIT_ASSERT_EQUAL(0, first);
    CPPUNIT_ASSERT_EQUAL(1, second);
  }

  void SurvivesRandomBytes() {
    uint64_t state = 20261204;
    for (int round = 0; round < 200; ++round) {
      std::string bytes = round % 2 == 0 ? "POST /a HTTP/1.1\r\n" : "";
      const size_t length = 1 + state % 300;
      for (size_t i = 0; i < length; ++i) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        bytes += static_cast<char>(state >> 56U);
      }
      const auto caller = Connect();
      caller->Write(bytes + "\r\n\r\n");
      RunFor(loop_, absl::Milliseconds(1));
      caller->Close();
    }
    ExpectStatus("bad\r\n\r\n", "400");
  }

 private:
  void StartServer(ServerGroup* group) {
    server_ = std::make_unique<HttpServer>(
        loop_, [this] { return limits_; },
        [this](std::shared_ptr<ServerExchange> exchange) {
          exchanges_.push_back(std::move(exchange));
          if (on_request_) on_request_();
        },
        group);
    CPPUNIT_ASSERT(GetError(server_->Listen(kEndpoint)) == nullptr);
  }

  // Starts the server anew as the only one of a group.
  void UseGroup(const ConnectionLimits& limits) {
    server_.reset();
    group_ = std::make_unique<ServerGroup>(loop_, limits);
    group_->OnLimited([this](const LimitedConnection& limited) {
      limited_.push_back(limited);
    });
    StartServer(group_.get());
  }

  static std::string PostHeader(const std::string& path, size_t body_bytes) {
    return absl::StrCat("POST ", path, " HTTP/1.1\r\n", kHostHeader,
                        "Content-Length: ", body_bytes, "\r\n\r\n");
  }

  // Sends a request on a blocking socket that the test reads itself.
  static int ConnectWithoutReading() {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
        0, connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)));
    const std::string request = Get("/large");
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(request.size()),
                         send(descriptor, request.data(), request.size(), 0));
    return descriptor;
  }

  // A request without a body and without other headers.
  static HttpRequest MakeRequest(const std::string& host,
                                 const std::string& target) {
    HttpRequest request;
    request.method = "GET";
    request.target = target;
    request.headers = {{"Host", host}};
    return request;
  }

  std::shared_ptr<RawConnection> Connect() {
    return RawConnect(loop_, kEndpoint);
  }

  // Returns when the first of two requests on a connection has its response
  // and the second one is running.
  std::shared_ptr<RawConnection> ReceiveTwo() {
    auto caller = Connect();
    caller->Write(PostHeader("/first", 3) + "one");
    CPPUNIT_ASSERT(WaitForRequests(1));
    RunFor(loop_, absl::Milliseconds(5));
    Respond(0, "first response");
    CPPUNIT_ASSERT(WaitForResponse(*caller, "first response"));
    caller->Write(PostHeader("/second", 3) + "two");
    CPPUNIT_ASSERT(WaitForRequests(2));
    return caller;
  }

  bool WaitForRequests(size_t count) {
    return RunUntil(loop_, [&] { return exchanges_.size() >= count; });
  }

  bool WaitForResponse(const RawConnection& caller, const std::string& part) {
    return RunUntil(loop_, [&] { return Contains(caller.received(), part); });
  }

  void Respond(size_t index, const std::string& body) {
    HttpResponse response;
    response.status = 200;
    response.body = body;
    exchanges_[index]->Respond(std::move(response));
  }

  void ExpectStatus(const std::string& bytes, const std::string& status) {
    const auto caller = Connect();
    caller->Write(bytes);
    CPPUNIT_ASSERT_MESSAGE(
        status + " for " + bytes.substr(0, 80),
        RunUntil(loop_, [&] { return caller->closed_by_peer(); }));
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status,
                         caller->received().substr(0, 12));
  }

  BootClock clock_;
  EventLoop loop_{clock_};
  ServerLimits limits_;
  std::unique_ptr<ServerGroup> group_;
  std::vector<LimitedConnection> limited_;
  std::unique_ptr<HttpServer> server_;
  std::deque<std::shared_ptr<ServerExchange>> exchanges_;
  std::function<void()> on_request_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace cherrydyke::engine
