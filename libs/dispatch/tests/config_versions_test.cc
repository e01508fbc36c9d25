#include "dispatch/config_versions.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {

class ConfigVersionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigVersionsTest);
  CPPUNIT_TEST(HostRunsNothingOlderThanItsCallersSawThroughAPeer);
  CPPUNIT_TEST(PeerNeedsWhatCallersSaw);
  CPPUNIT_TEST(OlderHostTakesNothingOver);
  CPPUNIT_TEST(OnlyNewerConfigurationsAreNews);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HostRunsNothingOlderThanItsCallersSawThroughAPeer() {
    ConfigVersions versions;
    CPPUNIT_ASSERT(versions.MayRunOwn());
    versions.SetInForce(3);
    CPPUNIT_ASSERT(versions.OnRunByPeer(4));
    CPPUNIT_ASSERT(!versions.MayRunOwn());
    CPPUNIT_ASSERT(!versions.OnRunByPeer(2));
    CPPUNIT_ASSERT(!versions.MayRunOwn());
    versions.SetInForce(4);
    CPPUNIT_ASSERT(versions.MayRunOwn());
  }

  void PeerNeedsWhatCallersSaw() {
    ConfigVersions versions;
    versions.SetInForce(3);
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, versions.LeastForPeers(3));
    versions.OnRunByPeer(5);
    CPPUNIT_ASSERT_EQUAL(int64_t{5}, versions.LeastForPeers(3));
  }

  void OlderHostTakesNothingOver() {
    ConfigVersions versions;
    versions.SetInForce(3);
    CPPUNIT_ASSERT(versions.MayTakeOver(2));
    CPPUNIT_ASSERT(versions.MayTakeOver(3));
    CPPUNIT_ASSERT(!versions.MayTakeOver(4));
  }

  void OnlyNewerConfigurationsAreNews() {
    ConfigVersions versions;
    CPPUNIT_ASSERT(versions.IsNews(1));
    versions.SetInForce(1);
    CPPUNIT_ASSERT(!versions.IsNews(1));
    CPPUNIT_ASSERT(versions.IsNews(2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigVersionsTest);

}  // namespace cherrydyke
