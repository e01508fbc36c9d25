#include "tier/published_freshness.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kSecond = absl::Seconds(1);
constexpr absl::Duration kMaxPeerAge = absl::Milliseconds(2200);
constexpr absl::Duration kRetryPause = absl::Milliseconds(2500);
constexpr uint32_t kSelf = 1;
constexpr uint32_t kPeer = 2;

PublishedFreshness Freshness(uint32_t self = kSelf) {
  return {{kMaxPeerAge, kRetryPause, self}, kStart};
}

using Proofs = std::vector<ReadProof>;

}  // namespace

class PublishedFreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishedFreshnessTest);
  CPPUNIT_TEST(NothingIsProvenAtTheStart);
  CPPUNIT_TEST(ProofFromBeforeTheStartTellsTheAge);
  CPPUNIT_TEST(OwnReadsProveTheTimeAtWhichTheyBegan);
  CPPUNIT_TEST(PeersProveTheTimeOfTheirReads);
  CPPUNIT_TEST(OlderProofsDoNotReplaceNewerOnes);
  CPPUNIT_TEST(FresherProofsOfMoreHopsDoNotReplaceOthers);
  CPPUNIT_TEST(ReadsItselfWhenPeersProveNothing);
  CPPUNIT_TEST(OwnReadsDoNotCountAsProofOfPeers);
  CPPUNIT_TEST(OneFailedCallDoesNotEndReading);
  CPPUNIT_TEST(PausesAfterSeveralFailedCalls);
  CPPUNIT_TEST(FailuresOfAnEarlierOutageDoNotMakeItPause);
  CPPUNIT_TEST(FailuresBeforeAPeersReadDoNotMakeItPause);
  CPPUNIT_TEST(ProofThatMayBeOlderThanAFailureDoesNotEndThePause);
  CPPUNIT_TEST(HostThatIsTurnedAwayPausesThoughPeersProve);
  CPPUNIT_TEST(MalformedProofsAreIgnored);
  CPPUNIT_TEST(ProofsThatCircleDoNotBecomeFresher);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingIsProvenAtTheStart() {
    const PublishedFreshness freshness = Freshness();
    CPPUNIT_ASSERT(freshness.current_until() == kStart);
    CPPUNIT_ASSERT(!freshness.proven_until().has_value());
    CPPUNIT_ASSERT(freshness.ProofsForPeers(kStart).empty());
  }

  // Of a host that starts in an outage of the configuration service.
  void ProofFromBeforeTheStartTellsTheAge() {
    PublishedFreshness freshness = Freshness();
    freshness.OnPeerProof({9 * kSecond, 1, kPeer}, kStart - 8 * kSecond);
    CPPUNIT_ASSERT(freshness.current_until() == kStart);
    CPPUNIT_ASSERT(freshness.proven_until() == kStart - 8 * kSecond);
    freshness.OnRead(kStart + kSecond);
    CPPUNIT_ASSERT(freshness.proven_until() == kStart + kSecond);
  }

  void OwnReadsProveTheTimeAtWhichTheyBegan() {
    PublishedFreshness freshness = Freshness();
    freshness.OnRead(kStart + kSecond);
    CPPUNIT_ASSERT(freshness.current_until() == kStart + kSecond);
    CPPUNIT_ASSERT((Proofs{{2 * kSecond, 0, kSelf}}) ==
                   freshness.ProofsForPeers(kStart + 3 * kSecond));
  }

  void PeersProveTheTimeOfTheirReads() {
    PublishedFreshness freshness = Freshness();
    freshness.OnPeerProof({kSecond, 1, kPeer}, kStart + 4 * kSecond);
    CPPUNIT_ASSERT(freshness.current_until() == kStart + 4 * kSecond);
    CPPUNIT_ASSERT((Proofs{{2 * kSecond, 2, kPeer}}) ==
                   freshness.ProofsForPeers(kStart + 6 * kSecond));
  }

  void OlderProofsDoNotReplaceNewerOnes() {
    PublishedFreshness freshness = Freshness();
    freshness.OnPeerProof({kSecond, 0, kPeer}, kStart + 4 * kSecond);
    freshness.OnPeerProof({3 * kSecond, 0, kPeer}, kStart + 3 * kSecond);
    freshness.OnRead(kStart + kSecond);
    CPPUNIT_ASSERT(freshness.current_until() == kStart + 4 * kSecond);
  }

  void FresherProofsOfMoreHopsDoNotReplaceOthers() {
    PublishedFreshness freshness = Freshness();
    freshness.OnPeerProof({kSecond, 0, kPeer}, kStart + 4 * kSecond);
    freshness.OnPeerProof({kSecond, 1, kPeer}, kStart + 5 * kSecond);
    freshness.OnPeerProof({kSecond, 2, kPeer}, kStart + 6 * kSecond);
    CPPUNIT_ASSERT((Proofs{{3 * kSecond, 1, kPeer}, {2 * kSecond, 2, kPeer}}) ==
                   freshness.ProofsForPeers(kStart + 7 * kSecond));
  }

  void ReadsItselfWhenPeersProveNothing() {
    PublishedFreshness freshness = Freshness();
    const absl::Time later = kStart + kMaxPeerAge + kSecond;
    CPPUNIT_ASSERT(!freshness.ShouldReadItself(kStart + kMaxPeerAge));
    CPPUNIT_ASSERT(freshness.ShouldReadItself(later));
    freshness.OnPeerProof({kSecond, 0, kPeer}, later - kSecond);
    CPPUNIT_ASSERT(!freshness.ShouldReadItself(later));
  }

  // Otherwise a host that peers do not reach would stop reading after each
  // read, and start again when that one is too old.
  void OwnReadsDoNotCountAsProofOfPeers() {
    PublishedFreshness freshness = Freshness();
    const absl::Time now = kStart + 5 * kSecond;
    freshness.OnRead(now);
    freshness.OnPeerProof({kSecond, 0, kSelf}, now);
    CPPUNIT_ASSERT(freshness.ShouldReadItself(now));
  }

  void OneFailedCallDoesNotEndReading() {
    PublishedFreshness freshness = Freshness();
    const absl::Time now = kStart + 5 * kSecond;
    freshness.OnReadFailed(now);
    CPPUNIT_ASSERT(freshness.ShouldReadItself(now));
  }

  void PausesAfterSeveralFailedCalls() {
    PublishedFreshness freshness = Freshness();
    const absl::Time now = kStart + 5 * kSecond;
    for (int i = 0; i < 2; ++i) freshness.OnReadFailed(now);
    CPPUNIT_ASSERT(!freshness.ShouldReadItself(now + kRetryPause / 2));
    CPPUNIT_ASSERT(freshness.PeersProveNothing(now + kRetryPause / 2));
    CPPUNIT_ASSERT(freshness.ShouldReadItself(now + kRetryPause));
    freshness.OnReadFailed(now + kRetryPause);
    CPPUNIT_ASSERT(!freshness.ShouldReadItself(now + kRetryPause));
    freshness.OnRead(now + kRetryPause);
    CPPUNIT_ASSERT(freshness.ShouldReadItself(now + kRetryPause));
  }

  void FailuresOfAnEarlierOutageDoNotMakeItPause() {
    PublishedFreshness freshness = Freshness();
    for (int i = 0; i < 2; ++i) freshness.OnReadFailed(kStart + kSecond);
    const absl::Time now = kStart + 60 * kSecond;
    freshness.OnReadFailed(now);
    CPPUNIT_ASSERT(freshness.ShouldReadItself(now));
    freshness.OnReadFailed(now);
    CPPUNIT_ASSERT(!freshness.ShouldReadItself(now));
  }

  // Guards against a call lost soon after an outage that delays the next one
  // (CONFIG, HOME).
  void FailuresBeforeAPeersReadDoNotMakeItPause() {
    PublishedFreshness freshness = Freshness();
    const absl::Time now = kStart + 5 * kSecond;
    for (int i = 0; i < 2; ++i) freshness.OnReadFailed(now);
    freshness.OnPeerProof({kSecond, 0, kPeer}, now + kSecond);
    const absl::Time lost = now + kSecond + kMaxPeerAge + kSecond;
    freshness.OnReadFailed(lost);
    CPPUNIT_ASSERT(freshness.ShouldReadItself(lost));
  }

  // Its datagram may have been on the way for longer than it says.
  void ProofThatMayBeOlderThanAFailureDoesNotEndThePause() {
    PublishedFreshness freshness({kSecond / 10, kRetryPause, kSelf}, kStart);
    const absl::Time now = kStart + 5 * kSecond;
    for (int i = 0; i < 2; ++i) freshness.OnReadFailed(now);
    freshness.OnPeerProof({kSecond, 0, kPeer}, now + kSecond / 10);
    CPPUNIT_ASSERT(!freshness.ShouldReadItself(now + kSecond));
  }

  // Guards against two calls without a pause for each proof of a peer, of a
  // host that the service turns away. The proofs are too old to keep it from
  // calling.
  void HostThatIsTurnedAwayPausesThoughPeersProve() {
    constexpr absl::Duration kPeriod = absl::Milliseconds(100);
    constexpr int kPeriods = 600;
    PublishedFreshness freshness({absl::ZeroDuration(), kRetryPause, kSelf},
                                 kStart);
    int calls = 0;
    for (int i = 1; i <= kPeriods; ++i) {
      const absl::Time now = kStart + i * kPeriod;
      freshness.OnPeerProof({kSecond, 0, kPeer}, now - kPeriod / 2);
      if (!freshness.ShouldReadItself(now)) continue;
      ++calls;
      freshness.OnReadFailed(now);
    }
    // Two calls before the first pause, and two after the first proof.
    const auto pauses = static_cast<int>(kPeriods * kPeriod / kRetryPause);
    CPPUNIT_ASSERT(calls <= pauses + 4);
  }

  void MalformedProofsAreIgnored() {
    PublishedFreshness freshness = Freshness();
    freshness.OnPeerProof({-kSecond, 0, kPeer}, kStart + kSecond);
    freshness.OnPeerProof({kSecond, -1, kPeer}, kStart + kSecond);
    freshness.OnPeerProof({kSecond, 1000, kPeer}, kStart + kSecond);
    CPPUNIT_ASSERT(freshness.current_until() == kStart);
  }

  // One host reads once; then all pass on what they have at random, each
  // message with a delay that nobody counts.
  void ProofsThatCircleDoNotBecomeFresher() {
    const bool holds = rc::check("proofs in a circle", [] {
      constexpr size_t kHosts = 5;
      constexpr int kLongestDelayMs = 50;
      constexpr int kHops = 3;
      std::vector<PublishedFreshness> hosts;
      for (uint32_t host = 0; host < kHosts; ++host) {
        hosts.push_back(Freshness(host));
      }
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
        if (from == to) continue;
        for (const ReadProof& proof : proofs) {
          hosts[to].OnPeerProof(proof, now - proof.age);
        }
      }
      RC_ASSERT(hosts[0].current_until() == read_at);
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
