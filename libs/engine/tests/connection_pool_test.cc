#include "engine/connection_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "support/raw_peers.h"

namespace cherrydyke::engine {
namespace {

ClientOptions Options() {
  ClientOptions options;
  options.connect_timeout = absl::Milliseconds(300);
  options.id_header = "X-Id";
  return options;
}

}  // namespace

class ConnectionPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionPoolTest);
  CPPUNIT_TEST(ReusesConnection);
  CPPUNIT_TEST(ReadsEveryBodyFraming);
  CPPUNIT_TEST(ResetDuringBodyIsConnectionLost);
  CPPUNIT_TEST(DistinguishesLostFromMalformedResponses);
  CPPUNIT_TEST(RefusedConnectionMeansNotSent);
  CPPUNIT_TEST(DropsResponsesToOtherRequests);
  CPPUNIT_TEST(ClosesConnectionOnUnsolicitedBytes);
  CPPUNIT_TEST(ClosesConnectionOnResponseBeforeRequestIsSent);
  CPPUNIT_TEST(RespectsConnectionLimitAndQueueOrder);
  CPPUNIT_TEST(SerializesRequestWhenItIsSent);
  CPPUNIT_TEST(CancelledRequestThatCompletesKeepsItsConnection);
  CPPUNIT_TEST(CancelledQueuedRequestIsNeverSent);
  CPPUNIT_TEST(CancelledRequestIsAbortedAfterGracePeriod);
  CPPUNIT_TEST(BacksOffFromServerThatResetsConnections);
  CPPUNIT_TEST(SendsNothingOnUnverifiedConnection);
  CPPUNIT_TEST(ReplacesConnectionIdleBeyondMaxIdleTime);
  CPPUNIT_TEST(HonoursKeepAliveTimeoutHeader);
  CPPUNIT_TEST_SUITE_END();

 public:
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
      // A new pool each, as one that lost its first answer pauses.
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
    // More than the kernel takes while nobody reads.
    body_ = std::string(64U << 20U, 'x');
    CPPUNIT_ASSERT_EQUAL(std::string("early"), SendAndWait()->response.body);
    CPPUNIT_ASSERT_EQUAL(0, pool_->connection_count());
  }

  void RespectsConnectionLimitAndQueueOrder() {
    std::vector<RawConnection*> asking;
    StartServer(
        [&](RawConnection& c, const std::string&) { asking.push_back(&c); });
    pool_->SetLimit(2);
    std::vector<int> order;
    for (int i = 0; i < 4; ++i) {
      PoolRequest request = Request("");
      request.exchange.done = [&order, i](const ExchangeResult&) {
        order.push_back(i);
      };
      pool_->Send(std::move(request));
    }
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return asking.size() == 2; }));
    RunFor(loop_, absl::Milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(2, server_->accepted());
    for (size_t i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT(RunUntil(loop_, [&] { return asking.size() > i; }));
      asking[i]->Write(OkResponse("a"));
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
    absl::Time written;
    PoolRequest second = Request("");
    second.exchange.write = [&] {
      written = loop_.Now();
      return std::string("GET /2 HTTP/1.1\r\n\r\n");
    };
    pool_->Send(std::move(second));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return first != nullptr; }));
    RunFor(loop_, absl::Milliseconds(50));
    const absl::Time freed = loop_.Now();
    first->Write(OkResponse("a"));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return written >= freed; }));
  }

  void CancelledRequestThatCompletesKeepsItsConnection() {
    RawConnection* asking = nullptr;
    int asked = 0;
    StartServer([&](RawConnection& c, const std::string&) {
      asking = &c;
      ++asked;
    });
    pool_->SetLimit(1);
    std::optional<ExchangeStatus> status;
    const ExchangeId id = SendRecordingStatus(status);
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return asked == 1; }));
    pool_->Cancel(id, absl::Seconds(5));
    asking->Write(OkResponse("late"));
    pool_->Send(Request(""));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return asked == 2; }));
    CPPUNIT_ASSERT(status == ExchangeStatus::kComplete);
    CPPUNIT_ASSERT_EQUAL(1, server_->accepted());
  }

  void CancelledRequestIsAbortedAfterGracePeriod() {
    RawConnection* asking = nullptr;
    StartServer([&](RawConnection& c, const std::string&) { asking = &c; });
    std::optional<ExchangeStatus> status;
    const ExchangeId id = SendRecordingStatus(status);
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return asking != nullptr; }));
    pool_->Cancel(id, absl::Milliseconds(40));
    RunFor(loop_, absl::Milliseconds(20));
    CPPUNIT_ASSERT(!status.has_value());
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return asking->closed_by_peer(); }));
    CPPUNIT_ASSERT(status == ExchangeStatus::kAborted);
  }

  void CancelledQueuedRequestIsNeverSent() {
    int asked = 0;
    StartServer([&](RawConnection&, const std::string&) { ++asked; });
    pool_->SetLimit(1);
    pool_->Send(Request(""));
    std::optional<ExchangeStatus> status;
    pool_->Cancel(SendRecordingStatus(status), absl::Seconds(5));
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return status.has_value(); }));
    CPPUNIT_ASSERT(status == ExchangeStatus::kNotSent);
    RunFor(loop_, absl::Milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(1, asked);
  }

  void BacksOffFromServerThatResetsConnections() {
    StartServer([](RawConnection& c, const std::string&) { c.Reset(); });
    for (int i = 0; i < 20; ++i) {
      pool_->Send(Request(""));
      RunFor(loop_, absl::Milliseconds(10));
    }
    // Four at first; then pauses of 100 ms and 200 ms at least.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(server_->accepted()),
                           server_->accepted() <= 4 + 4 + 1);
    std::optional<ExchangeStatus> status;
    SendRecordingStatus(status);
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return status.has_value(); }));
  }

  void SendsNothingOnUnverifiedConnection() {
    // A target full of connections of hosts that are gone, at a host that has
    // just started: what never left it may go elsewhere for free.
    verify_new_connections_until_ = absl::InfiniteFuture();
    StartServer(
        [](RawConnection& c, const std::string&) { c.Write(OkResponse("a")); });
    server_->TurnAway(1);
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kNotSent);
    RunFor(loop_, absl::Milliseconds(150));
    CPPUNIT_ASSERT(SendAndWait()->status == ExchangeStatus::kComplete);
    CPPUNIT_ASSERT_EQUAL(1, pool_->connection_count());
    // The connection is kept, and proved just once.
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

 private:
  void StartServer(RawServer::OnRequest on_request) {
    pool_.reset();
    server_ = std::make_unique<RawServer>(loop_, std::move(on_request));
    ClientOptions options = Options();
    options.verify_new_connections_until = verify_new_connections_until_;
    pool_ = std::make_unique<ConnectionPool>(loop_, server_->endpoint(),
                                             options, 4, nullptr);
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
  std::unique_ptr<ConnectionPool> pool_;
  std::string body_;
  absl::Time verify_new_connections_until_ = absl::InfinitePast();
  absl::Duration max_idle_time_ = absl::InfiniteDuration();
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPoolTest);

}  // namespace cherrydyke::engine
