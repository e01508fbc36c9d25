#include "membership/host_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const absl::Time kSettled = kStart + absl::Seconds(4);

HostNews News(const HostId& from, bool reads = false,
              std::vector<HostAge> hosts = {}, int known_hosts = 1) {
  return {{from, "z"}, known_hosts, reads, std::move(hosts)};
}

HostTable Table(const HostId& self, std::vector<HostId> seeds = {}) {
  return HostTable({self, "z"}, std::move(seeds), HostTable::Options(), kStart);
}

HostId Name(int index) {
  return (index < 10 ? "h0" : "h") + std::to_string(index);
}

}  // namespace

class HostTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostTableTest);
  CPPUNIT_TEST(AssumesManyHostsUntilTheFleetIsKnown);
  CPPUNIT_TEST(HostThatHearsNoSeedIsNotAlone);
  CPPUNIT_TEST(HostWithoutSeedsIsAlone);
  CPPUNIT_TEST(UnheardDomainsHaveAsManyHostsAsTheLargestKnown);
  CPPUNIT_TEST(DomainsThatFellSilentCountAsTheLargestKnown);
  CPPUNIT_TEST(WhoKnowsFewerHostsIsTold);
  CPPUNIT_TEST(NeverDividesByFewerHostsThanEverKnown);
  CPPUNIT_TEST(GossipsWithASeedEvenIfOthersAreLive);
  CPPUNIT_TEST(SilentHostsAreKnownButNotLive);
  CPPUNIT_TEST(FleetFindsItselfThroughOneSeed);
  CPPUNIT_TEST(ReadsUntilAnEarlierHostOfItsGroupDoes);
  CPPUNIT_TEST(TakesOverFromAReaderThatFailsOrFallsSilent);
  CPPUNIT_TEST(HostsOfOtherDomainsDoNotReadForIt);
  CPPUNIT_TEST(FewHostsOfAFleetReadAndAllHearOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AssumesManyHostsUntilTheFleetIsKnown() {
    HostTable table = Table("a", {"b"});
    CPPUNIT_ASSERT_EQUAL(100, table.SharingHosts(kStart));
    table.OnNews(News("b", false, {}, 2), kStart);
    CPPUNIT_ASSERT_EQUAL(100, table.SharingHosts(kStart));
    CPPUNIT_ASSERT_EQUAL(2, table.SharingHosts(kSettled));
  }

  void HostThatHearsNoSeedIsNotAlone() {
    const HostTable table = Table("a", {"b"});
    CPPUNIT_ASSERT_EQUAL(100, table.SharingHosts(kStart + absl::Hours(1)));
  }

  void HostWithoutSeedsIsAlone() {
    HostTable::Options options;
    options.domains = {"y", "z"};
    const HostTable table({"a", "z"}, {"a"}, options, kStart);
    CPPUNIT_ASSERT_EQUAL(100, table.SharingHosts(kStart + absl::Seconds(2)));
    CPPUNIT_ASSERT_EQUAL(2, table.SharingHosts(kSettled));
  }

  void UnheardDomainsHaveAsManyHostsAsTheLargestKnown() {
    HostTable::Options options;
    options.domains = {"x", "y", "z"};
    HostTable table({"a", "z"}, {}, options, kStart);
    for (const absl::Time heard : {kStart, kSettled}) {
      table.OnNews(News("b", false, {{"c", "z", 10}, {"d", "y", 10}}), heard);
    }
    // Three of "z", one of "y", and three for "x".
    CPPUNIT_ASSERT_EQUAL(7, table.SharingHosts(kSettled));
    table.OnNews(News("b", false, {{"e", "x", 10}}), kSettled);
    CPPUNIT_ASSERT_EQUAL(5, table.SharingHosts(kSettled));
  }

  void DomainsThatFellSilentCountAsTheLargestKnown() {
    // A host that started just before a cut was told of one host beyond it.
    HostTable::Options options;
    options.domains = {"y", "z"};
    HostTable table({"a", "z"}, {}, options, kStart);
    for (const absl::Time heard : {kStart, kSettled}) {
      table.OnNews(News("b", false, {{"c", "z", 10}, {"d", "y", 10}}), heard);
    }
    CPPUNIT_ASSERT_EQUAL(4, table.SharingHosts(kSettled));
    const absl::Time silent =
        kSettled + options.domain_silence + absl::Seconds(1);
    CPPUNIT_ASSERT_EQUAL(6, table.SharingHosts(silent));
    // Heard again, it tells how many it knows.
    table.OnNews({{"e", "y"}, 7, false, {}}, silent);
    CPPUNIT_ASSERT_EQUAL(7, table.SharingHosts(silent));
  }

  void WhoKnowsFewerHostsIsTold() {
    HostTable table = Table("a");
    CPPUNIT_ASSERT(table.OnNews(News("b"), kStart));
    CPPUNIT_ASSERT(!table.OnNews(News("b", false, {}, 2), kStart));
    CPPUNIT_ASSERT(table.OnNews(News("c", false, {}, 2), kStart));
  }

  void NeverDividesByFewerHostsThanEverKnown() {
    HostTable table = Table("a");
    table.OnNews(News("b", false, {{"c", "z", 10}, {"d", "y", 90'000}}, 9),
                 kStart);
    CPPUNIT_ASSERT_EQUAL(9, table.SharingHosts(kStart + absl::Hours(1)));
  }

  void GossipsWithASeedEvenIfOthersAreLive() {
    HostTable table = Table("a", {"seed"});
    std::mt19937_64 random(1);
    table.OnNews(News("b"), kStart);
    CPPUNIT_ASSERT(table.GossipTargets(kStart, random) ==
                   (std::vector<HostId>{"b", "seed"}));
  }

  void SilentHostsAreKnownButNotLive() {
    HostTable table = Table("a");
    table.OnNews(News("b", false, {{"old", "z", 60'000}}), kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, table.LivePeers(kStart).size());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, table.KnownHosts().size());
  }

  void FleetFindsItselfThroughOneSeed() {
    std::vector<HostTable> fleet = Fleet(60);
    const absl::Time now = Gossip(fleet, 12);
    for (const HostTable& table : fleet) {
      CPPUNIT_ASSERT_EQUAL(60, table.SharingHosts(now));
    }
  }

  void ReadsUntilAnEarlierHostOfItsGroupDoes() {
    HostTable table = Table("b");
    CPPUNIT_ASSERT(table.ShouldRead(kStart));
    table.OnNews(News("a", false), kStart);
    CPPUNIT_ASSERT(table.ShouldRead(kStart));
    table.OnNews(News("a", true), kStart);
    CPPUNIT_ASSERT(!table.ShouldRead(kStart));
    table.OnNews(News("a", true), kSettled);
    CPPUNIT_ASSERT(!table.ShouldRead(kSettled));
    table.OnNews(News("c", true), kSettled);
    table.OnNews(News("a", false), kSettled);
    CPPUNIT_ASSERT(table.ShouldRead(kSettled));
  }

  void TakesOverFromAReaderThatFailsOrFallsSilent() {
    HostTable table = Table("b");
    table.OnNews(News("a", true), kStart);
    table.OnNews(News("a", true), kSettled);
    CPPUNIT_ASSERT(!table.ShouldRead(kSettled + absl::Seconds(1)));
    CPPUNIT_ASSERT(table.ShouldRead(kSettled + absl::Milliseconds(1400)));
  }

  void HostsOfOtherDomainsDoNotReadForIt() {
    HostTable table = Table("b");
    HostNews news = News("a", true);
    news.from.failure_domain = "y";
    table.OnNews(news, kStart);
    table.OnNews(news, kSettled);
    CPPUNIT_ASSERT(table.ShouldRead(kSettled));
  }

  void FewHostsOfAFleetReadAndAllHearOne() {
    std::vector<HostTable> fleet = Fleet(40);
    const absl::Time now = Gossip(fleet, 30);
    const auto readers = std::count_if(
        fleet.begin(), fleet.end(),
        [&](const HostTable& table) { return table.ShouldRead(now); });
    // One for each group of 16.
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, readers);
  }

 private:
  static std::vector<HostTable> Fleet(int hosts) {
    std::vector<HostTable> fleet;
    for (int i = 0; i < hosts; ++i) fleet.push_back(Table(Name(i), {Name(0)}));
    return fleet;
  }

  // @return when the last round was.
  static absl::Time Gossip(std::vector<HostTable>& fleet, int rounds) {
    std::mt19937_64 random(7);
    absl::Time now = kStart;
    for (int round = 0; round < rounds; ++round) {
      now += absl::Milliseconds(500);
      for (size_t i = 0; i < fleet.size(); ++i) {
        const bool reads = fleet[i].ShouldRead(now);
        const HostNews news =
            News(Name(static_cast<int>(i)), reads, fleet[i].Ages(now, random),
                 static_cast<int>(fleet[i].KnownHosts().size()));
        std::vector<HostId> targets = fleet[i].GossipTargets(now, random);
        if (reads) {
          for (HostId& peer : fleet[i].GroupPeers(now)) {
            targets.push_back(std::move(peer));
          }
        }
        for (const HostId& to : targets) {
          fleet[std::stoul(to.substr(1))].OnNews(news, now);
        }
      }
    }
    return now;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostTableTest);

}  // namespace cherrydyke
