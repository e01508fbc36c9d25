#include "telemetry/log_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include "telemetry/log.h"

namespace cherrydyke {

class LogBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogBudgetTest);
  CPPUNIT_TEST(KindsDoNotTakeFromEachOther);
  CPPUNIT_TEST(WhatIsLeftOutIsCounted);
  CPPUNIT_TEST(FloodOfOneMessageIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KindsDoNotTakeFromEachOther() {
    LogBudget budget(2);
    CPPUNIT_ASSERT(budget.Take("answered", kNow));
    CPPUNIT_ASSERT(budget.Take("answered", kNow));
    CPPUNIT_ASSERT(!budget.Take("answered", kNow));
    CPPUNIT_ASSERT(budget.Take("refused", kNow));
    CPPUNIT_ASSERT(budget.Take("answered", kNow + absl::Seconds(1)));
  }

  void WhatIsLeftOutIsCounted() {
    LogBudget budget(1);
    for (int i = 0; i < 4; ++i) budget.Take("answered", kNow);
    budget.Take("refused", kNow);
    const std::map<std::string, int> dropped = budget.TakeDropped();
    CPPUNIT_ASSERT((dropped == std::map<std::string, int>{{"answered", 3}}));
    CPPUNIT_ASSERT(budget.TakeDropped().empty());
  }

  void FloodOfOneMessageIsBounded() {
    LimitLines(5);
    for (int i = 0; i < 50; ++i) LogWarning("datagram ignored");
    // The second may end in between, and another one begin.
    CPPUNIT_ASSERT(TakeDroppedLines() >= 40);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, TakeDroppedLines());
  }

 private:
  const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogBudgetTest);

}  // namespace cherrydyke
