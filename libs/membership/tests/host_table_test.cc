#include "membership/host_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <set>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const absl::Time kSettled = kStart + absl::Seconds(4);

constexpr NewsRole kFollows = NewsRole::kFollows;
constexpr NewsRole kReads = NewsRole::kReads;

HostNews News(const HostId& from, NewsRole role = kFollows,
              std::vector<HostAge> hosts = {}, int known_hosts = 1) {
  return {{from, "z"}, known_hosts, role, std::move(hosts)};
}

HostTable Table(const HostId& self, std::vector<HostId> seeds = {}) {
  return HostTable({self, "z"}, std::move(seeds), HostTable::Options(), kStart);
}

HostId Name(int index) {
  const std::string number = std::to_string(index);
  return "h" + std::string(3 - number.size(), '0') + number;
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
  CPPUNIT_TEST(OneHostOfADomainReadsAndAllAreTold);
  CPPUNIT_TEST(ReadersOfALargeFleetStayTheSame);
  CPPUNIT_TEST(NextHostTakesOverAndTheRestStayTold);
  CPPUNIT_TEST(FewAskAServiceThatDoesNotAnswer);
  CPPUNIT_TEST(AllAskWhereNothingWasHeardForLong);
  CPPUNIT_TEST(ReadersTellTheFirstHostsOfOtherDomains);
  CPPUNIT_TEST(DomainWithoutAnswersForwardsWhatForeignReadersTell);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AssumesManyHostsUntilTheFleetIsKnown() {
    HostTable table = Table("a", {"b"});
    CPPUNIT_ASSERT_EQUAL(100, table.SharingHosts(kStart));
    table.OnNews(News("b", kFollows, {}, 2), kStart);
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
      table.OnNews(News("b", kFollows, {{"c", "z", 10}, {"d", "y", 10}}),
                   heard);
    }
    // Three of "z", one of "y", and three for "x".
    CPPUNIT_ASSERT_EQUAL(7, table.SharingHosts(kSettled));
    table.OnNews(News("b", kFollows, {{"e", "x", 10}}), kSettled);
    CPPUNIT_ASSERT_EQUAL(5, table.SharingHosts(kSettled));
  }

  void DomainsThatFellSilentCountAsTheLargestKnown() {
    // A host that started just before a cut was told of one host beyond it.
    HostTable::Options options;
    options.domains = {"y", "z"};
    HostTable table({"a", "z"}, {}, options, kStart);
    for (const absl::Time heard : {kStart, kSettled}) {
      table.OnNews(News("b", kFollows, {{"c", "z", 10}, {"d", "y", 10}}),
                   heard);
    }
    CPPUNIT_ASSERT_EQUAL(4, table.SharingHosts(kSettled));
    const absl::Time silent =
        kSettled + options.domain_silence + absl::Seconds(1);
    CPPUNIT_ASSERT_EQUAL(6, table.SharingHosts(silent));
    // Heard again, it tells how many it knows.
    table.OnNews({{"e", "y"}, 7, kFollows, {}}, silent);
    CPPUNIT_ASSERT_EQUAL(7, table.SharingHosts(silent));
  }

  void WhoKnowsFewerHostsIsTold() {
    HostTable table = Table("a");
    CPPUNIT_ASSERT(table.OnNews(News("b"), kStart));
    CPPUNIT_ASSERT(!table.OnNews(News("b", kFollows, {}, 2), kStart));
    CPPUNIT_ASSERT(table.OnNews(News("c", kFollows, {}, 2), kStart));
  }

  void NeverDividesByFewerHostsThanEverKnown() {
    HostTable table = Table("a");
    table.OnNews(News("b", kFollows, {{"c", "z", 10}, {"d", "y", 90'000}}, 9),
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
    table.OnNews(News("b", kFollows, {{"old", "z", 60'000}}), kStart);
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
    CPPUNIT_ASSERT(table.ShouldRead(false, kStart));
    table.OnNews(News("a", NewsRole::kTries), kStart);
    CPPUNIT_ASSERT(table.ShouldRead(false, kStart));
    table.OnNews(News("a", kReads), kStart);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kStart));
    table.OnNews(News("a", kReads), kSettled);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kSettled));
    table.OnNews(News("c", kReads), kSettled);
    table.OnNews(News("a", NewsRole::kTries), kSettled);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kSettled));
    const absl::Time its_turn = kSettled + HostTable::Options().takeover_step;
    CPPUNIT_ASSERT(table.ShouldRead(false, its_turn));
  }

  void TakesOverFromAReaderThatFailsOrFallsSilent() {
    HostTable table = Table("b");
    table.OnNews(News("a", kReads), kStart);
    table.OnNews(News("a", kReads), kSettled);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kSettled + absl::Seconds(1)));
    CPPUNIT_ASSERT(
        table.ShouldRead(false, kSettled + absl::Milliseconds(1400)));
  }

  void HostsOfOtherDomainsDoNotReadForIt() {
    HostTable table = Table("b");
    HostNews news = News("a", kReads);
    news.from.failure_domain = "y";
    table.OnNews(news, kStart);
    table.OnNews(news, kSettled);
    CPPUNIT_ASSERT(table.ShouldRead(false, kSettled));
  }

  void OneHostOfADomainReadsAndAllAreTold() {
    // Played at the hosts of one domain of the large deployment and of the size
    // to design for.
    for (const int size : {49, 181}) {
      std::vector<HostTable> fleet = Fleet(size);
      const absl::Time now = Gossip(fleet, 40);
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, Readers(fleet, now));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, Untold(fleet, now).size());
    }
  }

  void ReadersOfALargeFleetStayTheSame() {
    // The size of the large deployment, for longer than hosts count as live.
    constexpr int kDomains = 6;
    std::vector<HostTable> fleet = Fleet(295, kDomains);
    absl::Time now = Gossip(fleet, 20, kStart, Answered, kDomains);
    int most = 0;
    for (int round = 0; round < 80; ++round) {
      now = Gossip(fleet, 1, now, Answered, kDomains, round);
      most = std::max(most, static_cast<int>(Readers(fleet, now)));
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= 2 * kDomains);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{kDomains}, Readers(fleet, now));
  }

  void NextHostTakesOverAndTheRestStayTold() {
    std::vector<HostTable> fleet = Fleet(49);
    absl::Time now = Gossip(fleet, 30);
    const int lost = FirstReader(fleet, now);
    const auto others = [&](int host) { return host != lost; };
    int most = 0;
    for (int round = 0; round < 12; ++round) {
      now = Gossip(fleet, 1, now, others);
      most = std::max(most, static_cast<int>(Readers(fleet, now)));
    }
    // The one that gets no answers goes on to ask, and the next one reads.
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, Readers(fleet, now));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Untold(fleet, now).size());
    CPPUNIT_ASSERT(most <= 5);
  }

  void FewAskAServiceThatDoesNotAnswer() {
    std::vector<HostTable> fleet = Fleet(181);
    absl::Time now = Gossip(fleet, 40);
    // Nobody gets answers any more.
    now = Gossip(fleet, 12, now, [](int) { return false; });
    CPPUNIT_ASSERT(Readers(fleet, now) <= 6);
    // One of those that ask does again.
    const int answered = FirstReader(fleet, now);
    now = Gossip(fleet, 12, now, [&](int host) { return host == answered; });
    CPPUNIT_ASSERT(fleet[static_cast<size_t>(answered)].ShouldRead(false, now));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Untold(fleet, now).size());
  }

  void AllAskWhereNothingWasHeardForLong() {
    HostTable table = Table("h009");
    for (int i = 1; i <= 3; ++i) {
      table.OnNews(News(Name(i), NewsRole::kTries), kStart);
    }
    CPPUNIT_ASSERT(!table.ShouldRead(false, kStart));
    const absl::Time late = kStart + absl::Seconds(11);
    for (int i = 1; i <= 3; ++i) {
      table.OnNews(News(Name(i), NewsRole::kTries), late);
    }
    CPPUNIT_ASSERT(table.ShouldRead(false, late));
  }

  void ReadersTellTheFirstHostsOfOtherDomains() {
    HostTable::Options options;
    options.domains = {"y", "z"};
    HostTable table({"a", "z"}, {}, options, kStart);
    for (const char* const host : {"p", "q", "r"}) {
      table.OnNews({{host, "y"}, 1, kFollows, {}}, kStart);
    }
    CPPUNIT_ASSERT(table.Audience(kReads, kStart) ==
                   (std::vector<HostId>{"p", "q"}));
    CPPUNIT_ASSERT(table.Audience(NewsRole::kTries, kStart).empty());
  }

  void DomainWithoutAnswersForwardsWhatForeignReadersTell() {
    HostTable table = Table("a");
    CPPUNIT_ASSERT(table.Role(false, kStart) == NewsRole::kTries);
    table.OnNews({{"p", "y"}, 1, kReads, {}}, kStart);
    CPPUNIT_ASSERT(table.Role(false, kStart) == NewsRole::kForwards);
    CPPUNIT_ASSERT(!table.DomainReads(kStart));
    // Another host of its domain may be answered.
    table.OnNews(News("b", NewsRole::kForwards), kStart);
    CPPUNIT_ASSERT(table.ShouldRead(false, kStart));
  }

 private:
  static bool Answered(int /*host*/) { return true; }

  static FailureDomainName DomainOf(int host, int domains) {
    return "z" + std::string(static_cast<size_t>(host % domains), 'z');
  }

  static std::vector<HostTable> Fleet(int hosts, int domains = 1) {
    HostTable::Options options;
    for (int i = 0; i < domains; ++i) {
      options.domains.push_back(DomainOf(i, domains));
    }
    std::vector<HostTable> fleet;
    for (int i = 0; i < hosts; ++i) {
      const KnownHost self{Name(i), DomainOf(i, domains)};
      fleet.emplace_back(self, std::vector<HostId>{Name(0)}, options, kStart);
    }
    return fleet;
  }

  // Plays rounds of gossip in which some hosts get answers from the
  // configuration service.
  // @return when the last round was.
  static absl::Time Gossip(
      std::vector<HostTable>& fleet, int rounds, absl::Time now = kStart,
      const std::function<bool(int)>& is_answered = Answered, int domains = 1,
      int first_round = 0) {
    std::mt19937_64 random(static_cast<uint64_t>(7 + first_round));
    for (int round = first_round; round < first_round + rounds; ++round) {
      now += absl::Milliseconds(500);
      for (size_t i = 0; i < fleet.size(); ++i) {
        const auto number = static_cast<int>(i);
        HostTable& host = fleet[i];
        const bool reads = host.ShouldRead(false, now) && is_answered(number);
        const NewsRole role = host.Role(reads, now);
        HostNews news = News(Name(number), role, {}, host.known_hosts());
        news.from.failure_domain = DomainOf(number, domains);
        std::vector<HostId> audience = host.Audience(role, now);
        if (host.ShouldNameHosts(round, now)) {
          news.hosts = host.Ages(now, random);
          for (const HostId& peer : host.GossipTargets(now, random)) {
            audience.push_back(peer);
          }
        }
        for (const HostId& to : audience) {
          HostTable& peer = fleet[std::stoul(to.substr(1))];
          if (!peer.OnNews(news, now)) continue;
          const int told_by = std::stoi(to.substr(1));
          const bool peer_reads =
              peer.ShouldRead(false, now) && is_answered(told_by);
          HostNews told = News(to, peer.Role(peer_reads, now),
                               peer.Ages(now, random), peer.known_hosts());
          told.from.failure_domain = DomainOf(told_by, domains);
          host.OnNews(told, now);
        }
      }
    }
    return now;
  }

  static std::ptrdiff_t Readers(const std::vector<HostTable>& fleet,
                                absl::Time now) {
    return std::count_if(
        fleet.begin(), fleet.end(),
        [&](const HostTable& table) { return table.ShouldRead(false, now); });
  }

  static int FirstReader(const std::vector<HostTable>& fleet, absl::Time now) {
    const auto reader = std::find_if(
        fleet.begin(), fleet.end(),
        [&](const HostTable& table) { return table.ShouldRead(false, now); });
    CPPUNIT_ASSERT(reader != fleet.end());
    return static_cast<int>(reader - fleet.begin());
  }

  // @return hosts that neither read nor are in the audience of one that is
  // told.
  static std::set<HostId> Untold(const std::vector<HostTable>& fleet,
                                 absl::Time now) {
    std::set<HostId> untold;
    for (size_t i = 0; i < fleet.size(); ++i) {
      if (!fleet[i].ShouldRead(false, now)) {
        untold.insert(Name(static_cast<int>(i)));
      }
    }
    for (const HostTable& table : fleet) {
      const bool reads = table.ShouldRead(false, now);
      const NewsRole role = table.Role(reads, now);
      if (role != NewsRole::kReads && role != NewsRole::kRelays) continue;
      for (const HostId& host : table.Audience(role, now)) untold.erase(host);
    }
    return untold;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostTableTest);

}  // namespace cherrydyke
