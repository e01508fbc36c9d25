#include "shares/target_leases.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "target_leases_model.h"

namespace cherrydyke {
namespace {

constexpr int kSteps = 600;
constexpr int kDetectionSeeds = 40;

HostList HostListWithTwoGates(Revision revision) {
  return {revision,
          {{"a", HostKind::kEntry, "Sofia", "127.0.0.1", {}},
           {"b", HostKind::kEntry, "Sofia", "127.0.0.2", {}},
           {"t", HostKind::kTarget, "Sofia", "127.0.0.3:1", {}}}};
}

HostId AssignedGate(const HostList& list) {
  TargetLeases a("a", "Sofia", {});
  a.OnHostList(list, absl::UnixEpoch());
  return a.AssignedTargets().empty() ? "b" : "a";
}

bool FindsViolation(TargetLeases::Options options) {
  for (uint64_t seed = 1; seed <= kDetectionSeeds; ++seed) {
    if (!TargetLeasesModel(seed, options).Run(kSteps).empty()) return true;
  }
  return false;
}

}  // namespace

class TargetLeasesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLeasesTest);
  CPPUNIT_TEST(AtMostOneGateSends);
  CPPUNIT_TEST(RegressionSeedsPass);
  CPPUNIT_TEST(ModelDetectsMissingValidity);
  CPPUNIT_TEST(ModelDetectsMissingTakeoverWait);
  CPPUNIT_TEST(UnresponsivePeerBlocksTakeover);
  CPPUNIT_TEST(RefusedConnectionAllowsTakeover);
  CPPUNIT_TEST(ResumedGateIsFenced);
  CPPUNIT_TEST(NewerListAtPeerFencesGate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    now_ = absl::UnixEpoch() + absl::Hours(1);
    self_ = AssignedGate(HostListWithTwoGates(1));
    peer_ = self_ == "a" ? "b" : "a";
  }

  void AtMostOneGateSends() {
    CPPUNIT_ASSERT(rc::check("at most one gate sends to a target", [] {
      const auto seed = *rc::gen::arbitrary<uint64_t>();
      TargetLeasesModel model(seed, {});
      const std::string violation = model.Run(kSteps);
      RC_TAG(model.sends() > 0 ? "sent" : "nothing sent");
      RC_ASSERT(violation == "");
    }));
  }

  // Seeds of former violations: requests left running by a killed gate; a proof
  // of death older than the host list; host lists skipped during a partition.
  void RegressionSeedsPass() {
    for (const uint64_t seed :
         {13UL, 71787467266853319UL, 196443625329934967UL}) {
      CPPUNIT_ASSERT_EQUAL(std::string(),
                           TargetLeasesModel(seed, {}).Run(kSteps));
    }
  }

  void ModelDetectsMissingValidity() {
    TargetLeases::Options options;
    options.validity = absl::Hours(100);
    options.margin = -absl::Hours(100) + absl::Seconds(2);
    CPPUNIT_ASSERT(FindsViolation(options));
  }

  void ModelDetectsMissingTakeoverWait() {
    TargetLeases::Options options;
    options.margin = -options.validity - options.max_attempt_duration;
    CPPUNIT_ASSERT(FindsViolation(options));
  }

  void UnresponsivePeerBlocksTakeover() {
    TargetLeases leases(self_, "Sofia", {});
    leases.OnHostList(HostListWithTwoGates(1), now_);
    now_ += absl::Minutes(10);
    leases.OnPlatformContact(now_);
    CPPUNIT_ASSERT(leases.AcquireReady(now_).empty());
  }

  void RefusedConnectionAllowsTakeover() {
    TargetLeases leases(self_, "Sofia", {});
    leases.OnHostList(HostListWithTwoGates(1), now_);
    leases.OnPeerDead(peer_, now_);
    CPPUNIT_ASSERT(leases.AcquireReady(now_).empty());
    now_ += TargetLeases::Options().takeover_wait();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, leases.AcquireReady(now_).size());
    CPPUNIT_ASSERT(leases.TryBegin("t", now_));
  }

  void ResumedGateIsFenced() {
    TargetLeases leases = AcquireLeases();
    now_ += absl::Seconds(30);
    // Heartbeats that waited in the socket buffer confirm nothing about now.
    leases.OnPeerHeartbeat(peer_, 1, 1, 1, now_ - absl::Seconds(30), now_);
    leases.OnPeerHeartbeat(peer_, 1, 1, 1, absl::InfinitePast(), now_);
    CPPUNIT_ASSERT(!leases.TryBegin("t", now_));
    leases.OnPeerHeartbeat(peer_, 1, 1, 1, now_, now_);
    CPPUNIT_ASSERT(leases.TryBegin("t", now_));
  }

  void NewerListAtPeerFencesGate() {
    TargetLeases leases = AcquireLeases();
    leases.OnPeerHeartbeat(peer_, 1, 2, 1, now_, now_);
    CPPUNIT_ASSERT(!leases.TryBegin("t", now_));
    leases.OnHostList(HostListWithTwoGates(2), now_);
    CPPUNIT_ASSERT(leases.TryBegin("t", now_));
  }

 private:
  TargetLeases AcquireLeases() {
    TargetLeases leases(self_, "Sofia", {});
    leases.OnHostList(HostListWithTwoGates(1), now_);
    leases.OnPeerHeartbeat(peer_, 1, 1, 1, now_, now_);
    now_ += TargetLeases::Options().takeover_wait();
    leases.OnPeerHeartbeat(peer_, 1, 1, 1, now_, now_);
    leases.AcquireReady(now_);
    CPPUNIT_ASSERT(leases.Holds("t", now_));
    return leases;
  }

  absl::Time now_;
  HostId self_;
  HostId peer_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLeasesTest);

}  // namespace cherrydyke
