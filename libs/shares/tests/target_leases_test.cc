#include "shares/target_leases.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "target_leases_model.h"

namespace cherrydyke {
namespace {

constexpr int kSteps = 600;
constexpr int kSeedsWithoutMechanism = 40;

HostList TwoGates(Revision revision) {
  return {revision,
          {{"a", HostKind::kEntry, "Sofia", "127.0.0.1", {}},
           {"b", HostKind::kEntry, "Sofia", "127.0.0.2", {}},
           {"t", HostKind::kTarget, "Sofia", "127.0.0.3:1", {}}}};
}

HostId HomeOf(const HostList& list) {
  TargetLeases a("a", "Sofia", {});
  a.OnHostList(list, absl::UnixEpoch());
  return a.AssignedTargets().empty() ? "b" : "a";
}

bool ViolatedWithout(TargetLeases::Options options) {
  for (uint64_t seed = 1; seed <= kSeedsWithoutMechanism; ++seed) {
    if (!TargetLeasesModel(seed, options).Run(kSteps).empty()) return true;
  }
  return false;
}

}  // namespace

class TargetLeasesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLeasesTest);
  CPPUNIT_TEST(AtMostOneGateSends);
  CPPUNIT_TEST(SeedsThatOnceFailed);
  CPPUNIT_TEST(ModelFindsMissingValidity);
  CPPUNIT_TEST(ModelFindsMissingTakeoverWait);
  CPPUNIT_TEST(SilentPeerKeepsTargetFromBeingTaken);
  CPPUNIT_TEST(RefusedConnectionFreesTarget);
  CPPUNIT_TEST(FrozenGateSendsNothingOnWaking);
  CPPUNIT_TEST(NewerListSeenAtPeerStopsSending);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    now_ = absl::UnixEpoch() + absl::Hours(1);
    home_ = HomeOf(TwoGates(1));
    peer_ = home_ == "a" ? "b" : "a";
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

  // Requests left running by a killed gate; a proof of death older than the
  // list; lists skipped while cut off.
  void SeedsThatOnceFailed() {
    for (const uint64_t seed :
         {13UL, 71787467266853319UL, 196443625329934967UL}) {
      CPPUNIT_ASSERT_EQUAL(std::string(),
                           TargetLeasesModel(seed, {}).Run(kSteps));
    }
  }

  void ModelFindsMissingValidity() {
    TargetLeases::Options options;
    options.validity = absl::Hours(100);
    options.margin = -absl::Hours(100) + absl::Seconds(2);
    CPPUNIT_ASSERT(ViolatedWithout(options));
  }

  void ModelFindsMissingTakeoverWait() {
    TargetLeases::Options options;
    options.margin = -options.validity - options.max_attempt_duration;
    CPPUNIT_ASSERT(ViolatedWithout(options));
  }

  void SilentPeerKeepsTargetFromBeingTaken() {
    TargetLeases holdings(home_, "Sofia", {});
    holdings.OnHostList(TwoGates(1), now_);
    now_ += absl::Minutes(10);
    holdings.OnPlatformContact(now_);
    CPPUNIT_ASSERT(holdings.AcquireReady(now_).empty());
  }

  void RefusedConnectionFreesTarget() {
    TargetLeases holdings(home_, "Sofia", {});
    holdings.OnHostList(TwoGates(1), now_);
    holdings.OnPeerDead(peer_, now_);
    CPPUNIT_ASSERT(holdings.AcquireReady(now_).empty());
    now_ += TargetLeases::Options().takeover_wait();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, holdings.AcquireReady(now_).size());
    CPPUNIT_ASSERT(holdings.TryBegin("t", now_));
  }

  void FrozenGateSendsNothingOnWaking() {
    TargetLeases holdings = Holding();
    now_ += absl::Seconds(30);
    // Heartbeats that waited in the socket's buffer say nothing about now.
    holdings.OnPeerHeartbeat(peer_, 1, 1, 1, now_ - absl::Seconds(30), now_);
    holdings.OnPeerHeartbeat(peer_, 1, 1, 1, absl::InfinitePast(), now_);
    CPPUNIT_ASSERT(!holdings.TryBegin("t", now_));
    holdings.OnPeerHeartbeat(peer_, 1, 1, 1, now_, now_);
    CPPUNIT_ASSERT(holdings.TryBegin("t", now_));
  }

  void NewerListSeenAtPeerStopsSending() {
    TargetLeases holdings = Holding();
    holdings.OnPeerHeartbeat(peer_, 1, 2, 1, now_, now_);
    CPPUNIT_ASSERT(!holdings.TryBegin("t", now_));
    holdings.OnHostList(TwoGates(2), now_);
    CPPUNIT_ASSERT(holdings.TryBegin("t", now_));
  }

 private:
  TargetLeases Holding() {
    TargetLeases holdings(home_, "Sofia", {});
    holdings.OnHostList(TwoGates(1), now_);
    holdings.OnPeerHeartbeat(peer_, 1, 1, 1, now_, now_);
    now_ += TargetLeases::Options().takeover_wait();
    holdings.OnPeerHeartbeat(peer_, 1, 1, 1, now_, now_);
    holdings.AcquireReady(now_);
    CPPUNIT_ASSERT(holdings.Holds("t", now_));
    return holdings;
  }

  absl::Time now_;
  HostId home_;
  HostId peer_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLeasesTest);

}  // namespace cherrydyke
