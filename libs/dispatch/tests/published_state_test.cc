#include "dispatch/published_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include "rapidcheck.h"

namespace cherrydyke {

class PublishedStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishedStateTest);
  CPPUNIT_TEST(CurrentHostDeniesUnknownRoutes);
  CPPUNIT_TEST(ChangeThatIsNotDueYetMayBeMissing);
  CPPUNIT_TEST(HostBeyondTheDeadlineDeniesNoRoute);
  CPPUNIT_TEST(HostThatHasJustStartedDeniesUnknownRoutes);
  CPPUNIT_TEST(HostThatHasJustStartedAndLacksItemsDeniesNoRoute);
  CPPUNIT_TEST(HostThatWasNeverProvenDeniesNoRouteBeyondTheDeadline);
  CPPUNIT_TEST(OlderItemsNeverAllowMore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CurrentHostDeniesUnknownRoutes() {
    CPPUNIT_ASSERT(
        MayDenyRoute({absl::ZeroDuration(), kNotBehind, true}, kDeadline));
    CPPUNIT_ASSERT(MayDenyRoute({kDeadline, kNotBehind, true}, kDeadline));
  }

  void ChangeThatIsNotDueYetMayBeMissing() {
    CPPUNIT_ASSERT(
        MayDenyRoute({kDeadline, absl::Milliseconds(300), true}, kDeadline));
  }

  void HostBeyondTheDeadlineDeniesNoRoute() {
    const absl::Duration late = kDeadline + absl::Milliseconds(1);
    CPPUNIT_ASSERT(!MayDenyRoute({late, kNotBehind, true}, kDeadline));
    CPPUNIT_ASSERT(!MayDenyRoute({late, late, true}, kDeadline));
    CPPUNIT_ASSERT(
        !MayDenyRoute({absl::Hours(1), kNotBehind, true}, kDeadline));
  }

  void HostThatHasJustStartedDeniesUnknownRoutes() {
    CPPUNIT_ASSERT(
        MayDenyRoute({absl::ZeroDuration(), kNotBehind, false}, kDeadline));
    CPPUNIT_ASSERT(MayDenyRoute({kDeadline, kNotBehind, false}, kDeadline));
  }

  void HostThatHasJustStartedAndLacksItemsDeniesNoRoute() {
    CPPUNIT_ASSERT(!MayDenyRoute(
        {absl::Milliseconds(100), absl::Milliseconds(1), false}, kDeadline));
  }

  void HostThatWasNeverProvenDeniesNoRouteBeyondTheDeadline() {
    CPPUNIT_ASSERT(!MayDenyRoute(
        {kDeadline + absl::Milliseconds(1), kNotBehind, false}, kDeadline));
  }

  void OlderItemsNeverAllowMore() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto time = [] {
        return absl::Milliseconds(*rc::gen::inRange(0, 20'000));
      };
      const PublishedState state = {time(), time(),
                                    *rc::gen::arbitrary<bool>()};
      const absl::Duration deadline = time();
      PublishedState older = state;
      older.age += time();
      older.behind += time();
      older.was_proven = state.was_proven && *rc::gen::arbitrary<bool>();
      RC_ASSERT(MayDenyRoute(state, deadline) ||
                !MayDenyRoute(older, deadline));
    }));
  }

 private:
  static constexpr absl::Duration kDeadline = absl::Seconds(4);
  static constexpr absl::Duration kNotBehind = absl::ZeroDuration();
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublishedStateTest);

}  // namespace cherrydyke
