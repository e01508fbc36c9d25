#include "tier/source_outage.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tier/publishing_times.h"

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

absl::Time At(double seconds) { return kStart + absl::Seconds(seconds); }

}  // namespace

class SourceOutageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SourceOutageTest);
  CPPUNIT_TEST(FailuresForLongAreAnOutage);
  CPPUNIT_TEST(FailuresForAShortTimeAreNone);
  CPPUNIT_TEST(FailuresOfOneHostBesideReadsOfOthersAreNone);
  CPPUNIT_TEST(FailureBeforeALongTimeWithoutCallsIsNone);
  CPPUNIT_TEST(ReadOfAPeerEndsAnOutage);
  CPPUNIT_TEST(ReadOfAPeerAfterAShortFailureEndsNone);
  CPPUNIT_TEST(GraceEndsBeforeAHostWhosePathIsBackIsInTouch);
  CPPUNIT_TEST(PeersReportCountsIfNobodyReadMeanwhile);
  CPPUNIT_TEST(PeersReportDoesNotCountBesideReads);
  CPPUNIT_TEST(PeersReportCountsThoughOthersHaveReadSince);
  CPPUNIT_TEST(ReportOfALaterRecoveryDoesNotProlongTheGrace);
  CPPUNIT_TEST(GraceAfterARestoreEndsBeforeAHostWhosePathIsBackIsInTouch);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FailuresForLongAreAnOutage() {
    Fail(0, 0.7);
    Fail(0.8, 1.5);
    CPPUNIT_ASSERT(outage_.OnRead(At(-0.1), At(1.7)));
    CPPUNIT_ASSERT(outage_.recovered_at() == At(1.7));
    CPPUNIT_ASSERT(outage_.grace_end() ==
                   At(1.7) + SourceOutage::kExpiredEntryGrace);
  }

  void FailuresForAShortTimeAreNone() {
    Fail(0, 0.1);
    CPPUNIT_ASSERT(!outage_.OnRead(At(-1), At(0.3)));
    // Nor do two of them add up.
    Fail(2, 2.1);
    CPPUNIT_ASSERT(!outage_.OnRead(At(0.3), At(2.3)));
    CPPUNIT_ASSERT(outage_.grace_end() == absl::InfinitePast());
  }

  void FailuresOfOneHostBesideReadsOfOthersAreNone() {
    for (int second = 0; second < 10; ++second) Fail(second, second + 0.1);
    CPPUNIT_ASSERT(!outage_.OnRead(At(9), At(10)));
  }

  void FailureBeforeALongTimeWithoutCallsIsNone() {
    Fail(0, 0.1);
    // The proofs of peers ended so long ago that the host reads itself.
    CPPUNIT_ASSERT(!outage_.OnRead(At(58), At(60)));
  }

  void ReadOfAPeerEndsAnOutage() {
    outage_.OnProven(At(-0.1));
    Fail(0, 0.7);
    Fail(2.8, 3.5);
    CPPUNIT_ASSERT(outage_.OnProven(At(4)));
    CPPUNIT_ASSERT(outage_.recovered_at() == At(4));
    CPPUNIT_ASSERT(!outage_.OnRead(At(4), At(4.2)));
    CPPUNIT_ASSERT(outage_.recovered_at() == At(4));
  }

  void ReadOfAPeerAfterAShortFailureEndsNone() {
    outage_.OnProven(At(-1.7));
    Fail(0, 0.1);
    CPPUNIT_ASSERT(!outage_.OnProven(At(0.2)));
    // A later silence contains no failure.
    CPPUNIT_ASSERT(!outage_.OnProven(At(3)));
    CPPUNIT_ASSERT(outage_.grace_end() == absl::InfinitePast());
  }

  void GraceEndsBeforeAHostWhosePathIsBackIsInTouch() {
    constexpr double kLastFailure = 10;
    Fail(0, 0.7);
    Fail(kLastFailure, kLastFailure + 0.7);
    CPPUNIT_ASSERT(outage_.OnRead(At(-1), At(kLastFailure + 4)));
    CPPUNIT_ASSERT(outage_.grace_end() <
                   At(kLastFailure) + PublishingTimes::kContactTime);
  }

  // The path of this host alone was cut over a restore; targets that have left
  // since must not be used after the time of contact.
  void GraceAfterARestoreEndsBeforeAHostWhosePathIsBackIsInTouch() {
    constexpr double kPathBack = 60;
    for (int second = 0; second < 60; second += 3) Fail(second, second + 0.7);
    Fail(kPathBack - 0.01, kPathBack + 0.7);
    outage_.OnRead(At(-1), At(kPathBack + 3.9));
    outage_.OnRestored(At(kPathBack + 3.9));
    CPPUNIT_ASSERT(outage_.grace_end() <=
                   At(kPathBack) + PublishingTimes::kContactTime);
  }

  void PeersReportCountsIfNobodyReadMeanwhile() {
    Prove(0, 10);
    CPPUNIT_ASSERT(outage_.OnPeerRecovered(At(14)));
    CPPUNIT_ASSERT(outage_.recovered_at() == At(14));
  }

  void PeersReportDoesNotCountBesideReads() {
    Prove(0, 14);
    CPPUNIT_ASSERT(!outage_.OnPeerRecovered(At(13.8)));
    CPPUNIT_ASSERT(outage_.grace_end() == absl::InfinitePast());
  }

  void PeersReportCountsThoughOthersHaveReadSince() {
    Prove(0, 10);
    Prove(14, 16);
    CPPUNIT_ASSERT(outage_.OnPeerRecovered(At(14.1)));
    CPPUNIT_ASSERT(outage_.recovered_at() == At(14.1));
  }

  void ReportOfALaterRecoveryDoesNotProlongTheGrace() {
    Prove(0, 10);
    Prove(14, 20);
    CPPUNIT_ASSERT(outage_.OnPeerRecovered(At(14.1)));
    // The peer's own path came back later than the service.
    CPPUNIT_ASSERT(!outage_.OnPeerRecovered(At(19)));
    CPPUNIT_ASSERT(outage_.recovered_at() == At(14.1));
  }

 private:
  void Fail(double started, double failed) {
    outage_.OnReadFailed(At(started), At(failed));
  }
  // Reads are known at least once a second.
  void Prove(int from, int until) {
    for (int second = from; second <= until; ++second) {
      outage_.OnProven(At(second));
    }
  }

  SourceOutage outage_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SourceOutageTest);

}  // namespace cherrydyke
