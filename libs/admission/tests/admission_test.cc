#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "admission/owner_limiter.h"
#include "admission/quarantine.h"

namespace cherrydyke {

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(KeepsReserveForOtherOwners);
  CPPUNIT_TEST(OwnersNeverExceedTheCapacity);
  CPPUNIT_TEST(ExchangedNoticesDoNotExtendQuarantine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsReserveForOtherOwners() {
    OwnerLimiter limiter(100, 0.5);
    limiter.AddOwner("retornos");
    int taken = 0;
    while (limiter.TryAcquire("cooperative")) ++taken;
    CPPUNIT_ASSERT_EQUAL(75, taken);
    for (int i = 0; i < 25; ++i) CPPUNIT_ASSERT(limiter.TryAcquire("retornos"));
    CPPUNIT_ASSERT(!limiter.TryAcquire("retornos"));
  }

  void OwnersNeverExceedTheCapacity() {
    CPPUNIT_ASSERT(rc::check("owners never exceed the capacity", [] {
      OwnerLimiter limiter(10, 0.5);
      std::vector<OwnerName> held;
      for (const int step : *rc::gen::arbitrary<std::vector<uint8_t>>()) {
        const OwnerName owner(1, static_cast<char>('a' + step % 3));
        if (step % 4 != 0) {
          if (limiter.TryAcquire(owner)) held.push_back(owner);
        } else if (!held.empty()) {
          limiter.Release(held.back());
          held.pop_back();
        }
        RC_ASSERT(held.size() <= 10);
        RC_ASSERT(limiter.in_use() == static_cast<int>(held.size()));
      }
    }));
  }

  void ExchangedNoticesDoNotExtendQuarantine() {
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    Quarantine a(absl::Seconds(60), 10);
    Quarantine b(absl::Seconds(60), 10);
    CPPUNIT_ASSERT(a.Add(7, now));
    // The peers exchange notices continuously; the remaining time must still
    // decrease to zero.
    for (int i = 0; i < 120; ++i) {
      now += absl::Seconds(1);
      for (const auto& notice : a.Notices(8, now)) b.OnNotice(notice, now);
      for (const auto& notice : b.Notices(8, now)) a.OnNotice(notice, now);
    }
    CPPUNIT_ASSERT(a.Remaining(7, now) == absl::ZeroDuration());
    CPPUNIT_ASSERT(b.Remaining(7, now) == absl::ZeroDuration());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace cherrydyke
