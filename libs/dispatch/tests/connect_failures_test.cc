#include "dispatch/connect_failures.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {

class ConnectFailuresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectFailuresTest);
  CPPUNIT_TEST(FailuresAcrossDomainsAreGeneral);
  CPPUNIT_TEST(FailuresOfFewTargetsAreNotGeneral);
  CPPUNIT_TEST(FailuresOfOneDomainAreNotGeneral);
  CPPUNIT_TEST(EstablishedConnectionEndsThem);
  CPPUNIT_TEST(FailuresExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FailuresAcrossDomainsAreGeneral() {
    Fail(1, "d0");
    Fail(2, "d0");
    CPPUNIT_ASSERT(!failures_.AreGeneral(now_));
    Fail(3, "d1");
    CPPUNIT_ASSERT(failures_.AreGeneral(now_));
  }

  void FailuresOfFewTargetsAreNotGeneral() {
    for (int attempt = 0; attempt < 5; ++attempt) {
      Fail(1, "d0");
      Fail(2, "d1");
    }
    CPPUNIT_ASSERT(!failures_.AreGeneral(now_));
  }

  void FailuresOfOneDomainAreNotGeneral() {
    for (uint32_t target = 0; target < 20; ++target) Fail(target, "d0");
    CPPUNIT_ASSERT(!failures_.AreGeneral(now_));
    Fail(20, "d1");
    CPPUNIT_ASSERT(failures_.AreGeneral(now_));
  }

  void EstablishedConnectionEndsThem() {
    FailAll();
    CPPUNIT_ASSERT(failures_.AreGeneral(now_));
    failures_.OnConnected(now_);
    CPPUNIT_ASSERT(!failures_.AreGeneral(now_));
    FailAll();
    CPPUNIT_ASSERT(!failures_.AreGeneral(now_));
    now_ += absl::Seconds(1);
    CPPUNIT_ASSERT(failures_.AreGeneral(now_));
  }

  void FailuresExpire() {
    FailAll();
    now_ += absl::Seconds(6);
    CPPUNIT_ASSERT(!failures_.AreGeneral(now_));
    Fail(1, "d0");
    CPPUNIT_ASSERT(!failures_.AreGeneral(now_));
  }

 private:
  void Fail(uint32_t target, const FailureDomainName& domain) {
    failures_.OnFailed(target, domain, now_);
  }
  void FailAll() {
    Fail(1, "d0");
    Fail(2, "d1");
    Fail(3, "d2");
  }

  ConnectFailures failures_;
  absl::Time now_ = absl::UnixEpoch();
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectFailuresTest);

}  // namespace cherrydyke
