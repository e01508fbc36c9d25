#include "dispatch/handover_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "absl/strings/str_cat.h"
#include "rapidcheck.h"

namespace cherrydyke {

class HandoverChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandoverChoiceTest);
  CPPUNIT_TEST(RequestThatMayHaveRunIsHandedOverOnlyIfIdempotent);
  CPPUNIT_TEST(RequestWithoutAttemptsLeftIsNotHandedOver);
  CPPUNIT_TEST(PeerThatCannotRunTheRequestIsNotChosen);
  CPPUNIT_TEST(ObstacleOfAPeerIsNamed);
  CPPUNIT_TEST(PeerWithAnOlderOfferIsTheLastChoice);
  CPPUNIT_TEST(RequestStaysInAllowedRegions);
  CPPUNIT_TEST(NearestPeerWithRoomIsChosen);
  CPPUNIT_TEST(LoadOfPartitionedDomainIsSpreadOverPeers);
  CPPUNIT_TEST(AskedHostsAreNearAndInOtherDomains);
  CPPUNIT_TEST(BusyHostTakesNothingOver);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestThatMayHaveRunIsHandedOverOnlyIfIdempotent() {
    CPPUNIT_ASSERT(MayHandOver({"a"}, {}, false, 1, 2));
    CPPUNIT_ASSERT(MayHandOver({"a"}, {}, true, 1, 2));
    CPPUNIT_ASSERT(!MayHandOver({"a"}, {{"a", {"t1"}}}, false, 1, 2));
    CPPUNIT_ASSERT(MayHandOver({"a"}, {{"a", {"t1"}}}, true, 1, 2));
  }

  void RequestWithoutAttemptsLeftIsNotHandedOver() {
    const TriedTargets tried = {{"a", {"t1", "t2"}}, {"b", {"t3"}}};
    CPPUNIT_ASSERT(!MayHandOver({"a"}, tried, true, 1, 2));
    CPPUNIT_ASSERT(MayHandOver({"a"}, tried, true, 1, 3));
    CPPUNIT_ASSERT(MayHandOver({"a", "b", "c"}, tried, true, 2, 2));
    CPPUNIT_ASSERT(!MayHandOver({"a", "b", "c"}, tried, true, 3, 2));
  }

  void PeerThatCannotRunTheRequestIsNotChosen() {
    CPPUNIT_ASSERT(CanTakeOver(Candidate(), Criteria(), now_));
    HandoverCandidate unavailable = Candidate();
    unavailable.offer.available = false;
    CPPUNIT_ASSERT(!CanTakeOver(unavailable, Criteria(), now_));
    HandoverCandidate silent = Candidate();
    silent.offered_at = now_ - absl::Seconds(2);
    CPPUNIT_ASSERT(!CanTakeOver(silent, Criteria(), now_));
    HandoverCandidate excluded = Candidate();
    excluded.excluded_until = now_ + absl::Milliseconds(1);
    CPPUNIT_ASSERT(!CanTakeOver(excluded, Criteria(), now_));
    HandoverCandidate lacking = Candidate();
    lacking.offer.unreachable_services = {HandoverServiceHash("b"),
                                          HandoverServiceHash("other")};
    CPPUNIT_ASSERT(!CanTakeOver(lacking, Criteria(), now_));
    HandoverCriteria criteria = Criteria();
    criteria.dispensable_services = 1;
    CPPUNIT_ASSERT(CanTakeOver(lacking, criteria, now_));
  }

  void ObstacleOfAPeerIsNamed() {
    const auto obstacle = [this](const HandoverCandidate& candidate,
                                 const HandoverCriteria& criteria) {
      const auto found = FindHandoverObstacle(candidate, criteria, now_);
      return std::string(found ? HandoverObstacleName(*found) : "none");
    };
    CPPUNIT_ASSERT_EQUAL(std::string("none"),
                         obstacle(Candidate(), Criteria()));
    CPPUNIT_ASSERT_EQUAL(std::string("no_offer"), obstacle({}, Criteria()));
    HandoverCandidate candidate = Candidate();
    candidate.offer.available = false;
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"),
                         obstacle(candidate, Criteria()));
    candidate = Candidate();
    candidate.excluded_until = now_ + absl::Milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(std::string("excluded"),
                         obstacle(candidate, Criteria()));
    candidate = Candidate();
    candidate.in_flight = 1000;
    CPPUNIT_ASSERT_EQUAL(std::string("busy"), obstacle(candidate, Criteria()));
    candidate = Candidate();
    candidate.offer.unreachable_services = {HandoverServiceHash("b")};
    CPPUNIT_ASSERT_EQUAL(std::string("lacks_services"),
                         obstacle(candidate, Criteria()));
    HandoverCriteria criteria = Criteria();
    criteria.allowed_regions = {"south"};
    CPPUNIT_ASSERT_EQUAL(std::string("other_region"),
                         obstacle(Candidate(), criteria));
  }

  // Guards against refusing callers while changes follow each other faster than
  // offers (RECOVER). The peer compares the configurations when it is asked.
  void PeerWithAnOlderOfferIsTheLastChoice() {
    HandoverCandidate older = Candidate();
    older.offer.config_version = 6;
    CPPUNIT_ASSERT(Choose({older}) == size_t{0});
    HandoverCandidate farther = Candidate();
    farther.distance = Distance::kOtherRegion;
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(Choose({older, farther}) == size_t{1});
    }
  }

  void RequestStaysInAllowedRegions() {
    HandoverCriteria criteria = Criteria();
    criteria.allowed_regions = {"south"};
    CPPUNIT_ASSERT(!CanTakeOver(Candidate(), criteria, now_));
    HandoverCandidate allowed = Candidate();
    allowed.region = "south";
    CPPUNIT_ASSERT(CanTakeOver(allowed, criteria, now_));
  }

  void NearestPeerWithRoomIsChosen() {
    std::vector<HandoverCandidate> candidates(3, Candidate());
    candidates[0].distance = Distance::kOtherRegion;
    candidates[1].distance = Distance::kSameDomain;
    candidates[2].distance = Distance::kSameRegion;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, *Choose(candidates));
    candidates[1].excluded_until = now_ + absl::Seconds(1);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, *Choose(candidates));
    candidates[2].in_flight = 1000;
    CPPUNIT_ASSERT_EQUAL(size_t{0}, *Choose(candidates));
    candidates[0].offer.available = false;
    CPPUNIT_ASSERT(!Choose(candidates).has_value());
  }

  // All hosts of one failure domain ask six hosts each and hand their requests
  // over for a while; no peer gets much more than its share.
  void LoadOfPartitionedDomainIsSpreadOverPeers() {
    constexpr int kHostsPerDomain = 50;
    constexpr int kRequestsPerHost = 40;
    const std::vector<FailureDomainName> names = {"a1", "a2", "b1", "c1"};
    std::vector<FailureDomainName> hosts;
    for (const auto& name : names) {
      hosts.insert(hosts.end(), kHostsPerDomain, name);
    }
    std::vector<int> taken(hosts.size());
    for (int host = 0; host < kHostsPerDomain; ++host) {
      const std::vector<size_t> asked =
          SampleHandoverPeers(hosts, locality_, 6, random_);
      std::vector<HandoverCandidate> candidates;
      for (const size_t peer : asked) {
        HandoverCandidate candidate = Candidate();
        candidate.distance =
            locality_.DistanceBetween(locality_.failure_domain, hosts[peer]);
        candidate.offer.available = hosts[peer] != "a1";
        candidates.push_back(candidate);
      }
      for (int request = 0; request < kRequestsPerHost; ++request) {
        const auto chosen = Choose(candidates);
        CPPUNIT_ASSERT(chosen.has_value());
        ++candidates[*chosen].in_flight;
        ++taken[asked[*chosen]];
        if (request >= 2) --candidates[*chosen].in_flight;
      }
    }
    const int most = *std::max_element(taken.begin(), taken.end());
    // A mean of 40 at the hosts of the region's other domain.
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(most), most <= 5 * kRequestsPerHost);
  }

  void AskedHostsAreNearAndInOtherDomains() {
    CPPUNIT_ASSERT(rc::check([this] {
      const auto counts =
          *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 10));
      const std::vector<FailureDomainName> names = {"a1", "a2", "b1", "c1"};
      std::vector<FailureDomainName> hosts;
      for (size_t i = 0; i < names.size(); ++i) {
        hosts.insert(hosts.end(), static_cast<size_t>(counts[i]), names[i]);
      }
      constexpr size_t kLimit = 6;
      const auto asked = SampleHandoverPeers(hosts, locality_, kLimit, random_);
      RC_ASSERT(asked.size() == std::min(kLimit, hosts.size()));
      std::set<FailureDomainName> domains;
      for (const size_t index : asked) domains.insert(hosts[index]);
      const auto available = std::count_if(counts.begin(), counts.end(),
                                           [](int count) { return count > 0; });
      RC_ASSERT(static_cast<int>(domains.size()) == available);
    }));
  }

  void BusyHostTakesNothingOver() {
    CPPUNIT_ASSERT(HasRoomToTakeOver(0, absl::ZeroDuration()));
    CPPUNIT_ASSERT(!HasRoomToTakeOver(0, absl::Milliseconds(100)));
    CPPUNIT_ASSERT(!HasRoomToTakeOver(1000, absl::ZeroDuration()));
  }

 private:
  HandoverCandidate Candidate() const {
    HandoverCandidate candidate;
    candidate.region = "north";
    candidate.distance = Distance::kSameDomain;
    candidate.offer.available = true;
    candidate.offer.config_version = 7;
    candidate.offered_at = now_;
    return candidate;
  }

  static HandoverCriteria Criteria() { return {7, {"a", "b"}, 0, {}}; }

  std::optional<size_t> Choose(
      const std::vector<HandoverCandidate>& candidates) {
    return ChooseHandoverPeer(candidates, Criteria(), now_, random_);
  }

  const Locality locality_ = {
      "host", "a1", {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"c1", "c"}}};
  const absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::mt19937_64 random_{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandoverChoiceTest);

}  // namespace cherrydyke
