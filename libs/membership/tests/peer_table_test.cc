#include "membership/peer_table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "membership/rendezvous.h"

namespace cherrydyke {
namespace {

HostList MakeHostList(int hosts) {
  HostList list{1, {}};
  for (int h = 0; h < hosts; ++h) {
    list.hosts.push_back(
        {"h" + std::to_string(h), HostKind::kEntry, "Sofia", "127.0.0.1", {}});
  }
  return list;
}

Heartbeat HeartbeatOf(const DaemonId& id) {
  Heartbeat heartbeat;
  heartbeat.host = id.host;
  heartbeat.kind = id.kind;
  heartbeat.incarnation = 1;
  return heartbeat;
}

}  // namespace

class PeerTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTableTest);
  CPPUNIT_TEST(TwoDaemonsPerDomainWatch);
  CPPUNIT_TEST(OthersWatchWhenWatchersTimeOut);
  CPPUNIT_TEST(HeartbeatsReachAllOfASmallDomain);
  CPPUNIT_TEST(RemovalMovesOnlyResourcesOfTheRemovedHost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TwoDaemonsPerDomainWatch() {
    for (const int hosts : {1, 2, 8, 60}) {
      CPPUNIT_ASSERT_EQUAL(2, CountWatchers(hosts, {}));
    }
  }

  void OthersWatchWhenWatchersTimeOut() {
    const std::set<DaemonId> first = Watchers(8, {});
    const std::set<DaemonId> next = Watchers(8, first);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, next.size());
    for (const DaemonId& watcher : next) {
      CPPUNIT_ASSERT(first.count(watcher) == 0);
    }
  }

  void HeartbeatsReachAllOfASmallDomain() {
    PeerTable table({"h0", DaemonKind::kGate}, "Sofia", {});
    table.OnHostList(MakeHostList(3));
    std::mt19937_64 random(1);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, table.HeartbeatPeers(random).size());
    table.OnHostList(MakeHostList(200));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, table.HeartbeatPeers(random).size());
  }

  void RemovalMovesOnlyResourcesOfTheRemovedHost() {
    CPPUNIT_ASSERT(rc::check("removing a host moves only its own share", [] {
      std::vector<HostId> hosts;
      const int count = *rc::gen::inRange(2, 30);
      for (int h = 0; h < count; ++h) hosts.push_back("h" + std::to_string(h));
      const HostId removed = hosts[*rc::gen::inRange<size_t>(0, hosts.size())];
      std::vector<HostId> rest = hosts;
      rest.erase(std::find(rest.begin(), rest.end(), removed));
      for (int t = 0; t < 50; ++t) {
        const std::string target = "t" + std::to_string(t);
        const HostId before = RendezvousWinner(target, hosts);
        RC_ASSERT(before == RankByRendezvous(target, hosts).front());
        if (before != removed) {
          RC_ASSERT(RendezvousWinner(target, rest) == before);
        }
      }
    }));
  }

 private:
  static std::set<DaemonId> Watchers(int hosts,
                                     const std::set<DaemonId>& failed) {
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    std::vector<DaemonId> all;
    for (int h = 0; h < hosts; ++h) {
      all.push_back({"h" + std::to_string(h), DaemonKind::kEntry});
      all.push_back({"h" + std::to_string(h), DaemonKind::kGate});
    }
    std::set<DaemonId> watchers;
    for (const DaemonId& self : all) {
      if (failed.count(self) > 0) continue;
      PeerTable table(self, "Sofia", {});
      table.OnHostList(MakeHostList(hosts));
      for (const DaemonId& peer : all) {
        const bool has_failed = failed.count(peer) > 0;
        table.OnHeartbeat(HeartbeatOf(peer),
                          has_failed ? now - absl::Seconds(5) : now);
      }
      if (table.ShouldWatch(now)) watchers.insert(self);
    }
    return watchers;
  }

  static int CountWatchers(int hosts, const std::set<DaemonId>& failed) {
    return static_cast<int>(Watchers(hosts, failed).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTableTest);

}  // namespace cherrydyke
