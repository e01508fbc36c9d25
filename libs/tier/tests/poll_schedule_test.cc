#include "tier/poll_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
/// When targets are replaced one after the other, hosts must learn of the new
/// ones before the next old ones shut down.
constexpr absl::Duration kMaxPause = absl::Milliseconds(250);

}  // namespace

class PollScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PollScheduleTest);
  CPPUNIT_TEST(ContinuousChangesAreBatched);
  CPPUNIT_TEST(IsolatedChangesAreReadPromptly);
  CPPUNIT_TEST(FailuresBackOffUntilASuccess);
  CPPUNIT_TEST(FailuresOfAnEarlierOutageDoNotMakePausesLonger);
  CPPUNIT_TEST(FailuresBeforeAPeersReadDoNotMakePausesLonger);
  CPPUNIT_TEST(HostThatIsTurnedAwayCallsNoMoreOftenThoughPeersRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ContinuousChangesAreBatched() {
    // Every call returns changes.
    PollSchedule schedule;
    int calls = 0;
    for (absl::Time now = kStart; now < kStart + absl::Seconds(20);) {
      const absl::Duration pause = schedule.PauseAfterChanges(now);
      CPPUNIT_ASSERT(pause <= kMaxPause);
      now += pause;
      ++calls;
    }
    // At this rate, six readers make about a third of the 75 calls per second
    // that 20 readers made with a pause of at least 150 ms each.
    CPPUNIT_ASSERT(calls <= 90);
  }

  void IsolatedChangesAreReadPromptly() {
    PollSchedule schedule;
    const absl::Duration soon = absl::Milliseconds(150);
    CPPUNIT_ASSERT(schedule.PauseAfterChanges(kStart) <= soon);
    CPPUNIT_ASSERT(schedule.PauseAfterChanges(kStart + absl::Seconds(3)) <=
                   soon);
  }

  void FailuresBackOffUntilASuccess() {
    PollSchedule schedule;
    CPPUNIT_ASSERT(schedule.PauseAfterFailure(kStart, 0.5) <=
                   absl::Milliseconds(150));
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(schedule.PauseAfterFailure(kStart, 0.999) <=
                     absl::Milliseconds(1500));
    }
    CPPUNIT_ASSERT(schedule.PauseAfterFailure(kStart, 0) >=
                   absl::Milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(102, schedule.failures());
    schedule.OnSuccess();
    CPPUNIT_ASSERT(schedule.PauseAfterFailure(kStart, 0.5) <=
                   absl::Milliseconds(150));
  }

  void FailuresOfAnEarlierOutageDoNotMakePausesLonger() {
    PollSchedule schedule;
    for (int i = 0; i < 10; ++i) schedule.PauseAfterFailure(kStart, 0.5);
    CPPUNIT_ASSERT(schedule.PauseAfterFailure(kStart + absl::Seconds(4), 0) >=
                   absl::Milliseconds(400));
    CPPUNIT_ASSERT(schedule.PauseAfterFailure(kStart + absl::Seconds(10),
                                              0.5) <= absl::Milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(1, schedule.failures());
  }

  // Guards against a call lost soon after an outage that delays the next one
  // (CONFIG, HOME).
  void FailuresBeforeAPeersReadDoNotMakePausesLonger() {
    PollSchedule schedule;
    for (int i = 0; i < 10; ++i) schedule.PauseAfterFailure(kStart, 0.5);
    schedule.OnPeerRead(kStart + absl::Seconds(1));
    CPPUNIT_ASSERT(schedule.last_call_failed());
    CPPUNIT_ASSERT(schedule.PauseAfterFailure(kStart + absl::Seconds(2), 1) <=
                   absl::Milliseconds(150));
  }

  // Guards against calls without pauses of a host that the service turns away.
  void HostThatIsTurnedAwayCallsNoMoreOftenThoughPeersRead() {
    // The pauses of one more start of the backoff.
    constexpr int kCallsOfABackoff = 4;
    CPPUNIT_ASSERT(CallsWhileTurnedAway(true) <=
                   CallsWhileTurnedAway(false) + kCallsOfABackoff);
  }

 private:
  static int CallsWhileTurnedAway(bool peers_read) {
    PollSchedule schedule;
    int calls = 0;
    for (absl::Time now = kStart; now < kStart + absl::Minutes(1); ++calls) {
      now += schedule.PauseAfterFailure(now, 0.5);
      if (peers_read) schedule.OnPeerRead(now);
    }
    return calls;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PollScheduleTest);

}  // namespace cherrydyke
