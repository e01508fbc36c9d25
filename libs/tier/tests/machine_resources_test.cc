#include "tier/machine_resources.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {

class MachineResourcesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MachineResourcesTest);
  CPPUNIT_TEST(LowerOfTakesEachFromEither);
  CPPUNIT_TEST(CallersGetAPartOfWhatIsReported);
  CPPUNIT_TEST(IdleConnectionsLeaveMemoryForRequests);
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

  void IdleConnectionsLeaveMemoryForRequests() {
    constexpr size_t kIdleConnectionBytes = 8U << 10U;
    const MachineResources many_descriptors{size_t{160} << 20U, 1U << 20U};
    for (const auto& limits :
         {CallerLimits(many_descriptors), PeerLimits(many_descriptors)}) {
      CPPUNIT_ASSERT(limits.max_connections * kIdleConnectionBytes <=
                     limits.max_bytes / 2);
    }
    const MachineResources usual{size_t{160} << 20U, 4100};
    CPPUNIT_ASSERT_EQUAL(size_t{2050}, CallerLimits(usual).max_connections);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MachineResourcesTest);

}  // namespace cherrydyke
