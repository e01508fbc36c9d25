#include "tier/fleet_gossip.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "support/log_capture.h"
#include "support/raw_peers.h"
#include "tier/transfer_message.h"

namespace cherrydyke {
namespace {

constexpr SourceEra kFirstEra;
constexpr SourceEra kLaterEra = {0, 1};
const KnownHost kSelf = {"127.0.6.1", "a"};
const KnownHost kPeer = {"127.0.6.2", "a"};

TransferMessage Transfer(PublishedVersion version, bool is_snapshot) {
  const PublishedChanges changes = {
      {{"key", version.ToString(), version.revision, false}},
      version,
      is_snapshot};
  return {changes, changes, absl::InfiniteDuration()};
}

/// Another host, whose messages and transfers are written by the test.
class ScriptedPeer {
 public:
  explicit ScriptedPeer(engine::EventLoop& loop)
      : timers_(loop),
        datagrams_(loop, [](const std::string&) {}),
        server_(
            loop,
            [this](RawConnection& connection, const std::string& request) {
              requests_.push_back(request);
              timers_.RunAfter(delay_, [this, &connection] {
                connection.Write(OkResponse(EncodeTransferMessage(transfer_)));
              });
            },
            kPeer.host + ":0") {
    const Endpoint& endpoint = server_.endpoint();
    port_ = std::stoi(endpoint.substr(endpoint.rfind(':') + 1));
    CPPUNIT_ASSERT(GetError(datagrams_.Bind(endpoint)) == nullptr);
  }

  /// Sends gossip.
  void Tell(PublishedVersion known_until) {
    GossipMessage message;
    message.membership_update.from = kPeer;
    message.known_until = known_until;
    datagrams_.Send(kSelf.host + ":" + std::to_string(port_),
                    EncodeGossipMessage(message));
  }
  void set_transfer(TransferMessage transfer) {
    transfer_ = std::move(transfer);
  }
  void set_delay(absl::Duration delay) { delay_ = delay; }

  int port() const { return port_; }
  const std::vector<std::string>& requests() const { return requests_; }

 private:
  engine::TimerScope timers_;
  engine::DatagramSocket datagrams_;
  TransferMessage transfer_;
  absl::Duration delay_;
  std::vector<std::string> requests_;
  int port_ = 0;
  RawServer server_;
};

}  // namespace

/// A host whose configuration service comes back from an older copy.
class FleetGossipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetGossipTest);
  CPPUNIT_TEST(TransferOfALaterEraReplacesTheItems);
  CPPUNIT_TEST(FirstItemsAreNotLoggedAsOfALaterEra);
  CPPUNIT_TEST(ChangesOfALaterEraAloneAreRefused);
  CPPUNIT_TEST(PeerOfAnEarlierEraIsNotAsked);
  CPPUNIT_TEST(TransferOfAnEarlierEraIsDropped);
  CPPUNIT_TEST(RequestWithoutEraIsOfTheFirstOne);
  CPPUNIT_TEST(TransferIsEncodedForEachEra);
  CPPUNIT_TEST(RequestWithMalformedEraIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    peer_ = std::make_unique<ScriptedPeer>(loop_);
    gossip_ = std::make_unique<FleetGossip>(
        loop_, FleetGossip::Options{kSelf, peer_->port()}, hosts_, crashes_,
        config_, targets_, freshness_);
    server_ = std::make_unique<engine::HttpServer>(
        loop_, [] { return engine::ServerLimits(); },
        [this](const std::shared_ptr<engine::ServerExchange>& exchange) {
          gossip_->ServeTransfer(*exchange);
        });
    FleetGossip::Callbacks callbacks;
    callbacks.on_published_changed = [](bool, bool) {};
    callbacks.on_hosts_changed = [] {};
    callbacks.is_reading = [] { return false; };
    callbacks.source_recovery_age = [] { return absl::InfiniteDuration(); };
    callbacks.on_source_recovered = [](absl::Duration) {};
    callbacks.take_health_reports = [](size_t) {
      return std::vector<TargetHealthReport>();
    };
    callbacks.on_quarantined = [](uint64_t) {};
    callbacks.on_health_reports = [](const std::vector<TargetHealthReport>&) {};
    CPPUNIT_ASSERT(GetError(gossip_->Start(std::move(callbacks))) == nullptr);
    CPPUNIT_ASSERT(GetError(server_->Listen(OwnEndpoint())) == nullptr);
  }

  void tearDown() override {
    server_.reset();
    gossip_.reset();
    peer_.reset();
  }

  void TransferOfALaterEraReplacesTheItems() {
    const LogCapture log;
    Publish({kFirstEra, 9});
    peer_->set_transfer(Transfer({kLaterEra, 5}, true));
    peer_->Tell({kLaterEra, 5});
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return IsKnown({kLaterEra, 5}); }));

    CPPUNIT_ASSERT_EQUAL(size_t{1}, peer_->requests().size());
    const std::string& request = peer_->requests().front();
    CPPUNIT_ASSERT_EQUAL(std::string("0.0"),
                         HeaderOf(request, "Published-Era"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, request.find("GET /published/9/9 "));
    CPPUNIT_ASSERT_EQUAL(std::string("0.1/5"), config_.Find("key")->value);

    const auto lines =
        log.LinesOf("published items are of a later era of the store");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lines.size());
    const nlohmann::json& line = lines.front();
    CPPUNIT_ASSERT(line.at("peer") == kPeer.host);
    CPPUNIT_ASSERT(line.at("era_before") == "0.0");
    CPPUNIT_ASSERT(line.at("revision_before") == 9);
    CPPUNIT_ASSERT(line.at("era") == "0.1");
    CPPUNIT_ASSERT(line.at("revision") == 5);
    CPPUNIT_ASSERT(line.at("config_items") == 1);
    CPPUNIT_ASSERT(line.at("target_items") == 1);
    // A key that the restored service lacks.
    CPPUNIT_ASSERT(line.at("config_retained") == 1);
    CPPUNIT_ASSERT(line.at("targets_retained") == 0);
    const auto fetched = log.LinesOf("published items fetched from peer");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fetched.size());
    CPPUNIT_ASSERT(fetched.front().at("era") == "0.1");
  }

  void FirstItemsAreNotLoggedAsOfALaterEra() {
    const LogCapture log;
    peer_->set_transfer(Transfer({{3, 0}, 5}, true));
    peer_->Tell({{3, 0}, 5});
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return IsKnown({{3, 0}, 5}); }));
    CPPUNIT_ASSERT(
        log.LinesOf("published items are of a later era of the store").empty());
  }

  void ChangesOfALaterEraAloneAreRefused() {
    const LogCapture log;
    Publish({kFirstEra, 9});
    peer_->set_transfer(Transfer({kLaterEra, 10}, false));
    peer_->Tell({kLaterEra, 10});
    CPPUNIT_ASSERT(RunUntil(
        loop_, [&] { return !log.LinesOf("no news from peer").empty(); }));
    CPPUNIT_ASSERT(IsKnown({kFirstEra, 9}));
  }

  void PeerOfAnEarlierEraIsNotAsked() {
    Publish({kLaterEra, 3});
    peer_->Tell({kFirstEra, 9});
    RunFor(loop_, absl::Milliseconds(200));
    // As for a request that a newer configuration admitted there.
    gossip_->FetchFrom(kPeer.host);
    RunFor(loop_, absl::Seconds(1));
    CPPUNIT_ASSERT(peer_->requests().empty());
    CPPUNIT_ASSERT(gossip_->behind_since() == absl::InfiniteFuture());
  }

  void TransferOfAnEarlierEraIsDropped() {
    const LogCapture log;
    Publish({kFirstEra, 5});
    peer_->set_delay(absl::Milliseconds(200));
    peer_->set_transfer(Transfer({kFirstEra, 9}, true));
    peer_->Tell({kFirstEra, 9});
    CPPUNIT_ASSERT(
        RunUntil(loop_, [&] { return peer_->requests().size() == 1; }));
    Publish({kLaterEra, 3});
    const auto dropped = [&log] {
      return log.LinesOf("published items of an earlier era dropped");
    };
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return !dropped().empty(); }));
    CPPUNIT_ASSERT(IsKnown({kLaterEra, 3}));
    CPPUNIT_ASSERT_EQUAL(std::string("0.1/3"), config_.Find("key")->value);

    const nlohmann::json line = dropped().front();
    CPPUNIT_ASSERT(line.at("peer") == kPeer.host);
    CPPUNIT_ASSERT(line.at("era") == "0.0");
    CPPUNIT_ASSERT(line.at("revision") == 9);
    CPPUNIT_ASSERT(line.at("own_era") == "0.1");
    CPPUNIT_ASSERT(line.at("own_revision") == 3);
    CPPUNIT_ASSERT(log.LinesOf("published items fetched from peer").empty());
  }

  // Hosts of earlier versions send none.
  void RequestWithoutEraIsOfTheFirstOne() {
    Publish({kFirstEra, 9});
    CPPUNIT_ASSERT(GetTransfer("/published/9/9", {}).config.items.empty());
    Publish({kLaterEra, 9});
    const TransferMessage transfer = GetTransfer("/published/9/9", {});
    CPPUNIT_ASSERT(transfer.config.is_snapshot);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, transfer.config.items.size());
    CPPUNIT_ASSERT(transfer.config.as_of == PublishedVersion({kLaterEra, 9}));
    CPPUNIT_ASSERT(transfer.targets.is_snapshot);
  }

  void TransferIsEncodedForEachEra() {
    Publish({kLaterEra, 9});
    const std::vector<engine::HttpHeader> later = {{"Published-Era", "0.1"}};
    const std::vector<engine::HttpHeader> first = {{"Published-Era", "0.0"}};
    for (int i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT(GetTransfer("/published/9/9", first).config.is_snapshot);
      CPPUNIT_ASSERT(!GetTransfer("/published/9/9", later).config.is_snapshot);
    }
    Publish({{0, 2}, 9});
    CPPUNIT_ASSERT(GetTransfer("/published/9/9", later).config.as_of ==
                   PublishedVersion({{0, 2}, 9}));
  }

  void RequestWithMalformedEraIsRejected() {
    for (const std::string era :
         {"", "1", "1.", ".1", "1.2.3", "a.b", "-1.0", "0.-1",
          "0.99999999999999999999", "99999999999999999999.0",
          "0.9000000000000000000", "9000000000000000000.0"}) {
      CPPUNIT_ASSERT_EQUAL(
          400, Get("/published/0/0", {{"Published-Era", era}}).status);
    }
    CPPUNIT_ASSERT_EQUAL(
        200, Get("/published/0/0", {{"Published-Era", "7.2"}}).status);
  }

 private:
  Endpoint OwnEndpoint() const {
    return kSelf.host + ":" + std::to_string(peer_->port());
  }

  /// Merges a listing of the configuration service. From the first era on, it
  /// has a key that is lost later.
  void Publish(PublishedVersion version) {
    std::vector<PublishedItem> items = {
        {"key", version.ToString(), version.revision, false}};
    targets_.MergeSnapshot(items, version);
    if (version.era == kFirstEra) items.push_back({"lost", "", 1, false});
    config_.MergeSnapshot(items, version);
  }

  bool IsKnown(PublishedVersion version) const {
    return config_.known_until() == version &&
           targets_.known_until() == version;
  }

  engine::HttpResponse Get(const std::string& path,
                           const std::vector<engine::HttpHeader>& headers) {
    engine::AsyncHttpClient client(loop_, OwnEndpoint(), absl::Seconds(1));
    Result<engine::HttpResponse> response = Error();
    bool is_done = false;
    client.Get(path, headers,
               {absl::Seconds(5), absl::Seconds(5), absl::Seconds(5)},
               [&](Result<engine::HttpResponse> result) {
                 response = std::move(result);
                 is_done = true;
               });
    CPPUNIT_ASSERT(RunUntil(loop_, [&] { return is_done; }));
    CPPUNIT_ASSERT(GetError(response) == nullptr);
    return GetValue(response);
  }

  TransferMessage GetTransfer(const std::string& path,
                              const std::vector<engine::HttpHeader>& headers) {
    const Result<TransferMessage> decoded =
        DecodeTransferMessage(Get(path, headers).body);
    CPPUNIT_ASSERT(GetError(decoded) == nullptr);
    return GetValue(decoded);
  }

  BootClock clock_;
  engine::EventLoop loop_{clock_};
  HostTable hosts_{kSelf, {}, HostTable::Options(), loop_.Now()};
  CrashTracker crashes_;
  PublishedItems config_{{true, false}};
  PublishedItems targets_;
  PublishedFreshness freshness_{{}, loop_.Now()};
  std::unique_ptr<ScriptedPeer> peer_;
  std::unique_ptr<FleetGossip> gossip_;
  std::unique_ptr<engine::HttpServer> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetGossipTest);

}  // namespace cherrydyke
