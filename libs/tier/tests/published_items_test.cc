#include "tier/published_items.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {

class PublishedItemsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishedItemsTest);
  CPPUNIT_TEST(ListingWhosePagesDifferIsCompleteUpToItsOldestPage);
  CPPUNIT_TEST(WatchMakesUpForPagesThatDiffer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ListingWhosePagesDifferIsCompleteUpToItsOldestPage() {
    PublishedItems items;
    // The removal of "b" at revision 8 came after its page.
    items.MergeSnapshot({{"a", "new", 9, false}, {"b", "old", 5, false}}, 6);
    CPPUNIT_ASSERT_EQUAL(Revision{5}, items.complete_revision());
    CPPUNIT_ASSERT(items.Find("a") != nullptr);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, items.ChangesAfter(0).size());
  }

  void WatchMakesUpForPagesThatDiffer() {
    PublishedItems items;
    items.MergeSnapshot({{"a", "new", 9, false}, {"b", "old", 5, false}}, 6);
    items.Merge({{"b", "", 8, true}, {"a", "new", 9, false}});
    CPPUNIT_ASSERT_EQUAL(Revision{9}, items.complete_revision());
    CPPUNIT_ASSERT(items.Find("b") == nullptr);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, items.ChangesAfter(0).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublishedItemsTest);

}  // namespace cherrydyke
