#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "dispatch/crash_tracker.h"
#include "dispatch/route_table.h"
#include "dispatch/target_health.h"
#include "dispatch/top_records.h"

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

constexpr Incarnation kSelf = 1;
constexpr Incarnation kPeer = 100;
/// Counts in one message between hosts.
constexpr size_t kMessage = 12;

std::set<uint64_t> Told(CrashTracker& ledger, absl::Duration later) {
  std::set<uint64_t> told;
  for (const CrashCount& count :
       ledger.TakeCountsToGossip(kMessage, kStart + later)) {
    told.insert(count.fingerprint);
  }
  return told;
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
  CPPUNIT_TEST(WeightsAreKeptInAnyShortRun);
  CPPUNIT_TEST(MergesLikeASort);
  CPPUNIT_TEST(CrashesOfAllHostsAddUp);
  CPPUNIT_TEST(OldCountsChangeNothing);
  CPPUNIT_TEST(CrashesAfterARestartOfTheirHostCount);
  CPPUNIT_TEST(NewCrashIsToldNextBesideManyOlder);
  CPPUNIT_TEST(EveryCrashIsToldInTurn);
  CPPUNIT_TEST(QuarantinedRequestsAreInEveryMessage);
  CPPUNIT_TEST(CrashesAreForgottenEverywhereAtTheSameTime);
  CPPUNIT_TEST(FullLedgerDropsTheOldestCrash);
  CPPUNIT_TEST(SilentTargetIsSuspectUntilItAnswers);
  CPPUNIT_TEST(AnswerToALaterRequestClearsAnOverdueOne);
  CPPUNIT_TEST(ReplacedTargetDoesNotCountBelowZero);
  CPPUNIT_TEST(SlownessIsForgotten);
  CPPUNIT_TEST(FailuresShowAtAnyRateOfRequests);
  CPPUNIT_TEST(DarkOnlyAfterATrialHasFailedToo);
  CPPUNIT_TEST(WorkThatIsGivenUpCountsAsSlow);
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

  void WeightsAreKeptInAnyShortRun() {
    const std::vector<WeightedService> services = {{"a", 3}, {"b", 1}};
    WeightedRoundRobin spreader;
    std::map<size_t, int> chosen;
    for (int i = 0; i < 40; ++i) ++chosen[spreader.Next(services)];
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
    CrashTracker ledger(kSelf);
    CPPUNIT_ASSERT(!ledger.OnCrash(7, kStart));
    CPPUNIT_ASSERT(!ledger.MergeCount({7, kPeer, 1, 0}, kStart));
    CPPUNIT_ASSERT(!ledger.IsQuarantined(7, kStart));
    CPPUNIT_ASSERT(ledger.MergeCount({7, kPeer + 1, 1, 0}, kStart));
    CPPUNIT_ASSERT(ledger.IsQuarantined(7, kStart));
    CPPUNIT_ASSERT(!ledger.IsQuarantined(8, kStart));
  }

  void OldCountsChangeNothing() {
    CrashTracker ledger(kSelf);
    ledger.MergeCount({7, kPeer, 2, 0}, kStart);
    ledger.MergeCount({7, kPeer, 1, 0}, kStart);
    CPPUNIT_ASSERT(!ledger.IsQuarantined(7, kStart));
    CPPUNIT_ASSERT_EQUAL(2,
                         ledger.TakeCountsToGossip(9, kStart).front().crashes);
  }

  void CrashesAfterARestartOfTheirHostCount() {
    CrashTracker other(kSelf);
    for (Incarnation lifetime = 0; lifetime < 3; ++lifetime) {
      CrashTracker restarted(kPeer + lifetime);
      restarted.OnCrash(7, kStart);
      for (const CrashCount& count :
           restarted.TakeCountsToGossip(kMessage, kStart)) {
        other.MergeCount(count, kStart);
      }
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, other.Total(7));
    CPPUNIT_ASSERT(other.IsQuarantined(7, kStart));
  }

  void NewCrashIsToldNextBesideManyOlder() {
    CPPUNIT_ASSERT(rc::check("new crash", [] {
      CrashTracker ledger(kSelf);
      const auto older = *rc::gen::container<std::set<uint64_t>>(
          100, rc::gen::arbitrary<uint64_t>());
      const auto fresh = *rc::gen::arbitrary<uint64_t>();
      for (const uint64_t fingerprint : older) {
        ledger.OnCrash(fingerprint, kStart);
      }
      for (int i = *rc::gen::inRange(0, 40); i > 0; --i) {
        ledger.TakeCountsToGossip(kMessage, kStart);
      }
      ledger.OnCrash(fresh, kStart + absl::Seconds(1));
      RC_ASSERT(Told(ledger, absl::Seconds(1)).count(fresh) == 1);
    }));
  }

  void EveryCrashIsToldInTurn() {
    CrashTracker ledger(kSelf);
    for (uint64_t i = 0; i < 100; ++i) ledger.OnCrash(i, kStart);
    std::set<uint64_t> told;
    for (size_t i = 0; i < 100; i += kMessage) {
      told.merge(Told(ledger, absl::Seconds(1)));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{100}, told.size());
  }

  void QuarantinedRequestsAreInEveryMessage() {
    CrashTracker ledger(kSelf);
    for (uint64_t i = 0; i < 100; ++i) ledger.OnCrash(i, kStart);
    ledger.MergeCount({200, kPeer, 3, 0}, kStart);
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(Told(ledger, absl::Seconds(1)).count(200) == 1);
    }
  }

  // A count that hosts tell each other must not stay young for ever.
  void CrashesAreForgottenEverywhereAtTheSameTime() {
    CrashTracker first(kSelf);
    CrashTracker second(kPeer);
    for (int i = 0; i < 3; ++i) first.OnCrash(7, kStart);
    const absl::Time late = kStart + absl::Minutes(9);
    for (const CrashCount& count : first.TakeCountsToGossip(kMessage, late)) {
      second.MergeCount(count, late);
    }
    CPPUNIT_ASSERT(second.IsQuarantined(7, late));
    const absl::Time later = kStart + absl::Minutes(10);
    CPPUNIT_ASSERT(!second.IsQuarantined(7, later));
    CPPUNIT_ASSERT(second.TakeCountsToGossip(kMessage, later).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, second.size());
  }

  void FullLedgerDropsTheOldestCrash() {
    constexpr uint64_t kMany = 5000;
    CrashTracker ledger(kSelf);
    for (int i = 0; i < 3; ++i) ledger.OnCrash(kMany, kStart);
    for (uint64_t i = 0; i < kMany; ++i) {
      ledger.OnCrash(i, kStart + absl::Milliseconds(static_cast<double>(i)));
      ledger.MergeCount({kMany, kPeer, static_cast<int>(i) + 1, 0},
                        kStart + absl::Milliseconds(static_cast<double>(i)));
    }
    CPPUNIT_ASSERT(ledger.size() <= 4096);
    CPPUNIT_ASSERT(ledger.IsQuarantined(kMany, kStart + absl::Minutes(1)));
  }

  void SilentTargetIsSuspectUntilItAnswers() {
    TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
    health.OnSent();
    health.OnOverdue(kStart, kStart + absl::Milliseconds(50));
    CPPUNIT_ASSERT(health.IsSuspect(kStart + absl::Milliseconds(60)));
    health.OnEnded(TargetOutcome::kAnswered, absl::Milliseconds(200),
                   kStart + absl::Milliseconds(200));
    CPPUNIT_ASSERT(!health.IsSuspect(kStart + absl::Milliseconds(200)));
  }

  void AnswerToALaterRequestClearsAnOverdueOne() {
    TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
    health.OnSent();
    health.OnSent();
    health.OnEnded(TargetOutcome::kAnswered, absl::Milliseconds(5),
                   kStart + absl::Milliseconds(5));
    health.OnOverdue(kStart, kStart + absl::Milliseconds(50));
    CPPUNIT_ASSERT(!health.IsSuspect(kStart + absl::Milliseconds(50)));
  }

  void ReplacedTargetDoesNotCountBelowZero() {
    TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
    health.OnEnded(TargetOutcome::kAnswered, absl::Milliseconds(5), kStart);
    CPPUNIT_ASSERT_EQUAL(0, health.outstanding());
  }

  void SlownessIsForgotten() {
    TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
    health.OnSent();
    health.OnEnded(TargetOutcome::kAnswered, absl::Milliseconds(500), kStart);
    const auto at = [&](absl::Duration later) {
      return health.ExpectedLatency(2, 3, kStart + later);
    };
    CPPUNIT_ASSERT(at(absl::ZeroDuration()) > absl::Milliseconds(400));
    CPPUNIT_ASSERT(at(absl::Seconds(50)) < absl::Milliseconds(20));
  }

  void FailuresShowAtAnyRateOfRequests() {
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

  void DarkOnlyAfterATrialHasFailedToo() {
    TargetHealth health(absl::ZeroDuration(), absl::Milliseconds(10));
    health.OnSent();
    health.OnOverdue(kStart, kStart + absl::Milliseconds(30));
    const absl::Time later = kStart + absl::Milliseconds(700);
    CPPUNIT_ASSERT(!health.IsUnresponsive(later));
    health.OnOverdue(later, later + absl::Milliseconds(30));
    CPPUNIT_ASSERT(health.IsUnresponsive(later + absl::Milliseconds(40)));
    // Now and then it gets a trial.
    health.OnSendCancelled();
    CPPUNIT_ASSERT(!health.IsUnresponsive(later + absl::Seconds(4)));
  }

  void WorkThatIsGivenUpCountsAsSlow() {
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
