#include "tier/pending_proofs.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kSecond = absl::Seconds(1);

PeerItems Items(Revision config, Revision targets) {
  return {"p", config, targets, {ReadProof{kSecond, 0}}};
}

}  // namespace

class PendingProofsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PendingProofsTest);
  CPPUNIT_TEST(ProofCountsOnceTheItemsAreThere);
  CPPUNIT_TEST(TellsSinceWhenTheHostIsBehind);
  CPPUNIT_TEST(ItemsWithoutProofProveNothing);
  CPPUNIT_TEST(OldestStayWhenThereAreMany);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ProofCountsOnceTheItemsAreThere() {
    pending_.Add(Items(5, 7), kStart + 2 * kSecond);
    pending_.Apply(5, 6, freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == absl::InfinitePast());
    pending_.Apply(4, 7, freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == absl::InfinitePast());
    pending_.Apply(5, 7, freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart + kSecond);
  }

  void TellsSinceWhenTheHostIsBehind() {
    CPPUNIT_ASSERT(pending_.behind_since() == absl::InfiniteFuture());
    pending_.Add(Items(5, 5), kStart);
    pending_.Add(Items(6, 5), kStart + kSecond);
    CPPUNIT_ASSERT(pending_.behind_since() == kStart);
    pending_.Apply(5, 5, freshness_);
    CPPUNIT_ASSERT(pending_.behind_since() == kStart + kSecond);
    CPPUNIT_ASSERT_EQUAL(HostId("p"), pending_.peer());
    pending_.Apply(6, 5, freshness_);
    CPPUNIT_ASSERT(pending_.behind_since() == absl::InfiniteFuture());
  }

  void ItemsWithoutProofProveNothing() {
    pending_.Add({"p", 5, 5, {}}, kStart);
    pending_.Apply(5, 5, freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == absl::InfinitePast());
  }

  void OldestStayWhenThereAreMany() {
    constexpr int kMany = 10'000;
    for (int i = 1; i <= kMany; ++i) {
      pending_.Add(Items(i, i), kStart + i * kSecond);
    }
    CPPUNIT_ASSERT(pending_.behind_since() == kStart + kSecond);
    pending_.Apply(kMany, kMany, freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() ==
                   kStart + (kMany - 1) * kSecond);
    CPPUNIT_ASSERT(pending_.behind_since() == absl::InfiniteFuture());
  }

 private:
  PublishedFreshness freshness_{{}, kStart};
  PendingProofs pending_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PendingProofsTest);

}  // namespace cherrydyke
