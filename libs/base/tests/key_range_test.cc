#include "base/key_range.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <bitset>

#include "absl/strings/str_format.h"

namespace cherrydyke {
namespace {

constexpr int kKeyCount = 256;

std::string Key(int position) {
  return position >= kKeyCount ? "" : absl::StrFormat("%02x", position);
}

}  // namespace

class KeyRangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyRangeTest);
  CPPUNIT_TEST(RangeSetAgreesWithBitmap);
  CPPUNIT_TEST(TilingIsExact);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RangeSetAgreesWithBitmap() {
    CPPUNIT_ASSERT(rc::check("a range set agrees with a bitmap", [] {
      const auto ends = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, kKeyCount),
                        rc::gen::inRange(0, kKeyCount + 1)));
      RangeSet set;
      std::bitset<kKeyCount> bitmap;
      for (const auto& [begin, end] : ends) {
        set.Add({Key(begin), Key(end)});
        for (int key = begin; key < end; ++key) bitmap.set(key);
      }
      const std::vector<KeyRange> missing = set.Missing({"00", ""});
      for (int key = 0; key < kKeyCount; ++key) {
        bool is_missing = false;
        for (const KeyRange& gap : missing) {
          is_missing = is_missing || gap.Contains(Key(key));
        }
        RC_ASSERT(is_missing == !bitmap.test(key));
      }
    }));
  }

  void TilingIsExact() {
    CPPUNIT_ASSERT(TilesKeySpace({{"00", "80"}, {"80", ""}}));
    CPPUNIT_ASSERT(!TilesKeySpace({{"00", "80"}, {"81", ""}}));
    CPPUNIT_ASSERT(!TilesKeySpace({{"00", "80"}, {"7f", ""}}));
    CPPUNIT_ASSERT(!TilesKeySpace({{"00", "80"}}));
    CPPUNIT_ASSERT(!TilesKeySpace({{"10", ""}}));
    CPPUNIT_ASSERT(!TilesKeySpace({}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyRangeTest);

}  // namespace cherrydyke
