#include "membership/host_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

}  // namespace

class HostTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostTableTest);
  CPPUNIT_TEST(AssumesManyHostsUntilTheFleetIsKnown);
  CPPUNIT_TEST(NeverDividesByFewerHostsThanEverKnown);
  CPPUNIT_TEST(GossipsWithASeedEvenIfOthersAreLive);
  CPPUNIT_TEST(SilentHostsAreKnownButNotLive);
  CPPUNIT_TEST(FleetFindsItselfThroughOneSeed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AssumesManyHostsUntilTheFleetIsKnown() {
    HostTable table("a", {"b"}, HostTable::Options());
    CPPUNIT_ASSERT_EQUAL(16, table.SharingHosts(kStart));
    table.OnGossip("b", {}, 2, kStart);
    CPPUNIT_ASSERT_EQUAL(16, table.SharingHosts(kStart));
    CPPUNIT_ASSERT_EQUAL(2, table.SharingHosts(kStart + absl::Seconds(5)));
  }

  void NeverDividesByFewerHostsThanEverKnown() {
    HostTable table("a", {}, HostTable::Options());
    table.OnGossip("b", {{"c", 10}, {"d", 90'000}}, 9, kStart);
    CPPUNIT_ASSERT_EQUAL(9, table.SharingHosts(kStart + absl::Hours(1)));
  }

  void GossipsWithASeedEvenIfOthersAreLive() {
    HostTable table("a", {"seed"}, HostTable::Options());
    std::mt19937_64 random(1);
    table.OnGossip("b", {}, 2, kStart);
    const std::vector<HostId> targets = table.GossipTargets(kStart, random);
    CPPUNIT_ASSERT(targets == (std::vector<HostId>{"b", "seed"}));
  }

  void SilentHostsAreKnownButNotLive() {
    HostTable table("a", {}, HostTable::Options());
    table.OnGossip("b", {{"old", 60'000}}, 3, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, table.LivePeers(kStart).size());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, table.KnownHosts().size());
  }

  void FleetFindsItselfThroughOneSeed() {
    constexpr int kHosts = 60;
    std::mt19937_64 random(7);
    std::vector<HostTable> fleet;
    for (int i = 0; i < kHosts; ++i) {
      fleet.emplace_back("h" + std::to_string(i), std::vector<HostId>{"h0"},
                         HostTable::Options());
    }
    absl::Time now = kStart;
    for (int round = 0; round < 12; ++round) {
      now += absl::Milliseconds(500);
      for (int i = 0; i < kHosts; ++i) {
        const HostId self = "h" + std::to_string(i);
        const auto ages = fleet[i].Ages(now, random);
        const int known = static_cast<int>(fleet[i].KnownHosts().size());
        for (const HostId& to : fleet[i].GossipTargets(now, random)) {
          fleet[std::stoi(to.substr(1))].OnGossip(self, ages, known, now);
        }
      }
    }
    for (HostTable& table : fleet) {
      CPPUNIT_ASSERT_EQUAL(kHosts, table.SharingHosts(now));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostTableTest);

}  // namespace cherrydyke
