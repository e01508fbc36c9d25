#include "engine/connection_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "base/clock.h"
#include "support/fake_link.h"
#include "support/raw_peers.h"

namespace cherrydyke::engine {
namespace {

ClientOptions Options() {
  ClientOptions options;
  options.connect_timeout = absl::Milliseconds(300);
  options.id_header = "X-Id";
  options.max_body_bytes = 4096;
  return options;
}

}  // namespace

class ConnectionPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionPoolTest);
  CPPUNIT_TEST(ReusesConnection);
  CPPUNIT_TEST(ReadsEveryBodyFraming);
  CPPUNIT_TEST(ResetDuringBodyIsConnectionLost);
  CPPUNIT_TEST(DistinguishesLostFromMalformedResponses);
  CPPUNIT_TEST(TrailersAreNotFieldsOfTheHeader);
  CPPUNIT_TEST(FramingWithoutEndIsMalformed);
  CPPUNIT_TEST(StatusThatTheProtocolLacksIsMalformed);
  CPPUNIT_TEST(InterimResponsesAreSkipped);
  CPPUNIT_TEST(RefusedConnectionMeansNotSent);
  CPPUNIT_TEST(DropsResponsesToOtherRequests);
  CPPUNIT_TEST(DropsResponsesThatLackTheIdentifierOnceEchoed);
  CPPUNIT_TEST(DroppedResponseThatEndsTheConnectionLosesTheRequest);
  CPPUNIT_TEST(TakesResponsesOfServersThatEchoNoIdentifier);
  CPPUNIT_TEST(ClosesConnectionOnUnsolicitedBytes);
  CPPUNIT_TEST(ClosesConnectionOnResponseBeforeRequestIsSent);
  CPPUNIT_TEST(RespectsConnectionLimitAndQueueOrder);
  CPPUNIT_TEST(SerializesRequestWhenItIsSent);
  CPPUNIT_TEST(RequestWithdrawnAtItsSendingLeavesTheConnectionToTheNext);
  CPPUNIT_TEST(CancelledRequestThatCompletesKeepsItsConnection);
  CPPUNIT_TEST(CancelledQueuedRequestIsNeverSent);
  CPPUNIT_TEST(CancelledRequestIsAbortedAfterGracePeriod);
  CPPUNIT_TEST(BacksOffFromServerThatResetsConnections);
  CPPUNIT_TEST(SendsNothingOnUnverifiedConnection);
  CPPUNIT_TEST(ReplacesConnectionIdleBeyondMaxIdleTime);
  CPPUNIT_TEST(HonoursKeepAliveTimeoutHeader);
  CPPUNIT_TEST(ServerBeyondTheConnectTimeoutIsConnectedToInTheEnd);
  CPPUNIT_TEST(LateConnectionReplacesTheAttemptBesideItAtTheLimit);
  CPPUNIT_TEST(SilentServerFailsRequestsAtTheTimeoutBesideALateAttempt);
  CPPUNIT_TEST(LateAttemptEndsOnceALaterOneSucceeds);
  CPPUNIT_TEST(AttemptsBegunAnewUseAPathThatWasCut);
  CPPUNIT_TEST(LateConnectionKeepsALimitThatWasLowered);
  CPPUNIT_TEST(HalfOpenConnectionDoesNotHideARestart);
  CPPUNIT_TEST(HangingAttemptsDoNotHoldUpLaterRequests);
  CPPUNIT_TEST(LoopOutlivesTheObjectsInItsHandlers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a restored path that is not tried (CONFIG).
  void HangingAttemptsDoNotHoldUpLaterRequests() {
    StartServer([](RawConnection&, const std::string&) {});
    server_->FallSilent();
    pool_->SetLimit(2);
    pool_->Send(Request(""));
    for (int i = 0; i < 3; ++i) {
      const ExchangeId second = pool_->Send(Request(""));
      CPPUNIT_ASSERT_EQUAL(2, pool_->connection_count());
      pool_->Cancel(second, absl::ZeroDuration());
      pool_->CloseSurplusAttempts();
      CPPUNIT_ASSERT_EQUAL(1, pool_->connection_count());
    }
  }

  void LoopOutlivesTheObjectsInItsHandlers() {
    const BootClock clock;
    auto loop = std::make_unique<EventLoop>(clock);
    EventLoop& raw = *loop;
    const auto cancel_when_destroyed = [&raw] {
      const TimerId timer = raw.RunAfter(absl::Hours(1), [] {});
      return std::shared_ptr<void>(nullptr,
                                   [&raw, timer](void*) { raw.Cancel(timer); });
    };
    raw.Post([held = cancel_when_destroyed()] {});
    raw.RunAfter(absl::Hours(1), [held = cancel_when_destroyed()] {});
    loop.reset();
  }

  void ReusesConnection() {
    StartServer(
        [](RawConnection& c, const std::string&) { c.Write(OkResponse("a")); });
    CPPUNIT_ASSERT_EQUAL(std::string("a"), SendAndWait()->response.body);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), SendAndWait()->response.body);
    CPPUNIT_ASSERT_EQUAL(1, server_->accepted());
  }

  void ReadsEveryBodyFraming() {
    int round = 0;
    StartServer([&](RawConnection& c, const std::string&) {
      ++round;
      if (round == 1) {
        c.Write(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
      } else if (round == 2) {
        c.Write("HTTP/1.1 100 Continue\r\n\r\n" + OkResponse("abc"));
      } else {
        c.Write("HTTP/1.1 200 OK\r\n\r\nabc");
        c.Close();
      }
    });
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), SendAndWait()->response.body);
    }
  }

  void ResetDuringBodyIsConnectionLost() {
    StartServer([](RawConnection& c, const std::string&) {
      c.Write("HTTP/1.1 200 OK\r\n\r\nhalf");
      c.Reset();
    });
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kConnectionLost);
  }

  void DistinguishesLostFromMalformedResponses() {
    const auto status_after = [this](const std::string& answer) {
      // A new pool each time: a pool backs off after it has lost its first
      // response.
      StartServer([answer](RawConnection& c, const std::string&) {
        c.Write(answer);
        c.Close();
      });
      return SendAndWait()->status;
    };
    CPPUNIT_ASSERT(status_after("") == ExchangeStatus::kConnectionLost);
    CPPUNIT_ASSERT(
        status_after("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort") ==
        ExchangeStatus::kConnectionLost);
    CPPUNIT_ASSERT(status_after("no protocol at all\r\n\r\n") ==
                   ExchangeStatus::kMalformed);
    CPPUNIT_ASSERT(
        status_after("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" +
                     std::string(5000, 'x')) == ExchangeStatus::kMalformed);
  }

  void TrailersAreNotFieldsOfTheHeader() {
    StartServer([](RawConnection& c, const std::string&) {
      c.Write(
          "HTTP/1.1 200 OK\r\nX-First: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
          "1\r\nx\r\n0\r\nX-Stamp: 9\r\n\r\n");
    });
    const auto result = SendAndWait();
    CPPUNIT_ASSERT(result->status == ExchangeStatus::kComplete);
    CPPUNIT_ASSERT(FindHeader(result->response.headers, "X-First") != nullptr);
    CPPUNIT_ASSERT(FindHeader(result->response.headers, "X-Stamp") == nullptr);
  }

  // Guards against input that no limit counts.
  void FramingWithoutEndIsMalformed() {
    for (const char* start : {"1;a=", "1\r\nx\r\n0\r\nX-Trailer: "}) {
      StartServer([start](RawConnection& c, const std::string&) {
        c.Write(absl::StrCat(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", start,
            std::string(100'000, 'x')));
      });
      const auto result = SendAndWait();
      CPPUNIT_ASSERT_MESSAGE(start,
                             result->status == ExchangeStatus::kMalformed);
      CPPUNIT_ASSERT_EQUAL(0, pool_->connection_count());
    }
  }

  void StatusThatTheProtocolLacksIsMalformed() {
    for (const char* status : {"000", "042", "099", "600", "999", "101"}) {
      StartServer([status](RawConnection& c, const std::string&) {
        c.Write(absl::StrReplaceAll(OkResponse("a"), {{"200", status}}));
      });
      const auto result = SendAndWait();
      CPPUNIT_ASSERT_MESSAGE(status,
                             result->status == ExchangeStatus::kMalformed);
      CPPUNIT_ASSERT_EQUAL(0, pool_->connection_count());
    }
  }

  void InterimResponsesAreSkipped() {
    StartServer([](RawConnection& c, const std::string&) {
      c.Write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
      c.Write("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
      c.Write("HTTP/1.1 199 Other\r\n\r\n" + OkResponse("abc"));
    });
    const auto result = SendAndWait();
    CPPUNIT_ASSERT_EQUAL(200, result->response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), result->response.body);
    CPPUNIT_ASSERT_EQUAL(1, pool_->connection_count());
  }

  void RefusedConnectionMeansNotSent() {
    StartServer([](RawConnection&, const std::string&) {});
    server_->Stop();
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kNotSent);
  }

  void DropsResponsesToOtherRequests() {
    StartServer([](RawConnection& c, const std::string&) {
      c.Write(OkResponse("old", "X-Id: 1\r\n") +
              OkResponse("mine", "X-Id: 2\r\n"));
    });
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), SendAndWait("2")->response.body);
  }

  // A faulty server may repeat an earlier response without its identifier
  // (MIXED).
  void DropsResponsesThatLackTheIdentifierOnceEchoed() {
    int round = 0;
    StartServer([&](RawConnection& c, const std::string&) {
      const std::string id = std::to_string(++round);
      if (round > 1) c.Write(OkResponse("repeated"));
      c.Write(OkResponse("of " + id, "X-Id: " + id + "\r\n"));
    });
    for (const std::string id : {"1", "2", "3"}) {
      CPPUNIT_ASSERT_EQUAL("of " + id, SendAndWait(id)->response.body);
    }
    CPPUNIT_ASSERT_EQUAL(1, server_->accepted());
    // A request that expects no identifier takes any response.
    CPPUNIT_ASSERT_EQUAL(std::string("repeated"), SendAndWait()->response.body);
  }

  void DroppedResponseThatEndsTheConnectionLosesTheRequest() {
    int round = 0;
    StartServer([&](RawConnection& c, const std::string&) {
      if (++round == 1) {
        c.Write(OkResponse("of 1", "X-Id: 1\r\n"));
      } else {
        c.Write("HTTP/1.1 200 OK\r\n\r\nto the end");
        c.Close();
      }
    });
    SendAndWait("1");
    CPPUNIT_ASSERT(SendAndWait("2")->status == ExchangeStatus::kConnectionLost);
  }

  void TakesResponsesOfServersThatEchoNoIdentifier() {
    StartServer(
        [](RawConnection& c, const std::string&) { c.Write(OkResponse("a")); });
    for (const std::string id : {"1", "2"}) {
      CPPUNIT_ASSERT_EQUAL(std::string("a"), SendAndWait(id)->response.body);
    }
    CPPUNIT_ASSERT_EQUAL(1, server_->accepted());
  }

  void ClosesConnectionOnUnsolicitedBytes() {
    StartServer([](RawConnection& c, const std::string&) {
      c.Write(OkResponse("a") + OkResponse("stray"));
    });
    CPPUNIT_ASSERT_EQUAL(std::string("a"), SendAndWait()->response.body);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), SendAndWait()->response.body);
    CPPUNIT_ASSERT_EQUAL(2, server_->accepted());
  }

  void ClosesConnectionOnResponseBeforeRequestIsSent() {
    StartServer([](RawConnection& c, const std::string& bytes) {
      if (bytes.find("GET") == 0) c.Write(OkResponse("early"));
    });
    // More than the kernel's socket buffers hold while the server does not
    // read.
    body_ = std::string(64U << 20U, 'x');
    CPPUNIT_ASSERT_EQUAL(std::string("early"), SendAndWait()->response.body);
    CPPUNIT_ASSERT_EQUAL(0, pool_->connection_count());
  }

  void RespectsConnectionLimitAndQueueOrder() {
    std::vector<RawConnection*> waiting;
    StartServer(
        [&](RawConnection& c, const std::string&) { waiting.push_back(&c); });
    pool_->SetLimit(2);
    std::vector<int> order;
    for (int i = 0; i < 4; ++i) {
      PoolRequest request = Request("");
      request.exchange.done = [&order, i](const ExchangeResult&) {
        order.push_back(i);
      };
      pool_->Send(std::move(request));
    }
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return waiting.size() == 2; }));
    RunFor(loop_, absl::Milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(2, server_->accepted());
    for (size_t i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT(RunUntil(loop_, [&] { return waiting.size() > i; }));
      waiting[i]->Write(OkResponse("a"));
      CPPUNIT_ASSERT(RunUntil(loop_, [&] { return order.size() > i; }));
    }
    CPPUNIT_ASSERT_EQUAL(2, server_->accepted());
  }

  void SerializesRequestWhenItIsSent() {
    RawConnection* first = nullptr;
    StartServer([&](RawConnection& c, const std::string&) {
      if (first == nullptr) first = &c;
    });
    pool_->SetLimit(1);
    pool_->Send(Request(""));
    absl::Time serialized_at;
    PoolRequest second = Request("");
    second.exchange.write = [&] {
      serialized_at = loop_.Now();
      return std::string("GET /2 HTTP/1.1\r\n\r\n");
    };
    pool_->Send(std::move(second));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return first != nullptr; }));
    RunFor(loop_, absl::Milliseconds(50));
    const absl::Time freed_at = loop_.Now();
    first->Write(OkResponse("a"));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return serialized_at >= freed_at; }));
  }

  // Guards against writing a body that must not be sent any more (HOME).
  void RequestWithdrawnAtItsSendingLeavesTheConnectionToTheNext() {
    std::vector<std::string> received;
    StartServer([&](RawConnection& c, const std::string& request) {
      received.push_back(request);
      c.Write(OkResponse("a"));
    });
    pool_->SetLimit(1);
    const auto withdrawn = [] { return std::optional<std::string>(); };
    // On a connection that has yet to open, and then on an idle one.
    for (int round = 0; round < 2; ++round) {
      std::optional<ExchangeStatus> status;
      PoolRequest request = Request("");
      request.exchange.write = withdrawn;
      request.exchange.done = [&](const ExchangeResult& result) {
        status = result.status;
      };
      pool_->Send(std::move(request));
      CPPUNIT_ASSERT(!status);
      std::optional<ExchangeStatus> next;
      SendRecordingStatus(next);
      CPPUNIT_ASSERT(RunUntil(loop_, [&] { return status && next; }));
      CPPUNIT_ASSERT(status == ExchangeStatus::kWithdrawn);
      CPPUNIT_ASSERT(next == ExchangeStatus::kComplete);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, received.size());
    CPPUNIT_ASSERT_EQUAL(1, server_->accepted());
  }

  void CancelledRequestThatCompletesKeepsItsConnection() {
    RawConnection* waiting = nullptr;
    int received = 0;
    StartServer([&](RawConnection& c, const std::string&) {
      waiting = &c;
      ++received;
    });
    pool_->SetLimit(1);
    std::optional<ExchangeStatus> status;
    const ExchangeId id = SendRecordingStatus(status);
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return received == 1; }));
    CPPUNIT_ASSERT(!pool_->Cancel(id, absl::Seconds(5)));
    waiting->Write(OkResponse("late"));
    pool_->Send(Request(""));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return received == 2; }));
    CPPUNIT_ASSERT(status == ExchangeStatus::kComplete);
    CPPUNIT_ASSERT_EQUAL(1, server_->accepted());
  }

  void CancelledRequestIsAbortedAfterGracePeriod() {
    RawConnection* waiting = nullptr;
    StartServer([&](RawConnection& c, const std::string&) { waiting = &c; });
    std::optional<ExchangeStatus> status;
    const ExchangeId id = SendRecordingStatus(status);
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return waiting != nullptr; }));
    const absl::Duration grace = absl::Milliseconds(40);
    const absl::Time cancelled_at = loop_.Now();
    pool_->Cancel(id, grace);
    CPPUNIT_ASSERT(!status.has_value());
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return waiting->closed_by_peer(); }));
    CPPUNIT_ASSERT(loop_.Now() - cancelled_at >= grace);
    CPPUNIT_ASSERT(status == ExchangeStatus::kAborted);
  }

  void CancelledQueuedRequestIsNeverSent() {
    int received = 0;
    StartServer([&](RawConnection&, const std::string&) { ++received; });
    pool_->SetLimit(1);
    pool_->Send(Request(""));
    std::optional<ExchangeStatus> status;
    CPPUNIT_ASSERT(
        pool_->Cancel(SendRecordingStatus(status), absl::Seconds(5)));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return status.has_value(); }));
    CPPUNIT_ASSERT(status == ExchangeStatus::kNotSent);
    RunFor(loop_, absl::Milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(1, received);
  }

  void BacksOffFromServerThatResetsConnections() {
    StartServer([](RawConnection& c, const std::string&) { c.Reset(); });
    for (int i = 0; i < 20; ++i) {
      pool_->Send(Request(""));
      RunFor(loop_, absl::Milliseconds(10));
    }
    // At most four connections at first; then backoffs of at least 100 ms and
    // 200 ms.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(server_->accepted()),
                           server_->accepted() <= 4 + 4 + 1);
    std::optional<ExchangeStatus> status;
    SendRecordingStatus(status);
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return status.has_value(); }));
  }

  void SendsNothingOnUnverifiedConnection() {
    // A target still holds connections of hosts that no longer exist and closes
    // new ones. A host that has just started must not send a request on such a
    // connection: one that was never sent can go to another target.
    verify_new_connections_until_ = absl::InfiniteFuture();
    StartServer(
        [](RawConnection& c, const std::string&) { c.Write(OkResponse("a")); });
    server_->ResetNextConnections(1);
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kNotSent);
    RunFor(loop_, absl::Milliseconds(150));
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kComplete);
    CPPUNIT_ASSERT_EQUAL(1, pool_->connection_count());
    // The connection is reused and is not verified again.
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kComplete);
    CPPUNIT_ASSERT_EQUAL(2, server_->accepted());
  }

  void ReplacesConnectionIdleBeyondMaxIdleTime() {
    StartServer(
        [](RawConnection& c, const std::string&) { c.Write(OkResponse("a")); });
    SendAndWait();
    RunFor(loop_, absl::Milliseconds(60));
    max_idle_time_ = absl::Milliseconds(30);
    SendAndWait();
    CPPUNIT_ASSERT_EQUAL(2, server_->accepted());
  }

  void HonoursKeepAliveTimeoutHeader() {
    StartServer([](RawConnection& c, const std::string&) {
      c.Write(OkResponse("a", "Keep-Alive: max=3, timeout=0\r\n"));
    });
    SendAndWait();
    RunFor(loop_, absl::Milliseconds(5));
    SendAndWait();
    CPPUNIT_ASSERT_EQUAL(2, server_->accepted());
  }

  void ServerBeyondTheConnectTimeoutIsConnectedToInTheEnd() {
    StartServerBehindSilentLink(4);
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kNotSent);
    link_->SetState(FakeLink::State::kOpen);
    CPPUNIT_ASSERT(RunUntil(
        loop_, [&] { return pool_->IsConnected(); }, kSynTimeout));
    CPPUNIT_ASSERT_EQUAL(1, pool_->connection_count());
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kComplete);
    CPPUNIT_ASSERT_EQUAL(1, server_->accepted());
  }

  void LateConnectionReplacesTheAttemptBesideItAtTheLimit() {
    StartServerBehindSilentLink(1);
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kNotSent);
    // The attempt beside it begins too late to open before the first one.
    RunFor(loop_, absl::Milliseconds(500));
    std::optional<ExchangeStatus> status;
    SendRecordingStatus(status);
    link_->SetState(FakeLink::State::kOpen);
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return status.has_value(); }));
    CPPUNIT_ASSERT(status == ExchangeStatus::kComplete);
    CPPUNIT_ASSERT_EQUAL(1, pool_->connection_count());
    RunFor(loop_, kSynTimeout);
    CPPUNIT_ASSERT_EQUAL(1, pool_->connection_count());
    CPPUNIT_ASSERT_EQUAL(1, server_->accepted());
  }

  void SilentServerFailsRequestsAtTheTimeoutBesideALateAttempt() {
    StartServerBehindSilentLink(1);
    for (int round = 0; round < 3; ++round) {
      const absl::Time start = loop_.Now();
      CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kNotSent);
      CPPUNIT_ASSERT(loop_.Now() - start < absl::Milliseconds(400));
      CPPUNIT_ASSERT_EQUAL(0, pool_->connection_count());
    }
  }

  void LateAttemptEndsOnceALaterOneSucceeds() {
    StartServerBehindSilentLink(4);
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kNotSent);
    link_->SetState(FakeLink::State::kOpen);
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kComplete);
    RunFor(loop_, kSynTimeout);
    CPPUNIT_ASSERT_EQUAL(1, pool_->connection_count());
    CPPUNIT_ASSERT_EQUAL(1, server_->accepted());
  }

  void AttemptsBegunAnewUseAPathThatWasCut() {
    StartServerBehindSilentLink(4);
    std::optional<ExchangeStatus> status;
    SendRecordingStatus(status);
    RunFor(loop_, absl::Milliseconds(50));
    link_->SetState(FakeLink::State::kOpen);
    pool_->RestartAttempts();
    CPPUNIT_ASSERT(RunUntil(
        loop_, [&] { return status.has_value(); }, absl::Milliseconds(200)));
    CPPUNIT_ASSERT(status == ExchangeStatus::kComplete);
    CPPUNIT_ASSERT_EQUAL(1, pool_->connection_count());
  }

  // Guards against more connections than a target takes.
  void LateConnectionKeepsALimitThatWasLowered() {
    StartServer([](RawConnection&, const std::string&) {});
    link_ = std::make_unique<FakeLink>(loop_, server_->endpoint());
    link_->SetState(FakeLink::State::kOpen);
    StartPool(link_->endpoint(), 2);
    std::optional<ExchangeStatus> first;
    SendRecordingStatus(first);
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return pool_->IsConnected(); }));
    RunFor(loop_, absl::Milliseconds(50));
    link_->SetState(FakeLink::State::kSilent);
    std::optional<ExchangeStatus> second;
    SendRecordingStatus(second);
    RunFor(loop_, absl::Milliseconds(600));
    pool_->SetLimit(1);
    link_->SetState(FakeLink::State::kOpen);
    RunFor(loop_, 2 * kSynTimeout);
    CPPUNIT_ASSERT_EQUAL(1, pool_->connection_count());
  }

  // Guards against a restarted target that is not taken for cold (FAILBACK).
  void HalfOpenConnectionDoesNotHideARestart() {
    ConnectionCounter counter;
    StartServer([](RawConnection&, const std::string&) {});
    link_ = std::make_unique<FakeLink>(loop_, server_->endpoint());
    link_->SetState(FakeLink::State::kOpen);
    StartPool(link_->endpoint(), 2, &counter);
    pool_->Send(Request(""));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return pool_->IsConnected(); }));
    RunFor(loop_, absl::Milliseconds(50));
    link_->SetState(FakeLink::State::kSilent);
    pool_->Send(Request(""));
    RunFor(loop_, absl::Milliseconds(600));
    link_->SetState(FakeLink::State::kOpen);
    RunFor(loop_, 2 * kSynTimeout);
    CPPUNIT_ASSERT_EQUAL(0, counter.late_connected);
    CPPUNIT_ASSERT_EQUAL(2, counter.connected);
    pool_.reset();
  }

 private:
  struct ConnectionCounter : ConnectionPool::Listener {
    void OnConnectFailed(bool /*refused*/) override {}
    void OnClosedBeforeResponse() override {}
    void OnConnected() override { ++connected; }
    void OnLateConnected() override { ++late_connected; }

    int connected = 0;
    int late_connected = 0;
  };

  /// Longer than the time after which the kernel repeats an attempt.
  static constexpr absl::Duration kSynTimeout = absl::Milliseconds(1500);

  void StartServer(RawServer::OnRequest on_request) {
    pool_.reset();
    server_ = std::make_unique<RawServer>(loop_, std::move(on_request));
    StartPool(server_->endpoint(), 4);
  }

  void StartServerBehindSilentLink(int limit) {
    StartServer(
        [](RawConnection& c, const std::string&) { c.Write(OkResponse("a")); });
    link_ = std::make_unique<FakeLink>(loop_, server_->endpoint());
    link_->SetState(FakeLink::State::kSilent);
    StartPool(link_->endpoint(), limit);
  }

  void StartPool(const Endpoint& endpoint, int limit,
                 ConnectionPool::Listener* listener = nullptr) {
    ClientOptions options = Options();
    options.verify_new_connections_until = verify_new_connections_until_;
    pool_ = std::make_unique<ConnectionPool>(loop_, endpoint, options, limit,
                                             listener);
  }

  PoolRequest Request(const std::string& id) {
    PoolRequest request;
    request.exchange.write = [body = body_] {
      return "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    request.exchange.expected_id = id;
    request.exchange.done = [](const ExchangeResult&) {};
    request.max_idle_time = max_idle_time_;
    return request;
  }

  ExchangeId SendRecordingStatus(std::optional<ExchangeStatus>& status) {
    PoolRequest request = Request("");
    request.exchange.done = [&](const ExchangeResult& result) {
      status = result.status;
    };
    return pool_->Send(std::move(request));
  }

  std::optional<ExchangeResult> SendAndWait(const std::string& id = "") {
    std::optional<ExchangeResult> result;
    PoolRequest request = Request(id);
    request.exchange.done = [&](ExchangeResult ended) {
      result = std::move(ended);
    };
    pool_->Send(std::move(request));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return result.has_value(); }));
    return result;
  }

  BootClock clock_;
  EventLoop loop_{clock_};
  std::unique_ptr<RawServer> server_;
  std::unique_ptr<FakeLink> link_;
  std::unique_ptr<ConnectionPool> pool_;
  std::string body_;
  absl::Time verify_new_connections_until_ = absl::InfinitePast();
  absl::Duration max_idle_time_ = absl::InfiniteDuration();
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPoolTest);

}  // namespace cherrydyke::engine
