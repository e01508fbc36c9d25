#include "tier/machine_resources.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {

class MachineResourcesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MachineResourcesTest);
  CPPUNIT_TEST(LowerOfTakesEachFromEither);
  CPPUNIT_TEST(CallersGetAPartOfWhatIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LowerOfTakesEachFromEither() {
    CPPUNIT_ASSERT((LowerOf({100, 7}, {50, 9}) == MachineResources{50, 7}));
    CPPUNIT_ASSERT((LowerOf({100, 7}, {}) == MachineResources{100, 7}));
  }

  void CallersGetAPartOfWhatIsReported() {
    const MachineResources reported = ReportedResources();
    const engine::ConnectionLimits limits = CallerLimits(reported);
    CPPUNIT_ASSERT(limits.max_bytes > 0);
    CPPUNIT_ASSERT(limits.max_bytes < reported.memory_bytes);
    CPPUNIT_ASSERT(limits.max_connections > 0);
    CPPUNIT_ASSERT(limits.max_connections < reported.descriptors);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MachineResourcesTest);

}  // namespace cherrydyke
