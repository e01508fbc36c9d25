#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dispatch/crash_tracker.h"
#include "dispatch/route_table.h"
#include "dispatch/target_health.h"
#include "dispatch/top_records.h"

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

/// Hashes of target instances.
constexpr uint32_t kTarget = 1;
constexpr uint32_t kSecondTarget = 2;
constexpr uint32_t kThirdTarget = 3;
/// Crash reports in one gossip message.
constexpr size_t kMessageReports = 12;

std::set<uint64_t> GossipedRequests(CrashTracker& tracker,
                                    absl::Duration later) {
  std::set<uint64_t> gossiped;
  for (const CrashReport& report :
       tracker.TakeReportsToGossip(kMessageReports, kStart + later)) {
    gossiped.insert(report.fingerprint);
  }
  return gossiped;
}

void CrashThreeTargets(CrashTracker& tracker, uint64_t fingerprint) {
  for (const uint32_t target : {kTarget, kSecondTarget, kThirdTarget}) {
    tracker.OnCrash(fingerprint, target, kStart, kStart);
  }
}

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = "a.example";
  route.prefix = prefix;
  return route;
}

}  // namespace

class DispatchTablesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchTablesTest);
  CPPUNIT_TEST(LongestPrefixWins);
  CPPUNIT_TEST(HostIsComparedWithoutCaseAndPort);
  CPPUNIT_TEST(WeightsHoldOverAShortRun);
  CPPUNIT_TEST(MergesLikeASort);
  CPPUNIT_TEST(CrashesOfAllHostsAddUp);
  CPPUNIT_TEST(SuspectRequestsGetFewerAttempts);
  CPPUNIT_TEST(CrashOfOneTargetCountsOnce);
  CPPUNIT_TEST(RecentlyAnsweredRequestIsNotBlamed);
  CPPUNIT_TEST(CrashesBeforeTheLastAnswerAreNotCounted);
  CPPUNIT_TEST(CrashesAfterTheLastAnswerAreCountedAtOnce);
  CPPUNIT_TEST(AnsweredRequestIsNotBlamedForTargetsThatEndAtOnce);
  CPPUNIT_TEST(AnswerEndsQuarantineByEarlierCrashes);
  CPPUNIT_TEST(CrashOfAnsweredRequestIsGossipedUnlessAnsweredAgain);
  CPPUNIT_TEST(CrashesLongAfterAnAnswerCountOneByOne);
  CPPUNIT_TEST(CrashesBeforeAndAfterAHostRestartAddUp);
  CPPUNIT_TEST(NewCrashIsInTheNextMessage);
  CPPUNIT_TEST(EveryCrashIsGossipedInTurn);
  CPPUNIT_TEST(QuarantinedRequestsAreInEveryMessage);
  CPPUNIT_TEST(QuarantineIsGossipedBesideManySuspects);
  CPPUNIT_TEST(QuarantineReachesEveryHostOfALargeFleet);
  CPPUNIT_TEST(CrashesExpireOnAllHostsAtTheSameTime);
  CPPUNIT_TEST(FullTrackerEvictsTheOldestCrash);
  CPPUNIT_TEST(FullTrackerKeepsQuarantinedRequests);
  CPPUNIT_TEST(OverdueTargetIsSuspectUntilItAnswers);
  CPPUNIT_TEST(OverdueRequestIsIgnoredAfterALaterAnswer);
  CPPUNIT_TEST(OutstandingRequestsAreNeverNegative);
  CPPUNIT_TEST(LearnedLatencyDecays);
  CPPUNIT_TEST(FailureRateFollowsAtAnyRequestRate);
  CPPUNIT_TEST(UnresponsiveOnlyAfterAFailedProbe);
  CPPUNIT_TEST(CancelledRequestCountsAsSlow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LongestPrefixWins() {
    const RouteTable table(
        1, {MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/")}, {});
    CPPUNIT_ASSERT_EQUAL(std::string("long"),
                         table.Find("a.example", "/a/b/c")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("short"),
                         table.Find("a.example", "/a/bc")->name);
    CPPUNIT_ASSERT(table.Find("a.example", "/a") == nullptr);
    CPPUNIT_ASSERT(table.Find("a.example", "") == nullptr);
    CPPUNIT_ASSERT(table.Find("b.example", "/a/b/c") == nullptr);
  }

  void HostIsComparedWithoutCaseAndPort() {
    const RouteTable table(1, {MakeRoute("r", "/")}, {});
    CPPUNIT_ASSERT(table.Find("A.Example:8080", "/x") != nullptr);
  }

  void WeightsHoldOverAShortRun() {
    const std::vector<WeightedService> services = {{"a", 3}, {"b", 1}};
    WeightedRoundRobin round_robin;
    std::map<size_t, int> chosen;
    for (int i = 0; i < 40; ++i) ++chosen[round_robin.Next(services)];
    CPPUNIT_ASSERT_EQUAL(30, chosen[0]);
    CPPUNIT_ASSERT_EQUAL(10, chosen[1]);
  }

  void MergesLikeASort() {
    CPPUNIT_ASSERT(rc::check("merge", [] {
      std::vector<std::string> parts;
      std::vector<std::string> records;
      const int count = *rc::gen::inRange(0, 5);
      for (int i = 0; i < count; ++i) {
        const auto bytes = *rc::gen::container<std::vector<uint8_t>>(
            rc::gen::arbitrary<uint8_t>());
        parts.emplace_back(bytes.begin(), bytes.end());
        const std::string& part = parts.back();
        for (size_t at = 0; at + kRecordBytes <= part.size();
             at += kRecordBytes) {
          records.push_back(part.substr(at, kRecordBytes));
        }
      }
      const size_t top = *rc::gen::inRange<size_t>(0, 8);
      std::sort(records.rbegin(), records.rend());
      std::string expected;
      for (size_t i = 0; i < std::min(top, records.size()); ++i) {
        expected += records[i];
      }
      RC_ASSERT(MergeTopRecords(parts, top) == expected);
    }));
  }

  void CrashesOfAllHostsAddUp() {
    CrashTracker tracker;
    CPPUNIT_ASSERT(!tracker.OnCrash(7, kTarget, kStart, kStart));
    CPPUNIT_ASSERT(!tracker.Merge({7, kSecondTarget, 0}, kStart));
    CPPUNIT_ASSERT(!tracker.IsQuarantined(7, kStart));
    CPPUNIT_ASSERT(tracker.Merge({7, kThirdTarget, 0}, kStart));
    CPPUNIT_ASSERT(tracker.IsQuarantined(7, kStart));
    CPPUNIT_ASSERT(!tracker.IsQuarantined(8, kStart));
  }

  void SuspectRequestsGetFewerAttempts() {
    CrashTracker tracker;
    CPPUNIT_ASSERT_EQUAL(3, tracker.LimitAttempts(7, 3));
    tracker.OnCrash(7, kTarget, kStart, kStart);
    CPPUNIT_ASSERT_EQUAL(2, tracker.LimitAttempts(7, 3));
    tracker.OnCrash(7, kSecondTarget, kStart, kStart);
    CPPUNIT_ASSERT_EQUAL(1, tracker.LimitAttempts(7, 3));
    tracker.OnCrash(7, kThirdTarget, kStart, kStart);
    CPPUNIT_ASSERT_EQUAL(1, tracker.LimitAttempts(7, 3));
    CPPUNIT_ASSERT_EQUAL(1, tracker.LimitAttempts(8, 0));
  }

  // Many callers send the same request; one target crashes under all of them,
  // as seen by several hosts.
  void CrashOfOneTargetCountsOnce() {
    CrashTracker tracker;
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(!tracker.OnCrash(7, kTarget, kStart, kStart));
      CPPUNIT_ASSERT(!tracker.Merge({7, kTarget, 5}, kStart));
    }
    CPPUNIT_ASSERT_EQUAL(1, tracker.Total(7));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         tracker.TakeReportsToGossip(9, kStart).size());
  }

  // A request that callers send all the time is running whenever a target
  // crashes.
  void RecentlyAnsweredRequestIsNotBlamed() {
    CrashTracker tracker;
    for (uint64_t request = 0; request < 100'000; ++request) {
      tracker.OnAnswered(request, kStart);
    }
    tracker.OnAnswered(7, kStart);
    CrashThreeTargets(tracker, 7);
    // A host that has just started knows of no answer and counts them.
    for (const uint32_t target : {kTarget, kSecondTarget, kThirdTarget}) {
      tracker.Merge({7, target, 0}, kStart);
    }
    CPPUNIT_ASSERT(!tracker.IsQuarantined(7, kStart));
    CPPUNIT_ASSERT_EQUAL(0, tracker.Total(7));
    CrashThreeTargets(tracker, 200'000);
    CPPUNIT_ASSERT(tracker.IsQuarantined(200'000, kStart));
    const absl::Time later = kStart + absl::Minutes(2);
    tracker.OnCrash(7, kTarget, later, later);
    CPPUNIT_ASSERT_EQUAL(1, tracker.Total(7));
  }

  void CrashesBeforeTheLastAnswerAreNotCounted() {
    CrashTracker tracker;
    tracker.OnCrash(7, kTarget, kStart - absl::Seconds(5),
                    kStart - absl::Seconds(5));
    tracker.OnAnswered(7, kStart);
    const absl::Time late = kStart + absl::Seconds(90);
    for (const uint32_t target : {kTarget, kSecondTarget, kThirdTarget}) {
      tracker.Merge({7, target, 95'000}, late);
    }
    CPPUNIT_ASSERT_EQUAL(0, tracker.Total(7));
    CPPUNIT_ASSERT(!tracker.IsQuarantined(7, late));
    tracker.Merge({7, kTarget, 5'000}, late);
    tracker.Merge({7, kSecondTarget, 3'000}, late);
    tracker.Merge({7, kThirdTarget, 1'000}, late);
    CPPUNIT_ASSERT(tracker.IsQuarantined(7, late));
  }

  void CrashesAfterTheLastAnswerAreCountedAtOnce() {
    CrashTracker tracker;
    tracker.OnAnswered(7, kStart);
    absl::Time now = kStart;
    for (const uint32_t target : {kTarget, kSecondTarget, kThirdTarget}) {
      now += absl::Seconds(2);
      tracker.OnCrash(7, target, now, now);
    }
    CPPUNIT_ASSERT_EQUAL(3, tracker.Total(7));
    CPPUNIT_ASSERT(tracker.IsQuarantined(7, now));
  }

  void AnsweredRequestIsNotBlamedForTargetsThatEndAtOnce() {
    CrashTracker tracker;
    tracker.OnAnswered(7, kStart);
    const absl::Time outage = kStart + absl::Milliseconds(100);
    for (uint32_t target = 1; target <= 9; ++target) {
      const absl::Time sent_at = outage + absl::Milliseconds(target);
      tracker.OnCrash(7, target, sent_at, outage + absl::Seconds(1));
    }
    CPPUNIT_ASSERT(!tracker.IsQuarantined(7, outage + absl::Seconds(1)));
    CPPUNIT_ASSERT_EQUAL(1, tracker.Total(7));
  }

  void AnswerEndsQuarantineByEarlierCrashes() {
    CrashTracker tracker;
    CrashThreeTargets(tracker, 7);
    tracker.OnAnswered(7, kStart - absl::Milliseconds(1));
    CPPUNIT_ASSERT(tracker.IsQuarantined(7, kStart));
    tracker.OnAnswered(7, kStart + absl::Milliseconds(1));
    CPPUNIT_ASSERT(!tracker.IsQuarantined(7, kStart));
  }

  // Hosts that seldom answer the request would add such crashes up.
  void CrashOfAnsweredRequestIsGossipedUnlessAnsweredAgain() {
    CrashTracker tracker;
    tracker.OnAnswered(7, kStart);
    const absl::Time crash = kStart + absl::Seconds(1);
    tracker.OnCrash(7, kTarget, crash, crash);
    CPPUNIT_ASSERT(GossipedRequests(tracker, absl::Seconds(1.5)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         GossipedRequests(tracker, absl::Seconds(2)).size());
    tracker.OnAnswered(7, kStart + absl::Seconds(2));
    CPPUNIT_ASSERT(GossipedRequests(tracker, absl::Seconds(3)).empty());
  }

  void CrashesLongAfterAnAnswerCountOneByOne() {
    CrashTracker tracker;
    CrashTracker other;
    tracker.OnAnswered(7, kStart);
    absl::Time now = kStart + absl::Minutes(2);
    for (const uint32_t target : {kTarget, kSecondTarget, kThirdTarget}) {
      other.OnCrash(7, target, now, now);
      now += absl::Milliseconds(300);
    }
    for (const CrashReport& report : other.TakeReportsToGossip(20, now)) {
      tracker.Merge(report, now);
    }
    CPPUNIT_ASSERT(tracker.IsQuarantined(7, now));
  }

  void CrashesBeforeAndAfterAHostRestartAddUp() {
    CrashTracker other;
    for (const uint32_t target : {kTarget, kSecondTarget, kThirdTarget}) {
      CrashTracker restarted;
      restarted.OnCrash(7, target, kStart, kStart);
      for (const CrashReport& report :
           restarted.TakeReportsToGossip(kMessageReports, kStart)) {
        other.Merge(report, kStart);
      }
    }
    CPPUNIT_ASSERT_EQUAL(3, other.Total(7));
    CPPUNIT_ASSERT(other.IsQuarantined(7, kStart));
  }

  void NewCrashIsInTheNextMessage() {
    CPPUNIT_ASSERT(rc::check("new crash", [] {
      CrashTracker tracker;
      const auto older = *rc::gen::container<std::set<uint64_t>>(
          100, rc::gen::arbitrary<uint64_t>());
      const auto new_request = *rc::gen::arbitrary<uint64_t>();
      for (const uint64_t fingerprint : older) {
        tracker.OnCrash(fingerprint, kTarget, kStart, kStart);
      }
      for (int i = *rc::gen::inRange(0, 40); i > 0; --i) {
        tracker.TakeReportsToGossip(kMessageReports, kStart);
      }
      tracker.OnCrash(new_request, kSecondTarget, kStart + absl::Seconds(1),
                      kStart + absl::Seconds(1));
      RC_ASSERT(
          GossipedRequests(tracker, absl::Seconds(1)).count(new_request) == 1);
    }));
  }

  void EveryCrashIsGossipedInTurn() {
    CrashTracker tracker;
    for (uint64_t i = 0; i < 100; ++i)
      tracker.OnCrash(i, kTarget, kStart, kStart);
    std::set<uint64_t> gossiped;
    for (size_t i = 0; i < 100; i += kMessageReports) {
      gossiped.merge(GossipedRequests(tracker, absl::Seconds(1)));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{100}, gossiped.size());
  }

  void QuarantinedRequestsAreInEveryMessage() {
    CrashTracker tracker;
    for (uint64_t i = 0; i < 100; ++i)
      tracker.OnCrash(i, kTarget, kStart, kStart);
    CrashThreeTargets(tracker, 200);
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(GossipedRequests(tracker, absl::Seconds(1)).count(200) ==
                     1);
    }
  }

  void QuarantineIsGossipedBesideManySuspects() {
    CrashTracker tracker;
    CrashThreeTargets(tracker, 200);
    for (uint64_t i = 0; i < 100; ++i) {
      tracker.OnCrash(i, kTarget, kStart + absl::Seconds(1),
                      kStart + absl::Seconds(1));
      tracker.OnCrash(i, kSecondTarget, kStart + absl::Seconds(1),
                      kStart + absl::Seconds(1));
    }
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(GossipedRequests(tracker, absl::Seconds(1)).count(200) ==
                     1);
    }
  }

  // All hosts must know of a quarantine within the time that the platform
  // allows a fleet of that size.
  void QuarantineReachesEveryHostOfALargeFleet() {
    for (uint32_t seed = 0; seed < 5; ++seed) {
      for (const auto& [hosts, limit] :
           {std::pair<size_t, absl::Duration>(88, absl::Seconds(6)),
            std::pair<size_t, absl::Duration>(295, absl::Seconds(8))}) {
        // Two hosts use both attempts just after other targets have crashed.
        CheckQuarantineDelay(hosts, {2, 2}, absl::ZeroDuration(), limit, seed);
        CheckQuarantineDelay(hosts, {1, 1, 1}, absl::Minutes(1), limit, seed);
      }
    }
  }

  // Guards against counts whose age restarts each time that they are gossiped,
  // so that they never expire.
  void CrashesExpireOnAllHostsAtTheSameTime() {
    CrashTracker first;
    CrashTracker second;
    CrashThreeTargets(first, 7);
    const absl::Time late = kStart + absl::Minutes(9);
    for (const CrashReport& report :
         first.TakeReportsToGossip(kMessageReports, late)) {
      second.Merge(report, late);
    }
    CPPUNIT_ASSERT(second.IsQuarantined(7, late));
    const absl::Time later = kStart + absl::Minutes(10);
    CPPUNIT_ASSERT(!second.IsQuarantined(7, later));
    CPPUNIT_ASSERT(second.TakeReportsToGossip(kMessageReports, later).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, second.size());
  }

  // @param crashes of one request, at one host each.
  // @param age of the crashes of other requests, which all hosts know.
  static void CheckQuarantineDelay(size_t hosts,
                                   const std::vector<int>& crashes,
                                   absl::Duration age, absl::Duration limit,
                                   uint32_t seed) {
    constexpr uint64_t kBadRequest = 1000;
    constexpr absl::Duration kRound = absl::Milliseconds(500);
    constexpr size_t kRoundsPerDigest = 4;
    constexpr size_t kFanout = 2;
    std::bernoulli_distribution is_lost(0.01);
    std::mt19937 random(seed);
    std::vector<CrashTracker> trackers(hosts);
    for (CrashTracker& tracker : trackers) {
      for (uint64_t other = 0; other < 60; ++other) {
        tracker.Merge({other, kTarget, 0}, kStart - age);
      }
      for (int i = 0; i < 5 && age > absl::ZeroDuration(); ++i) {
        tracker.TakeReportsToGossip(kMessageReports, kStart - age);
      }
    }
    absl::Time now = kStart;
    const std::function<void(size_t)> gossip = [&](size_t from) {
      const std::vector<CrashReport> reports =
          trackers[from].TakeReportsToGossip(kMessageReports, now);
      for (size_t i = 0; i < kFanout; ++i) {
        const size_t to = random() % hosts;
        if (to == from || is_lost(random)) continue;
        bool quarantined_any = false;
        for (const CrashReport& report : reports) {
          if (trackers[to].Merge(report, now)) quarantined_any = true;
        }
        if (quarantined_any) gossip(to);
      }
    };
    uint32_t target = 0;
    for (size_t host = 0; host < crashes.size(); ++host) {
      for (int i = 0; i < crashes[host]; ++i) {
        trackers[host].OnCrash(kBadRequest, ++target, now, now);
      }
      gossip(host);
    }
    size_t uninformed = hosts;
    for (size_t round = 0; uninformed > 0; ++round, now += kRound) {
      CPPUNIT_ASSERT_MESSAGE(
          absl::StrCat(crashes.size(), " of ", hosts, " hosts, seed ", seed,
                       ": ", uninformed, " uninformed after ",
                       absl::ToDoubleSeconds(now - kStart), " s"),
          now - kStart <= limit);
      for (size_t host = 0; host < hosts; ++host) {
        if ((round + host) % kRoundsPerDigest == 0 ||
            trackers[host].HasNewQuarantine(now)) {
          gossip(host);
        }
      }
      uninformed = static_cast<size_t>(std::count_if(
          trackers.begin(), trackers.end(), [&](const CrashTracker& tracker) {
            return !tracker.IsQuarantined(kBadRequest, now);
          }));
    }
  }

  void FullTrackerEvictsTheOldestCrash() {
    constexpr uint64_t kManyRequests = 5000;
    CrashTracker tracker;
    CrashThreeTargets(tracker, kManyRequests);
    for (uint64_t i = 0; i < kManyRequests; ++i) {
      const absl::Time at = kStart + absl::Milliseconds(static_cast<double>(i));
      tracker.OnCrash(i, kTarget, at, at);
      tracker.Merge({kManyRequests, kThirdTarget + static_cast<uint32_t>(i), 0},
                    at);
    }
    CPPUNIT_ASSERT_EQUAL(0, tracker.Total(0));
    CPPUNIT_ASSERT_EQUAL(1, tracker.Total(kManyRequests - 1));
    CPPUNIT_ASSERT(tracker.size() <= 4096);
    CPPUNIT_ASSERT(
        tracker.IsQuarantined(kManyRequests, kStart + absl::Minutes(1)));
  }

  void FullTrackerKeepsQuarantinedRequests() {
    constexpr uint64_t kBadRequest = 10'000;
    CrashTracker tracker;
    CrashThreeTargets(tracker, kBadRequest);
    const absl::Time later = kStart + absl::Minutes(1);
    for (uint64_t i = 0; i < 5000; ++i)
      tracker.OnCrash(i, kTarget, later, later);
    CPPUNIT_ASSERT(tracker.IsQuarantined(kBadRequest, later));
  }

  void OverdueTargetIsSuspectUntilItAnswers() {
    TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
    health.OnSent();
    health.OnOverdue(kStart, kStart + absl::Milliseconds(50));
    CPPUNIT_ASSERT(health.IsSuspect(kStart + absl::Milliseconds(60)));
    health.OnEnded(TargetOutcome::kAnswered, absl::Milliseconds(200),
                   kStart + absl::Milliseconds(200));
    CPPUNIT_ASSERT(!health.IsSuspect(kStart + absl::Milliseconds(200)));
  }

  void OverdueRequestIsIgnoredAfterALaterAnswer() {
    TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
    health.OnSent();
    health.OnSent();
    health.OnEnded(TargetOutcome::kAnswered, absl::Milliseconds(5),
                   kStart + absl::Milliseconds(5));
    health.OnOverdue(kStart, kStart + absl::Milliseconds(50));
    CPPUNIT_ASSERT(!health.IsSuspect(kStart + absl::Milliseconds(50)));
  }

  void OutstandingRequestsAreNeverNegative() {
    TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
    health.OnEnded(TargetOutcome::kAnswered, absl::Milliseconds(5), kStart);
    CPPUNIT_ASSERT_EQUAL(0, health.outstanding());
  }

  void LearnedLatencyDecays() {
    TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
    health.OnSent();
    health.OnEnded(TargetOutcome::kAnswered, absl::Milliseconds(500), kStart);
    const auto at = [&](absl::Duration later) {
      return health.ExpectedLatency(2, 3, kStart + later);
    };
    CPPUNIT_ASSERT(at(absl::ZeroDuration()) > absl::Milliseconds(400));
    CPPUNIT_ASSERT(at(absl::Seconds(50)) < absl::Milliseconds(20));
  }

  void FailureRateFollowsAtAnyRequestRate() {
    for (const absl::Duration gap :
         {absl::Milliseconds(30), absl::Milliseconds(700)}) {
      TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
      absl::Time now = kStart;
      const auto exchange = [&](bool good) {
        now += gap;
        health.OnSent();
        health.OnEnded(
            good ? TargetOutcome::kAnswered : TargetOutcome::kRejected,
            absl::Milliseconds(5), now);
      };
      for (int i = 0; i < 12; ++i) exchange(true);
      exchange(false);
      CPPUNIT_ASSERT(health.FailureRate(now) < 0.1);
      for (int i = 0; i < 12; ++i) exchange(i % 2 == 0);
      CPPUNIT_ASSERT(health.FailureRate(now) > 0.2);
    }
  }

  void UnresponsiveOnlyAfterAFailedProbe() {
    TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
    health.OnSent();
    health.OnOverdue(kStart, kStart + absl::Milliseconds(30));
    const absl::Time later = kStart + absl::Milliseconds(700);
    CPPUNIT_ASSERT(!health.IsUnresponsive(later));
    health.OnOverdue(later, later + absl::Milliseconds(30));
    CPPUNIT_ASSERT(health.IsUnresponsive(later + absl::Milliseconds(40)));
    // After the backoff it gets a half-open probe.
    health.OnSendCancelled();
    CPPUNIT_ASSERT(!health.IsUnresponsive(later + absl::Seconds(4)));
  }

  void CancelledRequestCountsAsSlow() {
    TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
    health.OnSent();
    health.OnEnded(TargetOutcome::kCancelled, absl::Milliseconds(300), kStart);
    CPPUNIT_ASSERT(health.ExpectedLatency(2, 3, kStart) >
                   absl::Milliseconds(250));
    CPPUNIT_ASSERT_EQUAL(0.0, health.FailureRate(kStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchTablesTest);

}  // namespace cherrydyke
