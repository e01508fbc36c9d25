#include "tier/pending_proofs.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kSecond = absl::Seconds(1);

constexpr uint32_t kReader = 7;

/// @return items of the first era.
PublishedVersion Version(Revision revision) { return {{}, revision}; }

PeerItems Items(PublishedVersion version) {
  return {"p", version, {{kSecond, 0, kReader}}};
}

PeerItems Items(Revision revision) { return Items(Version(revision)); }

}  // namespace

class PendingProofsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PendingProofsTest);
  CPPUNIT_TEST(ProofCountsOnceTheItemsAreThere);
  CPPUNIT_TEST(TellsSinceWhenTheHostIsBehind);
  CPPUNIT_TEST(ProofDoesNotHoldBeyondTheNewsOfMissingItems);
  CPPUNIT_TEST(LateNewsOfMissingItemsCountsFromItsSending);
  CPPUNIT_TEST(ItemsWithoutProofProveNothing);
  CPPUNIT_TEST(OldestStayWhenThereAreMany);
  CPPUNIT_TEST(ProofOfAnEarlierEraProvesNothing);
  CPPUNIT_TEST(ProofOfALaterEraCountsOnceTheItemsAreThere);
  CPPUNIT_TEST(PendingItemsOfAnEarlierEraAreDropped);
  CPPUNIT_TEST(ProofHoldsUpToTheNewsOfALaterEra);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ProofCountsOnceTheItemsAreThere() {
    pending_.Add(Items(7), kStart + 2 * kSecond);
    pending_.Apply(Version(6), freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart);
    pending_.Apply(Version(7), freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart + kSecond);
  }

  void TellsSinceWhenTheHostIsBehind() {
    CPPUNIT_ASSERT(pending_.behind_since() == absl::InfiniteFuture());
    pending_.Add(Items(5), kStart);
    pending_.Add(Items(6), kStart + kSecond);
    CPPUNIT_ASSERT(pending_.behind_since() == kStart);
    pending_.Apply(Version(5), freshness_);
    CPPUNIT_ASSERT(pending_.behind_since() == kStart + kSecond);
    CPPUNIT_ASSERT_EQUAL(HostId("p"), pending_.peer());
    pending_.Apply(Version(6), freshness_);
    CPPUNIT_ASSERT(pending_.behind_since() == absl::InfiniteFuture());
  }

  // Such a proof was delayed, or is of a host that was frozen.
  void ProofDoesNotHoldBeyondTheNewsOfMissingItems() {
    pending_.Add(Items(9), kStart + kSecond);
    pending_.Add(Items(5), kStart + 20 * kSecond);
    pending_.Apply(Version(5), freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart + kSecond);
    pending_.Apply(Version(9), freshness_);
    pending_.Add(Items(5), kStart + 21 * kSecond);
    pending_.Apply(Version(9), freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart + 20 * kSecond);
  }

  void LateNewsOfMissingItemsCountsFromItsSending() {
    pending_.Add(Items(8), kStart + 9 * kSecond);
    pending_.Add({"late", Version(9), {}}, kStart + 4 * kSecond);
    CPPUNIT_ASSERT(pending_.behind_since() == kStart + 4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(HostId("late"), pending_.peer());
    pending_.Apply(Version(8), freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart + 4 * kSecond);
  }

  void ItemsWithoutProofProveNothing() {
    pending_.Add({"p", Version(5), {}}, kStart + kSecond);
    pending_.Apply(Version(5), freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart);
  }

  void OldestStayWhenThereAreMany() {
    constexpr int kMany = 10'000;
    for (int i = 1; i <= kMany; ++i) {
      pending_.Add(Items(i), kStart + i * kSecond);
    }
    CPPUNIT_ASSERT(pending_.behind_since() == kStart + kSecond);
    pending_.Apply(Version(kMany), freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() ==
                   kStart + (kMany - 1) * kSecond);
    CPPUNIT_ASSERT(pending_.behind_since() == absl::InfiniteFuture());
  }

  // The peer may be stuck in it: its reads are of what the service had then.
  void ProofOfAnEarlierEraProvesNothing() {
    for (const Revision revision : {3, 5, 9}) {
      pending_.Add(Items({{0, 1}, revision}), kStart + 3 * kSecond);
      pending_.Apply({{0, 2}, 5}, freshness_);
    }
    CPPUNIT_ASSERT(freshness_.current_until() == kStart);
    CPPUNIT_ASSERT(pending_.behind_since() == absl::InfiniteFuture());
  }

  void ProofOfALaterEraCountsOnceTheItemsAreThere() {
    pending_.Add(Items({{0, 1}, 3}), kStart + 2 * kSecond);
    pending_.Apply({{}, 9}, freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart);
    CPPUNIT_ASSERT(pending_.behind_since() == kStart + 2 * kSecond);
    pending_.Apply({{0, 1}, 2}, freshness_);
    CPPUNIT_ASSERT(pending_.behind_since() == kStart + 2 * kSecond);
    pending_.Apply({{0, 1}, 3}, freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart + kSecond);
    CPPUNIT_ASSERT(pending_.behind_since() == absl::InfiniteFuture());
  }

  void PendingItemsOfAnEarlierEraAreDropped() {
    pending_.Add(Items(9), kStart + 2 * kSecond);
    pending_.Apply(Version(7), freshness_);
    pending_.Add(Items({{1, 0}, 4}), kStart + 4 * kSecond);
    pending_.Apply({{1, 0}, 3}, freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart);
    CPPUNIT_ASSERT(pending_.behind_since() == kStart + 4 * kSecond);
    pending_.Apply({{1, 0}, 4}, freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart + 3 * kSecond);
  }

  void ProofHoldsUpToTheNewsOfALaterEra() {
    pending_.Add(Items({{0, 1}, 2}), kStart + 2 * kSecond);
    pending_.Add(Items(5), kStart + 20 * kSecond);
    pending_.Apply(Version(5), freshness_);
    CPPUNIT_ASSERT(freshness_.current_until() == kStart + 2 * kSecond);
  }

 private:
  PublishedFreshness freshness_{{kSecond, kSecond, 1}, kStart};
  PendingProofs pending_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PendingProofsTest);

}  // namespace cherrydyke
