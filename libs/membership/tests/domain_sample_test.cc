#include "membership/domain_sample.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

#include "rapidcheck.h"

namespace cherrydyke {

class DomainSampleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainSampleTest);
  CPPUNIT_TEST(SpreadsEvenlyOverDomains);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SpreadsEvenlyOverDomains() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto numbers =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
      const auto limit = *rc::gen::inRange<size_t>(0, 12);
      std::vector<FailureDomainName> domains;
      std::map<FailureDomainName, size_t> available;
      for (const int number : numbers) {
        domains.push_back(std::to_string(number));
        ++available[domains.back()];
      }
      std::mt19937_64 random(*rc::gen::arbitrary<uint32_t>());
      const auto chosen = SampleAcrossDomains(domains, limit, random);
      RC_ASSERT(chosen.size() == std::min(limit, domains.size()));
      RC_ASSERT(std::set<size_t>(chosen.begin(), chosen.end()).size() ==
                chosen.size());
      std::map<FailureDomainName, size_t> taken;
      size_t most = 0;
      for (const size_t index : chosen) {
        most = std::max(most, ++taken[domains[index]]);
      }
      for (const auto& [domain, count] : available) {
        RC_ASSERT(taken[domain] == count || taken[domain] + 1 >= most);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainSampleTest);

}  // namespace cherrydyke
