#include "dispatch/target_health_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace cherrydyke {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kUsual = absl::Milliseconds(10);
constexpr size_t kNoLimit = 1000;

std::vector<TargetHealthReport> Take(HealthReportCollector& book,
                                     size_t limit = kNoLimit) {
  return book.TakeReports(
      limit, [](uint32_t) { return true; }, kNow);
}

}  // namespace

class TargetHealthReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetHealthReportTest);
  CPPUNIT_TEST(IsToldOnce);
  CPPUNIT_TEST(FailuresComeFirstWhereNotAllFit);
  CPPUNIT_TEST(WhatDoesNotFitIsToldNextTime);
  CPPUNIT_TEST(ClosedTargetsAreToldOnceAndFirst);
  CPPUNIT_TEST(AnswersOfTargetsThatNeverFailAreNotTold);
  CPPUNIT_TEST(CountsStayWithinTheirFields);
  CPPUNIT_TEST(OwnConnectionsSayNothingOfTheTarget);
  CPPUNIT_TEST(ToldFailuresCountLessThanOwnOnes);
  CPPUNIT_TEST(ToldAnswersMakeAFailingTargetUsableAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IsToldOnce() {
    HealthReportCollector book;
    book.RecordOutcome(7, TargetOutcome::kAnswered);
    book.RecordOutcome(7, TargetOutcome::kAnswered);
    book.RecordOutcome(7, TargetOutcome::kLost);
    CPPUNIT_ASSERT(Take(book) == (std::vector<TargetHealthReport>{{7, 2, 1}}));
    CPPUNIT_ASSERT(Take(book).empty());
  }

  void FailuresComeFirstWhereNotAllFit() {
    HealthReportCollector book;
    book.RecordOutcome(1, TargetOutcome::kAnswered);
    book.RecordOutcome(2, TargetOutcome::kLost);
    book.RecordOutcome(3, TargetOutcome::kFailed);
    book.RecordOutcome(3, TargetOutcome::kFailed);
    const std::vector<TargetHealthReport> told = Take(book, 2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, told.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{3}, told[0].target);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, told[1].target);
  }

  void WhatDoesNotFitIsToldNextTime() {
    HealthReportCollector book;
    const auto fail_all = [&] {
      for (uint32_t target = 0; target < 30; ++target) {
        book.RecordOutcome(target, TargetOutcome::kLost);
      }
    };
    std::set<uint32_t> told;
    for (int message = 0; message < 3; ++message) {
      fail_all();
      for (const TargetHealthReport& one : Take(book, 10))
        told.insert(one.target);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{30}, told.size());
  }

  void ClosedTargetsAreToldOnceAndFirst() {
    HealthReportCollector book;
    book.RecordOutcome(1, TargetOutcome::kLost);
    book.RecordBackoff(2, kNow + absl::Milliseconds(1250));
    book.RecordBackoff(3, absl::InfiniteFuture());
    book.RecordBackoff(4, kNow - absl::Seconds(1));
    const auto told = book.TakeReports(
        kNoLimit, [](uint32_t) { return false; }, kNow);
    CPPUNIT_ASSERT(told == (std::vector<TargetHealthReport>{
                               {3, 0, 0, 255}, {2, 0, 0, 12}, {1, 0, 1, 0}}));
    CPPUNIT_ASSERT(Take(book).empty());
  }

  void AnswersOfTargetsThatNeverFailAreNotTold() {
    HealthReportCollector book;
    for (const uint32_t target : {1, 2, 3}) {
      book.RecordOutcome(target, TargetOutcome::kAnswered);
    }
    book.RecordOutcome(3, TargetOutcome::kLost);
    const auto told = book.TakeReports(
        kNoLimit, [](uint32_t target) { return target == 2; }, kNow);
    CPPUNIT_ASSERT(told ==
                   (std::vector<TargetHealthReport>{{3, 1, 1}, {2, 1, 0}}));
    CPPUNIT_ASSERT(Take(book).empty());
  }

  void CountsStayWithinTheirFields() {
    HealthReportCollector book;
    for (int i = 0; i < 1000; ++i) {
      book.RecordOutcome(1, TargetOutcome::kAnswered);
      book.RecordOutcome(1, TargetOutcome::kRejected);
    }
    CPPUNIT_ASSERT(Take(book) ==
                   (std::vector<TargetHealthReport>{{1, 255, 255}}));
  }

  void OwnConnectionsSayNothingOfTheTarget() {
    HealthReportCollector book;
    book.RecordOutcome(1, TargetOutcome::kUnreachable);
    book.RecordOutcome(1, TargetOutcome::kNotSent);
    CPPUNIT_ASSERT(Take(book).empty());
  }

  void ToldFailuresCountLessThanOwnOnes() {
    TargetHealth told(kUsual, kUsual);
    TargetHealth own(kUsual, kUsual);
    told.OnPeerReport(0, 3, kNow);
    for (int i = 0; i < 3; ++i) own.OnEnded(TargetOutcome::kLost, kUsual, kNow);
    CPPUNIT_ASSERT(told.FailureRate(kNow) > 0.2);
    CPPUNIT_ASSERT(told.FailureRate(kNow) < own.FailureRate(kNow));
    // Nor is it taken for silent by hearsay.
    CPPUNIT_ASSERT(!told.IsSuspect(kNow));
  }

  void ToldAnswersMakeAFailingTargetUsableAgain() {
    TargetHealth health(kUsual, kUsual);
    for (int i = 0; i < 10; ++i) health.OnPeerReport(0, 2, kNow);
    const double failing = health.FailureRate(kNow);
    for (int i = 0; i < 10; ++i) health.OnPeerReport(4, 0, kNow);
    CPPUNIT_ASSERT(health.FailureRate(kNow) < 0.5 * failing);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetHealthReportTest);

}  // namespace cherrydyke
