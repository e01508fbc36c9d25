#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "support/raw_peers.h"
#include "tier/fleet_gossip.h"
#include "tier/transfer_message.h"

namespace cherrydyke {

/// A host that fetches published items from peers.
class SlowTransfersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowTransfersTest);
  CPPUNIT_TEST(TransferOnASlowPathArrives);
  CPPUNIT_TEST(TransferInPartsOnASlowPathArrives);
  CPPUNIT_TEST(AnotherPeerIsAskedBesideLateOnes);
  CPPUNIT_TEST(SilentPeersDoNotBlockFurtherOnes);
  CPPUNIT_TEST(SilentPeerIsAskedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TransferOnASlowPathArrives() {
    AddPeer(absl::Seconds(2));
    CPPUNIT_ASSERT(FetchUntilComplete({0}, absl::Seconds(4)));
    CPPUNIT_ASSERT(peers_[0]->requests <= 2);
  }

  void TransferInPartsOnASlowPathArrives() {
    AddPeer(absl::Seconds(2));
    peers_[0]->in_parts = true;
    CPPUNIT_ASSERT(FetchUntilComplete({0}, absl::Seconds(6)));
  }

  void AnotherPeerIsAskedBesideLateOnes() {
    AddPeer(absl::Hours(1));
    AddPeer(absl::ZeroDuration());
    CPPUNIT_ASSERT(FetchUntilComplete({0, 1}, absl::Seconds(1)));
  }

  void SilentPeersDoNotBlockFurtherOnes() {
    constexpr int kSilentPeers = 6;
    for (int peer = 0; peer < kSilentPeers; ++peer) {
      AddPeer(absl::Hours(1));
      Fetch({peer});
      RunFor(loop_, absl::Milliseconds(720));
      CPPUNIT_ASSERT_EQUAL(1, peers_[peer]->requests);
    }
    AddPeer(absl::ZeroDuration());
    CPPUNIT_ASSERT(FetchUntilComplete({kSilentPeers}, absl::Milliseconds(100)));
  }

  void SilentPeerIsAskedAgain() {
    AddPeer(absl::Hours(1));
    Fetch({0});
    RunFor(loop_, absl::Milliseconds(100));
    peers_[0]->delay = absl::ZeroDuration();
    CPPUNIT_ASSERT(FetchUntilComplete({0}, absl::Milliseconds(2200)));
  }

  void tearDown() override {
    gossip_.reset();
    peers_.clear();
  }

 private:
  static constexpr Revision kRevision = 7;

  struct Peer {
    Peer(engine::EventLoop& loop, const Endpoint& endpoint)
        : timers(loop),
          server(
              loop,
              [this](RawConnection& connection, const std::string& bytes) {
                OnRequest(connection, bytes);
              },
              endpoint) {}

    void OnRequest(RawConnection& connection, const std::string& /*bytes*/) {
      ++requests;
      const PublishedChanges changes = {
          {{"key", "value", kRevision, false}}, {{}, kRevision}, true};
      const std::string response = OkResponse(
          EncodeTransferMessage({changes, changes, absl::InfiniteDuration()}));
      if (!in_parts) {
        timers.RunAfter(
            delay, [&connection, response] { connection.Write(response); });
        return;
      }
      const size_t half = response.size() / 2;
      connection.Write(response.substr(0, half));
      timers.RunAfter(delay, [&connection, rest = response.substr(half)] {
        connection.Write(rest);
      });
    }

    absl::Duration delay;
    bool in_parts = false;
    int requests = 0;
    engine::TimerScope timers;
    RawServer server;
  };

  static HostId Host(size_t index) {
    return "127.0.5." + std::to_string(index + 2);
  }

  void AddPeer(absl::Duration delay) {
    peers_.push_back(std::make_unique<Peer>(
        loop_, Host(peers_.size()) + ":" + std::to_string(port_)));
    peers_.back()->delay = delay;
    if (port_ != 0) return;
    const Endpoint& endpoint = peers_.back()->server.endpoint();
    port_ = std::stoi(endpoint.substr(endpoint.rfind(':') + 1));
    gossip_ = std::make_unique<FleetGossip>(
        loop_, FleetGossip::Options{self_, port_}, hosts_, crashes_, config_,
        targets_, freshness_);
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
  }

  void Fetch(const std::vector<int>& peers) {
    for (const int peer : peers) gossip_->FetchFrom(Host(peer));
  }

  /// Fetches as often as peers tell that they have newer items.
  bool FetchUntilComplete(const std::vector<int>& peers, absl::Duration limit) {
    engine::TimerScope timers(loop_);
    Fetch(peers);
    timers.Every(absl::Milliseconds(20), [&] { Fetch(peers); });
    return RunUntil(
        loop_, [&] { return config_.complete_revision() == kRevision; }, limit);
  }

  BootClock clock_;
  engine::EventLoop loop_{clock_};
  const KnownHost self_ = {"127.0.5.1", "a"};
  HostTable hosts_{self_, {}, HostTable::Options(), loop_.Now()};
  CrashTracker crashes_;
  PublishedItems config_;
  PublishedItems targets_;
  PublishedFreshness freshness_{{}, loop_.Now()};
  std::vector<std::unique_ptr<Peer>> peers_;
  std::unique_ptr<FleetGossip> gossip_;
  int port_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowTransfersTest);

}  // namespace cherrydyke
