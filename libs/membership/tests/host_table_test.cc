#include "membership/host_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <set>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const absl::Time kConverged = kStart + absl::Seconds(4);

constexpr DisseminationRole kFollower = DisseminationRole::kFollower;
constexpr DisseminationRole kReader = DisseminationRole::kReader;

MembershipUpdate News(const HostId& from, DisseminationRole role = kFollower,
                      std::vector<HostLastSeen> hosts = {},
                      int known_hosts = 1) {
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
  CPPUNIT_TEST(AssumesInitialHostsUntilConverged);
  CPPUNIT_TEST(HostWithUnreachableSeedsNeverConverges);
  CPPUNIT_TEST(HostWithoutSeedsConvergesAlone);
  CPPUNIT_TEST(UnreachableDomainsCountAsTheLargestKnown);
  CPPUNIT_TEST(TimedOutDomainsCountAsTheLargestKnown);
  CPPUNIT_TEST(RepliesToSendersThatKnowFewerHosts);
  CPPUNIT_TEST(FleetSizeNeverShrinks);
  CPPUNIT_TEST(GossipsWithASeedEvenIfOthersAreLive);
  CPPUNIT_TEST(SilentHostsAreKnownButNotLive);
  CPPUNIT_TEST(MembershipConvergesThroughOneSeed);
  CPPUNIT_TEST(ReadsUntilAnEarlierHostOfItsGroupDoes);
  CPPUNIT_TEST(TakesOverFromATimedOutReader);
  CPPUNIT_TEST(IgnoresReadersOfOtherDomains);
  CPPUNIT_TEST(OneReaderPerDomainReachesAllHosts);
  CPPUNIT_TEST(ReadersOfALargeFleetAreStable);
  CPPUNIT_TEST(FailoverKeepsAllHostsUpdated);
  CPPUNIT_TEST(FewHostsPollAnUnresponsiveService);
  CPPUNIT_TEST(StandbyHostsPollAfterMaxStandbyTime);
  CPPUNIT_TEST(ReadersNotifyRepresentativesOfOtherDomains);
  CPPUNIT_TEST(DomainWithoutReaderForwardsRemoteUpdates);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AssumesInitialHostsUntilConverged() {
    HostTable table = Table("a", {"b"});
    CPPUNIT_ASSERT_EQUAL(100, table.FleetSizeUpperBound(kStart));
    table.OnMembershipUpdate(News("b", kFollower, {}, 2), kStart);
    CPPUNIT_ASSERT_EQUAL(100, table.FleetSizeUpperBound(kStart));
    CPPUNIT_ASSERT_EQUAL(2, table.FleetSizeUpperBound(kConverged));
  }

  void HostWithUnreachableSeedsNeverConverges() {
    const HostTable table = Table("a", {"b"});
    CPPUNIT_ASSERT_EQUAL(100,
                         table.FleetSizeUpperBound(kStart + absl::Hours(1)));
  }

  void HostWithoutSeedsConvergesAlone() {
    HostTable::Options options;
    options.domains = {"y", "z"};
    const HostTable table({"a", "z"}, {"a"}, options, kStart);
    CPPUNIT_ASSERT_EQUAL(100,
                         table.FleetSizeUpperBound(kStart + absl::Seconds(2)));
    CPPUNIT_ASSERT_EQUAL(2, table.FleetSizeUpperBound(kConverged));
  }

  void UnreachableDomainsCountAsTheLargestKnown() {
    HostTable::Options options;
    options.domains = {"x", "y", "z"};
    HostTable table({"a", "z"}, {}, options, kStart);
    for (const absl::Time heard : {kStart, kConverged}) {
      table.OnMembershipUpdate(
          News("b", kFollower, {{"c", "z", 10}, {"d", "y", 10}}), heard);
    }
    // Three of "z", one of "y", and three for "x".
    CPPUNIT_ASSERT_EQUAL(7, table.FleetSizeUpperBound(kConverged));
    table.OnMembershipUpdate(News("b", kFollower, {{"e", "x", 10}}),
                             kConverged);
    CPPUNIT_ASSERT_EQUAL(5, table.FleetSizeUpperBound(kConverged));
  }

  void TimedOutDomainsCountAsTheLargestKnown() {
    // A host that started just before a cut was told of one host beyond it.
    HostTable::Options options;
    options.domains = {"y", "z"};
    HostTable table({"a", "z"}, {}, options, kStart);
    for (const absl::Time heard : {kStart, kConverged}) {
      table.OnMembershipUpdate(
          News("b", kFollower, {{"c", "z", 10}, {"d", "y", 10}}), heard);
    }
    CPPUNIT_ASSERT_EQUAL(4, table.FleetSizeUpperBound(kConverged));
    const absl::Time silent =
        kConverged + options.domain_timeout + absl::Seconds(1);
    CPPUNIT_ASSERT_EQUAL(6, table.FleetSizeUpperBound(silent));
    // Heard again, it tells how many it knows.
    table.OnMembershipUpdate({{"e", "y"}, 7, kFollower, {}}, silent);
    CPPUNIT_ASSERT_EQUAL(7, table.FleetSizeUpperBound(silent));
  }

  void RepliesToSendersThatKnowFewerHosts() {
    HostTable table = Table("a");
    CPPUNIT_ASSERT(table.OnMembershipUpdate(News("b"), kStart));
    CPPUNIT_ASSERT(
        !table.OnMembershipUpdate(News("b", kFollower, {}, 2), kStart));
    CPPUNIT_ASSERT(
        table.OnMembershipUpdate(News("c", kFollower, {}, 2), kStart));
  }

  void FleetSizeNeverShrinks() {
    HostTable table = Table("a");
    table.OnMembershipUpdate(
        News("b", kFollower, {{"c", "z", 10}, {"d", "y", 90'000}}, 9), kStart);
    CPPUNIT_ASSERT_EQUAL(9, table.FleetSizeUpperBound(kStart + absl::Hours(1)));
  }

  void GossipsWithASeedEvenIfOthersAreLive() {
    HostTable table = Table("a", {"seed"});
    std::mt19937_64 random(1);
    table.OnMembershipUpdate(News("b"), kStart);
    CPPUNIT_ASSERT(table.GossipPeers(kStart, random) ==
                   (std::vector<HostId>{"b", "seed"}));
  }

  void SilentHostsAreKnownButNotLive() {
    HostTable table = Table("a");
    table.OnMembershipUpdate(News("b", kFollower, {{"old", "z", 60'000}}),
                             kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, table.LivePeers(kStart).size());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, table.KnownHosts().size());
  }

  void MembershipConvergesThroughOneSeed() {
    std::vector<HostTable> fleet = Fleet(60);
    const absl::Time now = Gossip(fleet, 12);
    for (const HostTable& table : fleet) {
      CPPUNIT_ASSERT_EQUAL(60, table.FleetSizeUpperBound(now));
    }
  }

  void ReadsUntilAnEarlierHostOfItsGroupDoes() {
    HostTable table = Table("b");
    CPPUNIT_ASSERT(table.ShouldRead(false, kStart));
    table.OnMembershipUpdate(News("a", DisseminationRole::kRetryingReader),
                             kStart);
    CPPUNIT_ASSERT(table.ShouldRead(false, kStart));
    table.OnMembershipUpdate(News("a", kReader), kStart);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kStart));
    table.OnMembershipUpdate(News("a", kReader), kConverged);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kConverged));
    table.OnMembershipUpdate(News("c", kReader), kConverged);
    table.OnMembershipUpdate(News("a", DisseminationRole::kRetryingReader),
                             kConverged);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kConverged));
    const absl::Time its_turn = kConverged + HostTable::Options().takeover_step;
    CPPUNIT_ASSERT(table.ShouldRead(false, its_turn));
  }

  void TakesOverFromATimedOutReader() {
    HostTable table = Table("b");
    table.OnMembershipUpdate(News("a", kReader), kStart);
    table.OnMembershipUpdate(News("a", kReader), kConverged);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kConverged + absl::Seconds(1)));
    CPPUNIT_ASSERT(
        table.ShouldRead(false, kConverged + absl::Milliseconds(1400)));
  }

  void IgnoresReadersOfOtherDomains() {
    HostTable table = Table("b");
    MembershipUpdate news = News("a", kReader);
    news.from.failure_domain = "y";
    table.OnMembershipUpdate(news, kStart);
    table.OnMembershipUpdate(news, kConverged);
    CPPUNIT_ASSERT(table.ShouldRead(false, kConverged));
  }

  void OneReaderPerDomainReachesAllHosts() {
    // Played at the hosts of one domain of the large deployment and of the size
    // to design for.
    for (const int size : {49, 181}) {
      std::vector<HostTable> fleet = Fleet(size);
      const absl::Time now = Gossip(fleet, 40);
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, Readers(fleet, now));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, Untold(fleet, now).size());
    }
  }

  void ReadersOfALargeFleetAreStable() {
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

  void FailoverKeepsAllHostsUpdated() {
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

  void FewHostsPollAnUnresponsiveService() {
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

  void StandbyHostsPollAfterMaxStandbyTime() {
    HostTable table = Table("h009");
    for (int i = 1; i <= 3; ++i) {
      table.OnMembershipUpdate(
          News(Name(i), DisseminationRole::kRetryingReader), kStart);
    }
    CPPUNIT_ASSERT(!table.ShouldRead(false, kStart));
    const absl::Time late = kStart + absl::Seconds(11);
    for (int i = 1; i <= 3; ++i) {
      table.OnMembershipUpdate(
          News(Name(i), DisseminationRole::kRetryingReader), late);
    }
    CPPUNIT_ASSERT(table.ShouldRead(false, late));
  }

  void ReadersNotifyRepresentativesOfOtherDomains() {
    HostTable::Options options;
    options.domains = {"y", "z"};
    HostTable table({"a", "z"}, {}, options, kStart);
    for (const char* const host : {"p", "q", "r"}) {
      table.OnMembershipUpdate({{host, "y"}, 1, kFollower, {}}, kStart);
    }
    CPPUNIT_ASSERT(table.Recipients(kReader, kStart) ==
                   (std::vector<HostId>{"p", "q"}));
    CPPUNIT_ASSERT(
        table.Recipients(DisseminationRole::kRetryingReader, kStart).empty());
  }

  void DomainWithoutReaderForwardsRemoteUpdates() {
    HostTable table = Table("a");
    CPPUNIT_ASSERT(table.Role(false, kStart) ==
                   DisseminationRole::kRetryingReader);
    table.OnMembershipUpdate({{"p", "y"}, 1, kReader, {}}, kStart);
    CPPUNIT_ASSERT(table.Role(false, kStart) == DisseminationRole::kForwarder);
    CPPUNIT_ASSERT(!table.HasDomainReader(kStart));
    // Another host of its domain may be answered.
    table.OnMembershipUpdate(News("b", DisseminationRole::kForwarder), kStart);
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
        const DisseminationRole role = host.Role(reads, now);
        MembershipUpdate news =
            News(Name(number), role, {}, host.known_hosts());
        news.from.failure_domain = DomainOf(number, domains);
        std::vector<HostId> audience = host.Recipients(role, now);
        if (host.ShouldSendDigest(round, now)) {
          news.hosts = host.BuildDigest(now, random);
          for (const HostId& peer : host.GossipPeers(now, random)) {
            audience.push_back(peer);
          }
        }
        for (const HostId& to : audience) {
          HostTable& peer = fleet[std::stoul(to.substr(1))];
          if (!peer.OnMembershipUpdate(news, now)) continue;
          const int told_by = std::stoi(to.substr(1));
          const bool peer_reads =
              peer.ShouldRead(false, now) && is_answered(told_by);
          MembershipUpdate told =
              News(to, peer.Role(peer_reads, now),
                   peer.BuildDigest(now, random), peer.known_hosts());
          told.from.failure_domain = DomainOf(told_by, domains);
          host.OnMembershipUpdate(told, now);
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
      const DisseminationRole role = table.Role(reads, now);
      if (role != DisseminationRole::kReader &&
          role != DisseminationRole::kRelay)
        continue;
      for (const HostId& host : table.Recipients(role, now)) untold.erase(host);
    }
    return untold;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostTableTest);

}  // namespace cherrydyke
