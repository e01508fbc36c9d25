#include "tier/published_version.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>
#include <string>

namespace cherrydyke {
namespace {

constexpr int64_t kMax = std::numeric_limits<int64_t>::max();

PublishedVersion Versions() {
  const auto number = [] { return *rc::gen::inRange<int64_t>(0, 3); };
  return {{number(), number()}, number()};
}

}  // namespace

class PublishedVersionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishedVersionTest);
  CPPUNIT_TEST(EraGoesBeforeRevision);
  CPPUNIT_TEST(StatedEraGoesBeforeInferredOnes);
  CPPUNIT_TEST(NextEraIsLaterAndBeforeTheNextStatedOne);
  CPPUNIT_TEST(DefaultIsTheLeast);
  CPPUNIT_TEST(OrderIsTotal);
  CPPUNIT_TEST(NamesEraAndRevision);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EraGoesBeforeRevision() {
    CPPUNIT_ASSERT(Less({{0, 0}, kMax}, {{1, 0}, 0}));
    CPPUNIT_ASSERT(Less({{0, 0}, kMax}, {{0, 1}, 0}));
    CPPUNIT_ASSERT(Less({{3, 1}, 6}, {{3, 1}, 7}));
  }
  void StatedEraGoesBeforeInferredOnes() {
    CPPUNIT_ASSERT((SourceEra{1, 9} < SourceEra{2, 0}));
    CPPUNIT_ASSERT((SourceEra{2, 0} < SourceEra{2, 1}));
    CPPUNIT_ASSERT((SourceEra{2, 1} != SourceEra{1, 2}));
  }
  void NextEraIsLaterAndBeforeTheNextStatedOne() {
    const SourceEra era{4, 2};
    CPPUNIT_ASSERT(era.Next() > era);
    CPPUNIT_ASSERT(era.Next().Next() > era.Next());
    CPPUNIT_ASSERT(era.Next() < (SourceEra{5, 0}));
    CPPUNIT_ASSERT((era.Next() == SourceEra{4, 3}));
  }
  void DefaultIsTheLeast() {
    CPPUNIT_ASSERT((PublishedVersion() == PublishedVersion{{0, 0}, 0}));
    CPPUNIT_ASSERT(Less({}, {{0, 0}, 1}));
    CPPUNIT_ASSERT(Less({}, {{0, 1}, 0}));
  }
  void OrderIsTotal() {
    CPPUNIT_ASSERT(rc::check("versions", [] {
      const PublishedVersion a = Versions();
      const PublishedVersion b = Versions();
      const PublishedVersion c = Versions();
      RC_ASSERT((a < b) + (a == b) + (b < a) == 1);
      RC_ASSERT((a != b) == !(a == b));
      RC_ASSERT((a > b) == (b < a));
      RC_ASSERT((a <= b) == !(b < a));
      RC_ASSERT((a >= b) == !(a < b));
      RC_ASSERT(!(a < b && b < c) || a < c);
      RC_ASSERT(a.era == b.era || (a < b) == (a.era < b.era));
      RC_ASSERT(a.era != b.era || (a < b) == (a.revision < b.revision));
      RC_ASSERT((a == b) == (a.ToString() == b.ToString()));
    }));
  }
  void NamesEraAndRevision() {
    CPPUNIT_ASSERT_EQUAL(std::string("3.1/42"),
                         PublishedVersion({{3, 1}, 42}).ToString());
  }

 private:
  static bool Less(PublishedVersion a, PublishedVersion b) {
    return a < b && !(b < a) && a <= b && b > a && b >= a && a != b;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublishedVersionTest);

}  // namespace cherrydyke
