#include "engine/framing_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>

namespace cherrydyke::engine {

class FramingBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FramingBudgetTest);
  CPPUNIT_TEST(ChunksOfOneByteFitWhateverTheirNumber);
  CPPUNIT_TEST(ExtensionsOfAllChunksCountTogether);
  CPPUNIT_TEST(UnparsedBytesCount);
  CPPUNIT_TEST(LongBodiesGiveNoRoomForLongTrailers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChunksOfOneByteFitWhateverTheirNumber() {
    constexpr size_t kPaddedChunkBytes = 13;
    FramingBudget budget(kMaxBytes);
    for (int i = 0; i < 100'000; ++i) budget.OnParsed(kPaddedChunkBytes, 1);
    CPPUNIT_ASSERT(!budget.IsExceeded(0));
  }

  void ExtensionsOfAllChunksCountTogether() {
    constexpr size_t kExtensionBytes = 32;
    FramingBudget budget(kMaxBytes);
    for (int i = 0; i < 10; ++i) budget.OnParsed(kExtensionBytes, 1);
    CPPUNIT_ASSERT(budget.IsExceeded(0));
  }

  void UnparsedBytesCount() {
    FramingBudget budget(kMaxBytes);
    budget.OnParsed(kMaxBytes / 2, 0);
    CPPUNIT_ASSERT(!budget.IsExceeded(kMaxBytes / 2));
    CPPUNIT_ASSERT(budget.IsExceeded(kMaxBytes / 2 + 1));
  }

  void LongBodiesGiveNoRoomForLongTrailers() {
    FramingBudget budget(kMaxBytes);
    budget.OnParsed(100 * kMaxBytes, 100 * kMaxBytes);
    CPPUNIT_ASSERT(!budget.IsExceeded(kMaxBytes));
    CPPUNIT_ASSERT(budget.IsExceeded(kMaxBytes + 1));
  }

 private:
  static constexpr size_t kMaxBytes = 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FramingBudgetTest);

}  // namespace cherrydyke::engine
