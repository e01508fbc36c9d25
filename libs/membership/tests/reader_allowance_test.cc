#include "membership/reader_allowance.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace cherrydyke {

class ReaderAllowanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReaderAllowanceTest);
  CPPUNIT_TEST(SmallFleetReadsAsAWhole);
  CPPUNIT_TEST(LargeFleetReadsWithTheSameNumberOfHostsInEachDomain);
  CPPUNIT_TEST(WithoutCallsNoHostReadsAllTheTime);
  CPPUNIT_TEST(CallsStayWithinTheAllowance);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SmallFleetReadsAsAWhole() {
    const ReaderAllowance allowance(40, 4);
    CPPUNIT_ASSERT_EQUAL(size_t{10}, allowance.readers());
    CPPUNIT_ASSERT(allowance.Covers({10, 2, 8}));
    CPPUNIT_ASSERT(!allowance.Covers({11, 2, 8}));
  }
  void LargeFleetReadsWithTheSameNumberOfHostsInEachDomain() {
    const ReaderAllowance allowance(40, 4);
    CPPUNIT_ASSERT(allowance.Covers({300, 3, 2}));
    CPPUNIT_ASSERT(!allowance.Covers({300, 3, 3}));
    CPPUNIT_ASSERT(!allowance.Covers({300, 16, 0}));
  }
  void WithoutCallsNoHostReadsAllTheTime() {
    CPPUNIT_ASSERT(!ReaderAllowance().Covers({1, 1, 0}));
    CPPUNIT_ASSERT(!ReaderAllowance(0, 4).Covers({1, 1, 0}));
  }
  void CallsStayWithinTheAllowance() {
    CPPUNIT_ASSERT(rc::check("calls of all that read all the time", [] {
      const auto domains =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 40));
      RC_PRE(!domains.empty());
      const double calls_per_s = *rc::gen::inRange(0, 500);
      const double reader_calls_per_s = *rc::gen::inRange(1, 10);
      const ReaderAllowance allowance(calls_per_s, reader_calls_per_s);
      size_t hosts = 0;
      for (const int count : domains) hosts += static_cast<size_t>(count);
      double readers = 0;
      for (const int count : domains) {
        for (size_t rank = 0; rank < static_cast<size_t>(count); ++rank) {
          if (allowance.Covers({hosts, domains.size(), rank})) ++readers;
        }
      }
      RC_ASSERT(readers * reader_calls_per_s <= calls_per_s);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReaderAllowanceTest);

}  // namespace cherrydyke
