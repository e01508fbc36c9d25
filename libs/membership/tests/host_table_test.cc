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

MembershipUpdate Update(const HostId& from, DisseminationRole role = kFollower,
                        std::vector<HostLastSeen> hosts = {},
                        int known_hosts = 1) {
  return {{from, "z"}, known_hosts, role, std::move(hosts)};
}

HostTable Table(const HostId& self, std::vector<HostId> seeds = {}) {
  return HostTable({self, "z"}, std::move(seeds), HostTable::Options(), kStart);
}

/// @param readers hosts that may read all the time.
HostTable TableOfReaders(const HostId& self, int readers) {
  HostTable::Options options;
  options.reader_allowance = ReaderAllowance(readers, 1);
  return HostTable({self, "z"}, {}, options, kStart);
}

/// The same in a fleet of three failure domains; the host is in "z".
HostTable TableOfDomains(const HostId& self, int readers) {
  HostTable::Options options;
  options.domains = {"x", "y", "z"};
  options.reader_allowance = ReaderAllowance(readers, 1);
  return HostTable({self, "z"}, {}, options, kStart);
}

HostId Name(int index) {
  const std::string digits = std::to_string(index);
  return "h" + std::string(3 - digits.size(), '0') + digits;
}

}  // namespace

class HostTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostTableTest);
  CPPUNIT_TEST(AssumesInitialHostsUntilConverged);
  CPPUNIT_TEST(HostThatNobodyHearsNeverConverges);
  CPPUNIT_TEST(HostWithUnreachableSeedsNeverConverges);
  CPPUNIT_TEST(HostWithoutSeedsConvergesAlone);
  CPPUNIT_TEST(UnreachableDomainsCountAsTheLargestKnown);
  CPPUNIT_TEST(TimedOutDomainsCountAsTheLargestKnown);
  CPPUNIT_TEST(RepliesToSendersThatKnowFewerHosts);
  CPPUNIT_TEST(FleetSizeNeverDropsBelowKnownHosts);
  CPPUNIT_TEST(GossipsWithASeedEvenIfOthersAreLive);
  CPPUNIT_TEST(HostThatKnowsNoPeerGossipsWithSeveralSeeds);
  CPPUNIT_TEST(LongListsOfSeedsAreSampled);
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
  CPPUNIT_TEST(SmallFleetReadsWhateverPeersClaim);
  CPPUNIT_TEST(HostOfALargeFleetThatJustStartedReadsByItsRole);
  CPPUNIT_TEST(HostsOfAPartitionedDomainCountAsReaders);
  CPPUNIT_TEST(HostsThatAreGoneDoNotCountAsReaders);
  CPPUNIT_TEST(DomainsWithoutHostsDoNotCountAsReaders);
  CPPUNIT_TEST(ReadersNotifyRepresentativesOfOtherDomains);
  CPPUNIT_TEST(DomainWithoutReaderForwardsRemoteUpdates);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AssumesInitialHostsUntilConverged() {
    HostTable table = Table("a", {"b"});
    CPPUNIT_ASSERT_EQUAL(100, table.FleetSizeUpperBound(kStart));
    table.OnMembershipUpdate(Update("b", kFollower, {{"a", "z", 0}}, 2),
                             kStart);
    CPPUNIT_ASSERT_EQUAL(100, table.FleetSizeUpperBound(kStart));
    CPPUNIT_ASSERT_EQUAL(2, table.FleetSizeUpperBound(kConverged));
  }

  // It hears a peer, all of whose digests lack it: a one-way cut.
  void HostThatNobodyHearsNeverConverges() {
    HostTable table = Table("a", {"b"});
    const absl::Time late = kStart + absl::Hours(1);
    for (const absl::Time now : {kStart, kConverged, late}) {
      table.OnMembershipUpdate(Update("b", kFollower, {{"c", "z", 10}}, 2),
                               now);
    }
    CPPUNIT_ASSERT_EQUAL(100, table.FleetSizeUpperBound(late));
    table.OnMembershipUpdate(
        Update("b", kFollower, {{"a", "z", 10}, {"c", "z", 10}}, 3), late);
    CPPUNIT_ASSERT_EQUAL(100, table.FleetSizeUpperBound(late));
    CPPUNIT_ASSERT_EQUAL(3, table.FleetSizeUpperBound(late + absl::Seconds(3)));
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
    for (const absl::Time now : {kStart, kConverged}) {
      table.OnMembershipUpdate(
          Update("b", kFollower,
                 {{"a", "z", 10}, {"c", "z", 10}, {"d", "y", 10}}),
          now);
    }
    // 3 hosts in "z", 1 in "y", and 3 assumed in "x".
    CPPUNIT_ASSERT_EQUAL(7, table.FleetSizeUpperBound(kConverged));
    table.OnMembershipUpdate(Update("b", kFollower, {{"e", "x", 10}}),
                             kConverged);
    CPPUNIT_ASSERT_EQUAL(5, table.FleetSizeUpperBound(kConverged));
  }

  void TimedOutDomainsCountAsTheLargestKnown() {
    // A host that started just before a network partition has learned of one
    // host on the other side.
    HostTable::Options options;
    options.domains = {"y", "z"};
    HostTable table({"a", "z"}, {}, options, kStart);
    for (const absl::Time now : {kStart, kConverged}) {
      table.OnMembershipUpdate(
          Update("b", kFollower,
                 {{"a", "z", 10}, {"c", "z", 10}, {"d", "y", 10}}),
          now);
    }
    CPPUNIT_ASSERT_EQUAL(4, table.FleetSizeUpperBound(kConverged));
    const absl::Time timed_out =
        kConverged + options.domain_timeout + absl::Seconds(1);
    CPPUNIT_ASSERT_EQUAL(6, table.FleetSizeUpperBound(timed_out));
    // After the partition, a host of the domain reports how many it knows.
    table.OnMembershipUpdate({{"e", "y"}, 7, kFollower, {}}, timed_out);
    CPPUNIT_ASSERT_EQUAL(7, table.FleetSizeUpperBound(timed_out));
  }

  void RepliesToSendersThatKnowFewerHosts() {
    HostTable table = Table("a");
    CPPUNIT_ASSERT(table.OnMembershipUpdate(Update("b"), kStart));
    CPPUNIT_ASSERT(
        !table.OnMembershipUpdate(Update("b", kFollower, {}, 2), kStart));
    CPPUNIT_ASSERT(
        table.OnMembershipUpdate(Update("c", kFollower, {}, 2), kStart));
  }

  void FleetSizeNeverDropsBelowKnownHosts() {
    HostTable table = Table("a");
    table.OnMembershipUpdate(
        Update("b", kFollower,
               {{"a", "z", 10}, {"c", "z", 10}, {"d", "y", 90'000}}, 9),
        kStart);
    CPPUNIT_ASSERT_EQUAL(9, table.FleetSizeUpperBound(kStart + absl::Hours(1)));
  }

  void GossipsWithASeedEvenIfOthersAreLive() {
    HostTable table = Table("a", {"seed"});
    std::mt19937_64 random(1);
    table.OnMembershipUpdate(Update("b"), kStart);
    CPPUNIT_ASSERT(table.GossipPeers(kStart, random) ==
                   (std::vector<HostId>{"b", "seed"}));
  }

  void HostThatKnowsNoPeerGossipsWithSeveralSeeds() {
    // One seed may be down, or far away while another is near.
    const HostTable table = Table("a", {"a", "down", "far", "near"});
    for (int seed = 0; seed < 20; ++seed) {
      std::mt19937_64 random(seed);
      std::vector<HostId> peers = table.GossipPeers(kStart, random);
      std::sort(peers.begin(), peers.end());
      CPPUNIT_ASSERT(peers == (std::vector<HostId>{"down", "far", "near"}));
    }
  }

  void LongListsOfSeedsAreSampled() {
    constexpr int kSeeds = 50;
    std::vector<HostId> seeds;
    for (int i = 0; i < kSeeds; ++i) seeds.push_back(Name(i));
    const HostTable table = Table("a", seeds);
    std::set<HostId> asked;
    std::mt19937_64 random(1);
    for (int round = 0; round < 200; ++round) {
      const std::vector<HostId> peers = table.GossipPeers(kStart, random);
      CPPUNIT_ASSERT_EQUAL(size_t{3}, peers.size());
      const std::set<HostId> distinct(peers.begin(), peers.end());
      CPPUNIT_ASSERT_EQUAL(size_t{3}, distinct.size());
      asked.insert(peers.begin(), peers.end());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{kSeeds}, asked.size());
  }

  void SilentHostsAreKnownButNotLive() {
    HostTable table = Table("a");
    table.OnMembershipUpdate(Update("b", kFollower, {{"old", "z", 60'000}}),
                             kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, table.LivePeers(kStart).size());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, table.KnownHosts().size());
  }

  void MembershipConvergesThroughOneSeed() {
    std::vector<HostTable> fleet = Fleet(60);
    const absl::Time now = RunGossip(fleet, 12);
    for (const HostTable& table : fleet) {
      CPPUNIT_ASSERT_EQUAL(60, table.FleetSizeUpperBound(now));
    }
  }

  void ReadsUntilAnEarlierHostOfItsGroupDoes() {
    HostTable table = Table("b");
    CPPUNIT_ASSERT(table.ShouldRead(false, kStart));
    table.OnMembershipUpdate(Update("a", DisseminationRole::kRetryingReader),
                             kStart);
    CPPUNIT_ASSERT(table.ShouldRead(false, kStart));
    table.OnMembershipUpdate(Update("a", kReader), kStart);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kStart));
    table.OnMembershipUpdate(Update("a", kReader), kConverged);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kConverged));
    table.OnMembershipUpdate(Update("c", kReader), kConverged);
    table.OnMembershipUpdate(Update("a", DisseminationRole::kRetryingReader),
                             kConverged);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kConverged));
    const absl::Time own_turn = kConverged + HostTable::Options().takeover_step;
    CPPUNIT_ASSERT(table.ShouldRead(false, own_turn));
  }

  void TakesOverFromATimedOutReader() {
    HostTable table = Table("b");
    table.OnMembershipUpdate(Update("a", kReader), kStart);
    table.OnMembershipUpdate(Update("a", kReader), kConverged);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kConverged + absl::Seconds(1)));
    CPPUNIT_ASSERT(
        table.ShouldRead(false, kConverged + absl::Milliseconds(1400)));
  }

  void IgnoresReadersOfOtherDomains() {
    HostTable table = Table("b");
    MembershipUpdate update = Update("a", kReader);
    update.from.failure_domain = "y";
    table.OnMembershipUpdate(update, kStart);
    table.OnMembershipUpdate(update, kConverged);
    CPPUNIT_ASSERT(table.ShouldRead(false, kConverged));
  }

  void OneReaderPerDomainReachesAllHosts() {
    // Hosts per failure domain in the large deployment and at the design size.
    for (const int size : {49, 181}) {
      std::vector<HostTable> fleet = Fleet(size);
      const absl::Time now = RunGossip(fleet, 40);
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, CountReaders(fleet, now));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, HostsWithoutUpdates(fleet, now).size());
    }
  }

  void ReadersOfALargeFleetAreStable() {
    // The size of the large deployment, run for longer than the liveness
    // timeout.
    constexpr int kDomains = 6;
    std::vector<HostTable> fleet = Fleet(295, kDomains);
    absl::Time now = RunGossip(fleet, 20, kStart, AlwaysAnswered, kDomains);
    int max_readers = 0;
    for (int round = 0; round < 80; ++round) {
      now = RunGossip(fleet, 1, now, AlwaysAnswered, kDomains, round);
      max_readers =
          std::max(max_readers, static_cast<int>(CountReaders(fleet, now)));
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(max_readers),
                           max_readers <= 2 * kDomains);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{kDomains}, CountReaders(fleet, now));
  }

  void FailoverKeepsAllHostsUpdated() {
    std::vector<HostTable> fleet = Fleet(49);
    absl::Time now = RunGossip(fleet, 30);
    const int failed = FirstReader(fleet, now);
    const auto others = [&](int host) { return host != failed; };
    int max_readers = 0;
    for (int round = 0; round < 12; ++round) {
      now = RunGossip(fleet, 1, now, others);
      max_readers =
          std::max(max_readers, static_cast<int>(CountReaders(fleet, now)));
    }
    // The host that gets no answers keeps retrying, and the next one reads.
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, CountReaders(fleet, now));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, HostsWithoutUpdates(fleet, now).size());
    CPPUNIT_ASSERT(max_readers <= 5);
  }

  void FewHostsPollAnUnresponsiveService() {
    std::vector<HostTable> fleet = Fleet(181);
    absl::Time now = RunGossip(fleet, 40);
    // From now on no host gets answers.
    now = RunGossip(fleet, 12, now, [](int) { return false; });
    CPPUNIT_ASSERT(CountReaders(fleet, now) <= 6);
    // One of the retrying readers gets answers again.
    const int answered = FirstReader(fleet, now);
    now = RunGossip(fleet, 12, now, [&](int host) { return host == answered; });
    CPPUNIT_ASSERT(fleet[static_cast<size_t>(answered)].ShouldRead(false, now));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, HostsWithoutUpdates(fleet, now).size());
  }

  void StandbyHostsPollAfterMaxStandbyTime() {
    HostTable table = Table("h009");
    for (int i = 1; i <= 3; ++i) {
      table.OnMembershipUpdate(
          Update(Name(i), DisseminationRole::kRetryingReader), kStart);
    }
    CPPUNIT_ASSERT(!table.ShouldRead(false, kStart));
    const absl::Time late = kStart + absl::Seconds(11);
    for (int i = 1; i <= 3; ++i) {
      table.OnMembershipUpdate(
          Update(Name(i), DisseminationRole::kRetryingReader), late);
    }
    CPPUNIT_ASSERT(table.ShouldRead(false, late));
  }

  // A reader that is silent, frozen or cut off still claims to be one.
  void SmallFleetReadsWhateverPeersClaim() {
    HostTable table = TableOfReaders("c", 2);
    table.OnMembershipUpdate(Update("a", kReader), kConverged);
    CPPUNIT_ASSERT(table.Place(kConverged) == (FleetPlace{2, 1, 1}));
    CPPUNIT_ASSERT(table.ShouldRead(false, kConverged));
    table.OnMembershipUpdate(Update("b", kReader), kConverged);
    CPPUNIT_ASSERT(table.Place(kConverged) == (FleetPlace{3, 1, 2}));
    CPPUNIT_ASSERT(!table.ShouldRead(false, kConverged));
  }

  // Otherwise all hosts of a large fleet would call at once when it starts.
  void HostOfALargeFleetThatJustStartedReadsByItsRole() {
    HostTable table = TableOfReaders("b", 3);
    table.OnMembershipUpdate(Update("a", kReader), kStart);
    CPPUNIT_ASSERT(!table.ShouldRead(false, kStart));
  }

  void HostsOfAPartitionedDomainCountAsReaders() {
    HostTable table = TableOfDomains("b", 3);
    for (const char* const host : {"p", "q"}) {
      table.OnMembershipUpdate({{host, "y"}, 1, kReader, {}}, kStart);
    }
    const absl::Time late = kStart + absl::Hours(1);
    table.OnMembershipUpdate(Update("a", kReader), late);
    CPPUNIT_ASSERT(table.Place(late) == (FleetPlace{4, 3, 1}));
    CPPUNIT_ASSERT(!table.ReadsAlways(late));
  }

  // Else hosts that were replaced at other addresses keep the others from
  // watching the service.
  void HostsThatAreGoneDoNotCountAsReaders() {
    HostTable table = TableOfReaders("d", 3);
    for (const char* const host : {"a", "b", "c"}) {
      table.OnMembershipUpdate(Update(host, kReader), kStart);
    }
    CPPUNIT_ASSERT(!table.ReadsAlways(kConverged));
    const absl::Time late = kStart + absl::Seconds(30);
    table.OnMembershipUpdate(Update("c", kReader), late);
    CPPUNIT_ASSERT(table.Place(late) == (FleetPlace{2, 1, 1}));
    CPPUNIT_ASSERT(table.ReadsAlways(late));
  }

  // Else a failure domain that has no hosts yet takes a share of the readers.
  void DomainsWithoutHostsDoNotCountAsReaders() {
    HostTable table = TableOfDomains("b", 3);
    table.OnMembershipUpdate(Update("a", kReader), kConverged);
    table.OnMembershipUpdate({{"p", "y"}, 1, kReader, {}}, kConverged);
    CPPUNIT_ASSERT(table.Place(kConverged) == (FleetPlace{3, 3, 1}));
    CPPUNIT_ASSERT(table.ReadsAlways(kConverged));
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
    // Despite the forwarder, this host keeps calling the service, which may
    // answer it.
    table.OnMembershipUpdate(Update("b", DisseminationRole::kForwarder),
                             kStart);
    CPPUNIT_ASSERT(table.ShouldRead(false, kStart));
  }

 private:
  static bool AlwaysAnswered(int /*host*/) { return true; }

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

  // Simulates gossip rounds in which `is_answered` decides which hosts get
  // answers from the configuration service.
  // @return the time of the last round.
  static absl::Time RunGossip(
      std::vector<HostTable>& fleet, int rounds, absl::Time now = kStart,
      const std::function<bool(int)>& is_answered = AlwaysAnswered,
      int domains = 1, int first_round = 0) {
    std::mt19937_64 random(static_cast<uint64_t>(7 + first_round));
    for (int round = first_round; round < first_round + rounds; ++round) {
      now += absl::Milliseconds(500);
      for (size_t i = 0; i < fleet.size(); ++i) {
        const auto index = static_cast<int>(i);
        HostTable& host = fleet[i];
        const bool is_reading =
            host.ShouldRead(false, now) && is_answered(index);
        const DisseminationRole role = host.Role(is_reading, now);
        MembershipUpdate update =
            Update(Name(index), role, {}, host.known_hosts());
        update.from.failure_domain = DomainOf(index, domains);
        std::vector<HostId> recipients = host.Recipients(role, now);
        if (host.ShouldSendDigest(round, now)) {
          update.hosts = host.BuildDigest(now, random);
          for (const HostId& peer : host.GossipPeers(now, random)) {
            recipients.push_back(peer);
          }
        }
        for (const HostId& to : recipients) {
          HostTable& peer = fleet[std::stoul(to.substr(1))];
          if (!peer.OnMembershipUpdate(update, now)) continue;
          const int peer_index = std::stoi(to.substr(1));
          const bool peer_is_reading =
              peer.ShouldRead(false, now) && is_answered(peer_index);
          MembershipUpdate reply =
              Update(to, peer.Role(peer_is_reading, now),
                     peer.BuildDigest(now, random), peer.known_hosts());
          reply.from.failure_domain = DomainOf(peer_index, domains);
          host.OnMembershipUpdate(reply, now);
        }
      }
    }
    return now;
  }

  static std::ptrdiff_t CountReaders(const std::vector<HostTable>& fleet,
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

  // @return hosts that neither read nor get updates from a reader or relay.
  static std::set<HostId> HostsWithoutUpdates(
      const std::vector<HostTable>& fleet, absl::Time now) {
    std::set<HostId> without_updates;
    for (size_t i = 0; i < fleet.size(); ++i) {
      if (!fleet[i].ShouldRead(false, now)) {
        without_updates.insert(Name(static_cast<int>(i)));
      }
    }
    for (const HostTable& table : fleet) {
      const bool is_reading = table.ShouldRead(false, now);
      const DisseminationRole role = table.Role(is_reading, now);
      if (role != DisseminationRole::kReader &&
          role != DisseminationRole::kRelay)
        continue;
      for (const HostId& host : table.Recipients(role, now))
        without_updates.erase(host);
    }
    return without_updates;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostTableTest);

}  // namespace cherrydyke
