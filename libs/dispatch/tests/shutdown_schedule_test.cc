#include "dispatch/shutdown_schedule.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kGrace = absl::Seconds(6);
/// How long a host that has a quarter of a processor may not run.
constexpr absl::Duration kPause = absl::Milliseconds(75);

LateRequest Request(bool idempotent, absl::Time deadline,
                    absl::Duration objective = absl::Milliseconds(300)) {
  return {idempotent, deadline, objective};
}

}  // namespace

class ShutdownScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShutdownScheduleTest);
  CPPUNIT_TEST(TakesAllWhileTheShutdownIsAnnounced);
  CPPUNIT_TEST(ThenTakesWhatEndsInTime);
  CPPUNIT_TEST(CapsRequestsThatShouldEndInTime);
  CPPUNIT_TEST(NeedsMoreTimeToRunOnce);
  CPPUNIT_TEST(ShortGracePeriodIsKept);
  CPPUNIT_TEST(SlowHostExitsWithinTheGracePeriod);
  CPPUNIT_TEST(SteadyLoadEndsBeforeTheExit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TakesAllWhileTheShutdownIsAnnounced() {
    for (const bool idempotent : {false, true}) {
      const absl::Time now = kStart + absl::Seconds(2);
      const absl::Time deadline = now + absl::Seconds(10);
      CPPUNIT_ASSERT(schedule_.Admit(Request(idempotent, deadline), now) ==
                     deadline);
    }
  }

  void ThenTakesWhatEndsInTime() {
    const absl::Time now = kStart + absl::Seconds(4);
    const absl::Time in_time = now + absl::Seconds(1);
    CPPUNIT_ASSERT(schedule_.Admit(Request(false, in_time), now) == in_time);
    const absl::Duration objective = absl::Seconds(1);
    CPPUNIT_ASSERT(!schedule_.Admit(
        Request(false, now + absl::Seconds(3), objective), now));
  }

  void CapsRequestsThatShouldEndInTime() {
    for (const bool idempotent : {false, true}) {
      const LateRequest request =
          Request(idempotent, kStart + absl::Seconds(8));
      CPPUNIT_ASSERT(schedule_.Admit(request, kStart + absl::Seconds(4)) ==
                     schedule_.requests_end());
      CPPUNIT_ASSERT(!schedule_.Admit(
          request, schedule_.requests_end() - absl::Milliseconds(500)));
    }
  }

  void NeedsMoreTimeToRunOnce() {
    const absl::Time now = schedule_.requests_end() - absl::Seconds(1);
    const absl::Time deadline = kStart + absl::Seconds(8);
    CPPUNIT_ASSERT(schedule_.Admit(Request(true, deadline), now));
    CPPUNIT_ASSERT(!schedule_.Admit(Request(false, deadline), now));
  }

  void ShortGracePeriodIsKept() {
    for (const int ms : {0, 50, 200, 1000, 6000}) {
      const ShutdownSchedule schedule(kStart, absl::Milliseconds(ms));
      CPPUNIT_ASSERT(schedule.requests_end() <= schedule.exit());
      CPPUNIT_ASSERT(schedule.exit() <= kStart + absl::Milliseconds(ms));
    }
  }

  // The signal, the last poll and the exit may each be delayed.
  void SlowHostExitsWithinTheGracePeriod() {
    const ShutdownSchedule schedule(kStart + kPause, kGrace);
    CPPUNIT_ASSERT(schedule.exit() + 2 * kPause <= kStart + kGrace);
  }

  // Guards against cutting requests that a host took late in its shutdown
  // (LOST): the load balancer may send it requests until it exits.
  void SteadyLoadEndsBeforeTheExit() {
    CPPUNIT_ASSERT(rc::check("requests of all kinds until the exit", [this] {
      const auto arrival_ms = *rc::gen::inRange(0, 6000);
      const absl::Time now = kStart + absl::Milliseconds(arrival_ms);
      const LateRequest request =
          Request(*rc::gen::arbitrary<bool>(),
                  now + absl::Milliseconds(*rc::gen::inRange(1, 10'000)),
                  absl::Milliseconds(*rc::gen::inRange(1, 1000)));
      const auto deadline = schedule_.Admit(request, now);
      if (schedule_.IsAnnouncing(now)) {
        RC_ASSERT(deadline == request.deadline);
      } else if (deadline) {
        RC_ASSERT(*deadline ==
                  std::min(request.deadline, schedule_.requests_end()));
        // What may be ended early must be likely to end by itself.
        const absl::Duration left = schedule_.requests_end() - now;
        const int objectives = request.idempotent ? 2 : 4;
        RC_ASSERT(*deadline == request.deadline ||
                  left >= objectives * request.latency_objective);
      } else {
        RC_ASSERT(request.deadline > schedule_.requests_end());
      }
    }));
  }

 private:
  const ShutdownSchedule schedule_{kStart, kGrace};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownScheduleTest);

}  // namespace cherrydyke
