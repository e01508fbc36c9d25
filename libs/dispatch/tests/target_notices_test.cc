#include "dispatch/target_notices.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "dispatch/concurrency_limit.h"
#include "dispatch/retry_after_scheduler.h"

namespace cherrydyke {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
const TargetInstance kTarget = {"t1", "10.0.0.1:80", 7};

}  // namespace

class TargetNoticesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetNoticesTest);
  CPPUNIT_TEST(LeavingHoldsForTheInstance);
  CPPUNIT_TEST(LatestEndOfBackoffHolds);
  CPPUNIT_TEST(BackoffsOfHostsAreJittered);
  CPPUNIT_TEST(BackoffIsCapped);
  CPPUNIT_TEST(NumberOfNoticesIsBounded);
  CPPUNIT_TEST(LimitStartsWithOneRequestAfterBackoff);
  CPPUNIT_TEST(TimeWhenEnoughPartsAreAvailable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeavingHoldsForTheInstance() {
    TargetNotices notices;
    CPPUNIT_ASSERT(!notices.IsLeaving(kTarget));
    CPPUNIT_ASSERT(notices.OnLeaving(kTarget, kNow));
    CPPUNIT_ASSERT(!notices.OnLeaving(kTarget, kNow));
    CPPUNIT_ASSERT(notices.IsLeaving(kTarget));
    CPPUNIT_ASSERT(!notices.IsLeaving({"t1", "10.0.0.1:80", 8}));
    CPPUNIT_ASSERT(!notices.IsLeaving({"t1", "10.0.0.2:80", 7}));
    CPPUNIT_ASSERT(!notices.IsLeaving({"t2", "10.0.0.1:80", 7}));
  }

  void LatestEndOfBackoffHolds() {
    TargetNotices notices;
    CPPUNIT_ASSERT(notices.BackoffUntil(kTarget) <= kNow);
    notices.OnBackoff(kTarget, absl::Seconds(5), 0, kNow);
    notices.OnBackoff(kTarget, absl::Seconds(1), 0, kNow + absl::Seconds(1));
    CPPUNIT_ASSERT(notices.BackoffUntil(kTarget) == kNow + absl::Seconds(5));
    notices.OnBackoff(kTarget, absl::Seconds(5), 0, kNow + absl::Seconds(1));
    CPPUNIT_ASSERT(notices.BackoffUntil(kTarget) == kNow + absl::Seconds(6));
  }

  void BackoffsOfHostsAreJittered() {
    TargetNotices first;
    TargetNotices last;
    const absl::Duration wait = absl::Seconds(2);
    CPPUNIT_ASSERT(first.OnBackoff(kTarget, wait, 0, kNow) == kNow + wait);
    CPPUNIT_ASSERT(last.OnBackoff(kTarget, wait, 1, kNow) ==
                   kNow + wait + absl::Milliseconds(500));
  }

  void BackoffIsCapped() {
    TargetNotices notices;
    notices.OnBackoff(kTarget, absl::InfiniteDuration(), 0, kNow);
    CPPUNIT_ASSERT(notices.BackoffUntil(kTarget) == kNow + absl::Hours(1));
  }

  void NumberOfNoticesIsBounded() {
    TargetNotices notices;
    for (int i = 0; i < 5000; ++i) {
      notices.OnLeaving({std::to_string(i), "e", 1},
                        kNow + absl::Milliseconds(i));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4096}, notices.size());
    CPPUNIT_ASSERT(notices.IsLeaving({"4999", "e", 1}));
  }

  void LimitStartsWithOneRequestAfterBackoff() {
    ConcurrencyLimit limit(8);
    limit.ResetToMinimum();
    CPPUNIT_ASSERT(limit.HasRoom(0));
    CPPUNIT_ASSERT(!limit.HasRoom(1));
    const absl::Duration max_latency = absl::Milliseconds(100);
    limit.OnAnswered(absl::Milliseconds(5), max_latency, kNow);
    CPPUNIT_ASSERT(limit.HasRoom(1));
    CPPUNIT_ASSERT(!limit.HasRoom(2));
  }

  void TimeWhenEnoughPartsAreAvailable() {
    const auto at = [](int seconds) { return kNow + absl::Seconds(seconds); };
    const std::vector<absl::Time> parts = {at(9), at(3), at(5)};
    CPPUNIT_ASSERT(TimeWhenEnoughAvailable(parts, 0) == at(9));
    CPPUNIT_ASSERT(TimeWhenEnoughAvailable(parts, 1) == at(5));
    CPPUNIT_ASSERT(TimeWhenEnoughAvailable(parts, 2) == at(3));
    CPPUNIT_ASSERT(TimeWhenEnoughAvailable(parts, 3) == absl::InfinitePast());
    CPPUNIT_ASSERT(TimeWhenEnoughAvailable({}, 0) == absl::InfinitePast());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetNoticesTest);

}  // namespace cherrydyke
