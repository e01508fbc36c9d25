#include "dispatch/handover_wait.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "rapidcheck.h"

namespace cherrydyke {

class HandoverWaitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandoverWaitTest);
  CPPUNIT_TEST(RequestWaitsForAPeerThatHasJustFallenSilent);
  CPPUNIT_TEST(RequestDoesNotWaitForPeersThatAnswer);
  CPPUNIT_TEST(HostThatHearsFromNoneLetsNoRequestWait);
  CPPUNIT_TEST(RequestIsHandledAnewWhenAPeerMayBeAskedAgain);
  CPPUNIT_TEST(PeerThatIsJustBackMayStillRefuse);
  CPPUNIT_TEST(RequestDoesNotWaitForPeersOfOtherRegions);
  CPPUNIT_TEST(PeerThatStaysSilentIsNotExpectedBack);
  CPPUNIT_TEST(CallerKeepsHalfOfItsTime);
  CPPUNIT_TEST(WaitIsBoundedForAnyPeers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestWaitsForAPeerThatHasJustFallenSilent() {
    const auto end = WaitEnd({Partitioned(), Silent()}, Request());
    CPPUNIT_ASSERT(end.has_value());
    CPPUNIT_ASSERT(*end > now_);
  }

  void RequestDoesNotWaitForPeersThatAnswer() {
    CPPUNIT_ASSERT(!WaitEnd({}, Request()));
    CPPUNIT_ASSERT(!WaitEnd({Partitioned()}, Request()));
    HandoverCandidate never_seen;
    never_seen.is_silent = true;
    CPPUNIT_ASSERT(!WaitEnd({Partitioned(), never_seen}, Request()));
  }

  void HostThatHearsFromNoneLetsNoRequestWait() {
    const std::vector<HandoverCandidate> candidates = {Silent()};
    const absl::Time heard_at = now_ - absl::Seconds(1);
    CPPUNIT_ASSERT(HandoverWaitEnd(candidates, Request(), heard_at, now_));
    CPPUNIT_ASSERT(!HandoverWaitEnd(candidates, Request(),
                                    heard_at - absl::Milliseconds(1), now_));
  }

  void RequestIsHandledAnewWhenAPeerMayBeAskedAgain() {
    HandoverCandidate excluded = Partitioned();
    excluded.offer.available = true;
    excluded.excluded_until = now_ + absl::Milliseconds(50);
    CPPUNIT_ASSERT(excluded.excluded_until ==
                   WaitEnd({Silent(), excluded}, Request()));
    // Without a silent one the refusal is final.
    CPPUNIT_ASSERT(!WaitEnd({excluded}, Request()));
  }

  void PeerThatIsJustBackMayStillRefuse() {
    HandoverCandidate back = Partitioned();
    back.silent_at = now_ - absl::Milliseconds(299);
    CPPUNIT_ASSERT(WaitEnd({back}, Request()));
    back.silent_at = now_ - absl::Milliseconds(300);
    CPPUNIT_ASSERT(!WaitEnd({back}, Request()));
  }

  void RequestDoesNotWaitForPeersOfOtherRegions() {
    UnplacedRequest request = Request();
    request.criteria.allowed_regions = {"south"};
    CPPUNIT_ASSERT(!WaitEnd({Partitioned(), Silent()}, request));
    request.criteria.allowed_regions = {"south", "north"};
    CPPUNIT_ASSERT(WaitEnd({Partitioned(), Silent()}, request));
  }

  void PeerThatStaysSilentIsNotExpectedBack() {
    HandoverCandidate lost = Silent();
    lost.available_at = now_ - absl::Seconds(2);
    CPPUNIT_ASSERT(!WaitEnd({Partitioned(), lost}, Request()));
    CPPUNIT_ASSERT(WaitEnd({Partitioned(), lost, Silent()}, Request()));
  }

  void CallerKeepsHalfOfItsTime() {
    UnplacedRequest request = Request();
    request.received_at = now_ - absl::Milliseconds(100);
    request.deadline = now_ + absl::Milliseconds(300);
    CPPUNIT_ASSERT(now_ + absl::Milliseconds(100) ==
                   WaitEnd({Partitioned(), Silent()}, request));
    CPPUNIT_ASSERT(!HandoverWaitEnd({Partitioned(), Silent()}, request, now_,
                                    now_ + absl::Milliseconds(100)));
  }

  void WaitIsBoundedForAnyPeers() {
    CPPUNIT_ASSERT(rc::check([this] {
      const auto time = [this](int min_ms, int max_ms) {
        return now_ + absl::Milliseconds(*rc::gen::inRange(min_ms, max_ms));
      };
      std::vector<HandoverCandidate> candidates = {Partitioned()};
      absl::Time last_seen = absl::InfinitePast();
      for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
        HandoverCandidate candidate = Silent();
        candidate.is_silent = *rc::gen::arbitrary<bool>();
        if (!candidate.is_silent) candidate.silent_at = absl::InfinitePast();
        candidate.available_at = time(-5000, 1);
        candidate.excluded_until = time(-100, 100);
        if (candidate.is_silent) {
          last_seen = std::max(last_seen, candidate.available_at);
        }
        candidates.push_back(candidate);
      }
      UnplacedRequest request = Request();
      request.received_at = time(-3000, 1);
      request.deadline = time(-1000, 3000);
      const auto end = WaitEnd(candidates, request);
      if (!end) return;
      RC_ASSERT(*end > now_);
      RC_ASSERT(*end <= last_seen + absl::Seconds(2));
      const absl::Duration waited = *end - request.received_at;
      const absl::Duration left = request.deadline - *end;
      RC_ASSERT(left >= waited);
    }));
  }

 private:
  /// As a host that has just heard from others.
  std::optional<absl::Time> WaitEnd(
      const std::vector<HandoverCandidate>& candidates,
      const UnplacedRequest& request) const {
    return HandoverWaitEnd(candidates, request, now_, now_);
  }

  HandoverCandidate Silent() const {
    HandoverCandidate candidate;
    candidate.region = "north";
    candidate.offer.available = true;
    candidate.offered_at = now_ - absl::Milliseconds(300);
    candidate.available_at = candidate.offered_at;
    candidate.is_silent = true;
    candidate.silent_at = now_;
    return candidate;
  }

  HandoverCandidate Partitioned() const {
    HandoverCandidate candidate = Silent();
    candidate.is_silent = false;
    candidate.silent_at = absl::InfinitePast();
    candidate.offer.available = false;
    return candidate;
  }

  UnplacedRequest Request() const {
    return {HandoverCriteria(), now_, now_ + absl::Milliseconds(1500)};
  }

  const absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandoverWaitTest);

}  // namespace cherrydyke
