#include "dispatch/target_health_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace cherrydyke {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kLatency = absl::Milliseconds(10);
constexpr size_t kNoLimit = 1000;

std::vector<TargetHealthReport> Take(HealthReportCollector& collector,
                                     size_t limit = kNoLimit) {
  return collector.TakeReports(
      limit, [](uint32_t) { return true; }, kNow);
}

}  // namespace

class TargetHealthReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetHealthReportTest);
  CPPUNIT_TEST(OutcomesAreReportedOnce);
  CPPUNIT_TEST(FailuresAreReportedFirstWhenNotAllFit);
  CPPUNIT_TEST(ReportsThatDoNotFitAreSentNextTime);
  CPPUNIT_TEST(BackoffsAreReportedOnceAndFirst);
  CPPUNIT_TEST(AnswersOfHealthyTargetsAreNotReported);
  CPPUNIT_TEST(CountsAreCappedToTheirFields);
  CPPUNIT_TEST(ConnectionFailuresAreNotReported);
  CPPUNIT_TEST(PeerReportedFailuresCountLessThanOwnOnes);
  CPPUNIT_TEST(PeerReportedAnswersLowerTheFailureRate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OutcomesAreReportedOnce() {
    HealthReportCollector collector;
    collector.RecordOutcome(7, TargetOutcome::kAnswered);
    collector.RecordOutcome(7, TargetOutcome::kAnswered);
    collector.RecordOutcome(7, TargetOutcome::kLost);
    CPPUNIT_ASSERT(Take(collector) ==
                   (std::vector<TargetHealthReport>{{7, 2, 1}}));
    CPPUNIT_ASSERT(Take(collector).empty());
  }

  void FailuresAreReportedFirstWhenNotAllFit() {
    HealthReportCollector collector;
    collector.RecordOutcome(1, TargetOutcome::kAnswered);
    collector.RecordOutcome(2, TargetOutcome::kLost);
    collector.RecordOutcome(3, TargetOutcome::kFailed);
    collector.RecordOutcome(3, TargetOutcome::kFailed);
    const std::vector<TargetHealthReport> reports = Take(collector, 2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, reports.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{3}, reports[0].target);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, reports[1].target);
  }

  void ReportsThatDoNotFitAreSentNextTime() {
    HealthReportCollector collector;
    const auto fail_all = [&] {
      for (uint32_t target = 0; target < 30; ++target) {
        collector.RecordOutcome(target, TargetOutcome::kLost);
      }
    };
    std::set<uint32_t> reports;
    for (int message = 0; message < 3; ++message) {
      fail_all();
      for (const TargetHealthReport& report : Take(collector, 10))
        reports.insert(report.target);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{30}, reports.size());
  }

  void BackoffsAreReportedOnceAndFirst() {
    HealthReportCollector collector;
    collector.RecordOutcome(1, TargetOutcome::kLost);
    collector.RecordBackoff(2, kNow + absl::Milliseconds(1250));
    collector.RecordBackoff(3, absl::InfiniteFuture());
    collector.RecordBackoff(4, kNow - absl::Seconds(1));
    const auto reports = collector.TakeReports(
        kNoLimit, [](uint32_t) { return false; }, kNow);
    CPPUNIT_ASSERT(reports ==
                   (std::vector<TargetHealthReport>{
                       {3, 0, 0, 255}, {2, 0, 0, 12}, {1, 0, 1, 0}}));
    CPPUNIT_ASSERT(Take(collector).empty());
  }

  void AnswersOfHealthyTargetsAreNotReported() {
    HealthReportCollector collector;
    for (const uint32_t target : {1, 2, 3}) {
      collector.RecordOutcome(target, TargetOutcome::kAnswered);
    }
    collector.RecordOutcome(3, TargetOutcome::kLost);
    const auto reports = collector.TakeReports(
        kNoLimit, [](uint32_t target) { return target == 2; }, kNow);
    CPPUNIT_ASSERT(reports ==
                   (std::vector<TargetHealthReport>{{3, 1, 1}, {2, 1, 0}}));
    CPPUNIT_ASSERT(Take(collector).empty());
  }

  void CountsAreCappedToTheirFields() {
    HealthReportCollector collector;
    for (int i = 0; i < 1000; ++i) {
      collector.RecordOutcome(1, TargetOutcome::kAnswered);
      collector.RecordOutcome(1, TargetOutcome::kRejected);
    }
    CPPUNIT_ASSERT(Take(collector) ==
                   (std::vector<TargetHealthReport>{{1, 255, 255}}));
  }

  void ConnectionFailuresAreNotReported() {
    HealthReportCollector collector;
    collector.RecordOutcome(1, TargetOutcome::kUnreachable);
    collector.RecordOutcome(1, TargetOutcome::kNotSent);
    CPPUNIT_ASSERT(Take(collector).empty());
  }

  void PeerReportedFailuresCountLessThanOwnOnes() {
    TargetHealth reports(kLatency, kLatency);
    TargetHealth own(kLatency, kLatency);
    reports.OnPeerReport(0, 3, kNow);
    for (int i = 0; i < 3; ++i)
      own.OnEnded(TargetOutcome::kLost, kLatency, kNow);
    CPPUNIT_ASSERT(reports.FailureRate(kNow) > 0.2);
    CPPUNIT_ASSERT(reports.FailureRate(kNow) < own.FailureRate(kNow));
    // Reports of peers do not make the target suspect.
    CPPUNIT_ASSERT(!reports.IsSuspect(kNow));
  }

  void PeerReportedAnswersLowerTheFailureRate() {
    TargetHealth health(kLatency, kLatency);
    for (int i = 0; i < 10; ++i) health.OnPeerReport(0, 2, kNow);
    const double failing = health.FailureRate(kNow);
    for (int i = 0; i < 10; ++i) health.OnPeerReport(4, 0, kNow);
    CPPUNIT_ASSERT(health.FailureRate(kNow) < 0.5 * failing);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetHealthReportTest);

}  // namespace cherrydyke
