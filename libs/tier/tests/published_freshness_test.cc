#include "tier/published_freshness.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace cherrydyke {
namespace {

using Proofs = std::vector<ReadProof>;

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kSecond = absl::Seconds(1);

PublishedFreshness Freshness() {
  return {PublishedFreshness::Options(), kStart};
}

}  // namespace

class PublishedFreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishedFreshnessTest);
  CPPUNIT_TEST(NothingIsProvenAtTheStart);
  CPPUNIT_TEST(OwnReadsProveTheTimeAtWhichTheyBegan);
  CPPUNIT_TEST(PeersProveTheAgeOfTheRead);
  CPPUNIT_TEST(OlderProofsDoNotReplaceNewerOnes);
  CPPUNIT_TEST(ReadsItselfWhenPeersProveNothing);
  CPPUNIT_TEST(OwnReadsDoNotReplaceTheProofOfPeers);
  CPPUNIT_TEST(PausesAfterAFailedRead);
  CPPUNIT_TEST(AFailureAfterAFreshReadDoesNotPause);
  CPPUNIT_TEST(FresherProofsDoNotReplaceThoseOfFewerHops);
  CPPUNIT_TEST(MalformedProofsAreIgnored);
  CPPUNIT_TEST(ProofsThatCircleDoNotBecomeFresher);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingIsProvenAtTheStart() {
    const PublishedFreshness freshness = Freshness();
    CPPUNIT_ASSERT(freshness.current_until() == absl::InfinitePast());
    CPPUNIT_ASSERT(freshness.ProofsForPeers(kStart).empty());
  }

  void OwnReadsProveTheTimeAtWhichTheyBegan() {
    PublishedFreshness freshness = Freshness();
    freshness.OnRead(kStart + kSecond);
    CPPUNIT_ASSERT(freshness.current_until() == kStart + kSecond);
    CPPUNIT_ASSERT((Proofs{{2 * kSecond, 0}}) ==
                   freshness.ProofsForPeers(kStart + 3 * kSecond));
  }

  void PeersProveTheAgeOfTheRead() {
    PublishedFreshness freshness = Freshness();
    freshness.OnPeerProof({kSecond, 1}, kStart + 5 * kSecond);
    CPPUNIT_ASSERT(freshness.current_until() == kStart + 4 * kSecond);
    CPPUNIT_ASSERT((Proofs{{2 * kSecond, 2}}) ==
                   freshness.ProofsForPeers(kStart + 6 * kSecond));
  }

  void OlderProofsDoNotReplaceNewerOnes() {
    PublishedFreshness freshness = Freshness();
    freshness.OnPeerProof({kSecond, 0}, kStart + 5 * kSecond);
    freshness.OnPeerProof({3 * kSecond, 0}, kStart + 6 * kSecond);
    freshness.OnRead(kStart + kSecond);
    CPPUNIT_ASSERT(freshness.current_until() == kStart + 4 * kSecond);
  }

  void ReadsItselfWhenPeersProveNothing() {
    PublishedFreshness freshness = Freshness();
    const absl::Duration limit = freshness.options().max_peer_age;
    CPPUNIT_ASSERT(!freshness.ShouldReadItself(kStart + limit));
    CPPUNIT_ASSERT(freshness.ShouldReadItself(kStart + limit + kSecond));
    freshness.OnPeerProof({kSecond / 2, 0}, kStart + limit + kSecond);
    CPPUNIT_ASSERT(!freshness.ShouldReadItself(kStart + limit + kSecond));
  }

  // Otherwise a host that peers do not reach would stop reading after each
  // read, and start again when that one is too old.
  void OwnReadsDoNotReplaceTheProofOfPeers() {
    PublishedFreshness freshness = Freshness();
    freshness.OnRead(kStart + 5 * kSecond);
    CPPUNIT_ASSERT(freshness.ShouldReadItself(kStart + 5 * kSecond));
  }

  void PausesAfterAFailedRead() {
    PublishedFreshness freshness = Freshness();
    const absl::Time failed_at = kStart + 5 * kSecond;
    freshness.OnReadFailed(failed_at);
    const absl::Duration pause = freshness.options().retry_pause;
    CPPUNIT_ASSERT(!freshness.ShouldReadItself(failed_at + pause / 2));
    CPPUNIT_ASSERT(freshness.ShouldReadItself(failed_at + pause));
  }

  // A watch that fell silent once kept a host that peers do not reach from the
  // service for longer than the bound.
  void AFailureAfterAFreshReadDoesNotPause() {
    PublishedFreshness freshness = Freshness();
    const absl::Time read_at = kStart + 5 * kSecond;
    const absl::Duration pause = freshness.options().retry_pause;
    freshness.OnRead(read_at);
    freshness.OnReadFailed(read_at + pause);
    CPPUNIT_ASSERT(freshness.ShouldReadItself(read_at + pause));
    freshness.OnReadFailed(read_at + pause + kSecond);
    CPPUNIT_ASSERT(!freshness.ShouldReadItself(read_at + pause + kSecond));
  }

  // A reader passed on only the slightly fresher proofs of other readers, which
  // its relays may not pass on, so that all of their groups called the service.
  void FresherProofsDoNotReplaceThoseOfFewerHops() {
    PublishedFreshness freshness = Freshness();
    const absl::Time now = kStart + 5 * kSecond;
    freshness.OnRead(now - 2 * kSecond);
    freshness.OnPeerProof({kSecond, 1}, now);
    freshness.OnPeerProof({3 * kSecond, 0}, now);
    CPPUNIT_ASSERT((Proofs{{2 * kSecond, 0}, {kSecond, 2}}) ==
                   freshness.ProofsForPeers(now));
  }

  void MalformedProofsAreIgnored() {
    PublishedFreshness freshness = Freshness();
    freshness.OnPeerProof({-kSecond, 0}, kStart);
    freshness.OnPeerProof({kSecond, -1}, kStart);
    freshness.OnPeerProof({kSecond, 1000}, kStart);
    CPPUNIT_ASSERT(freshness.current_until() == absl::InfinitePast());
  }

  // One host reads once; then all pass on what they have at random, each
  // message with a delay that nobody counts.
  void ProofsThatCircleDoNotBecomeFresher() {
    const bool holds = rc::check("proofs in a circle", [] {
      constexpr size_t kHosts = 5;
      constexpr int kLongestDelayMs = 50;
      constexpr int kHops = 3;
      std::vector<PublishedFreshness> hosts(kHosts, Freshness());
      const absl::Time read_at = kStart + kSecond;
      hosts[0].OnRead(read_at);
      absl::Time now = read_at;
      const auto messages = *rc::gen::container<std::vector<int>>(
          200, rc::gen::inRange(0, 1'000'000));
      for (const int message : messages) {
        const auto from = static_cast<size_t>(message) % kHosts;
        const auto to = static_cast<size_t>(message) / kHosts % kHosts;
        const Proofs proofs = hosts[from].ProofsForPeers(now);
        now += absl::Milliseconds(message / 31 % kLongestDelayMs);
        for (const ReadProof& proof : proofs) {
          if (from != to) hosts[to].OnPeerProof(proof, now);
        }
      }
      for (const PublishedFreshness& host : hosts) {
        RC_ASSERT(host.current_until() <=
                  read_at + kHops * absl::Milliseconds(kLongestDelayMs));
      }
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublishedFreshnessTest);

}  // namespace cherrydyke
