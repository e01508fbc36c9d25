#include "dispatch/config_versions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "rapidcheck.h"

namespace cherrydyke {
namespace {

constexpr int kHosts = 3;
constexpr int kEvents = 300;

/// Hosts that get versions at different times and hand requests to each other.
/// Each decision is taken by `ConfigVersions` of the host that takes it.
class FleetOfVersions {
 public:
  /// @return what broke the rule, or nothing.
  std::string Play(int events) {
    for (int event = 0; event < events && failure_.empty(); ++event) Step();
    return failure_;
  }

 private:
  struct Host {
    ConfigVersions versions;
    /// The newest version by which its callers' requests have begun to run,
    /// wherever that was.
    int64_t seen = 0;
    int lifetime = 0;
    bool reaches_targets = true;
  };
  /// A request on its way between two hosts.
  struct Handover {
    size_t from = 0;
    size_t to = 0;
    int from_lifetime = 0;
    int to_lifetime = 0;
    int64_t least = 0;
    /// What the sender's callers had seen, and what was in force there, when
    /// the caller sent it.
    int64_t seen = 0;
    int tries = 0;
    /// The version by which the peer ran it; 0 before.
    int64_t run_by = 0;
  };

  static size_t Pick(size_t below) {
    return *rc::gen::resize(rc::kNominalSize,
                            rc::gen::inRange<size_t>(0, below));
  }

  void Step() {
    const size_t at = Pick(kHosts);
    Host& host = hosts_[at];
    switch (Pick(8)) {
      case 0:
        ++published_;
        break;
      case 1:
        // From the store, or from a peer that has any newer version.
        host.versions.SetInForce(
            host.versions.in_force() +
            static_cast<int64_t>(Pick(static_cast<size_t>(
                published_ - host.versions.in_force() + 1))));
        break;
      case 2:
        host.reaches_targets = !host.reaches_targets;
        break;
      case 3:
        host = {ConfigVersions(), 0, host.lifetime + 1, true};
        break;
      case 4:
      case 5:
        CallOf(at);
        break;
      case 6:
        if (!underway_.empty()) Arrive(Pick(underway_.size()));
        break;
      default:
        if (!underway_.empty()) Reply(Pick(underway_.size()));
        break;
    }
  }

  void CallOf(size_t at) {
    Host& host = hosts_[at];
    if (host.versions.in_force() == 0) return;
    if (host.reaches_targets && host.versions.MayRunOwn()) {
      Run(at, at, host.versions.in_force(), host.seen);
      host.seen = std::max(host.seen, host.versions.in_force());
      return;
    }
    Handover handover;
    handover.from = at;
    handover.from_lifetime = host.lifetime;
    handover.seen = std::max(host.seen, host.versions.in_force());
    Send(handover);
  }

  void Send(Handover handover) {
    constexpr int kMaxTries = 2;
    const Host& host = hosts_[handover.from];
    if (handover.tries++ == kMaxTries) return;
    handover.to = (handover.from + 1 + Pick(kHosts - 1)) % kHosts;
    handover.to_lifetime = hosts_[handover.to].lifetime;
    handover.least = host.versions.LeastForPeers();
    underway_.push_back(handover);
  }

  void Arrive(size_t index) {
    Handover& handover = underway_[index];
    Host& peer = hosts_[handover.to];
    if (handover.run_by != 0) return;
    const bool takes = peer.lifetime == handover.to_lifetime &&
                       peer.versions.MayTakeOver(handover.least);
    const bool is_told =
        takes && peer.versions.MustTellFirst(handover.least) &&
        hosts_[handover.from].lifetime == handover.from_lifetime;
    if (is_told) {
      hosts_[handover.from].versions.OnRunByPeer(peer.versions.in_force());
      --handover.tries;
    } else if (takes) {
      Run(handover.from, handover.to, peer.versions.in_force(), handover.seen);
      handover.run_by = peer.versions.in_force();
      Host& host = hosts_[handover.from];
      if (host.lifetime == handover.from_lifetime) {
        host.seen = std::max(host.seen, handover.run_by);
      }
      return;
    }
    Handover rejected = handover;
    underway_.erase(underway_.begin() + static_cast<ptrdiff_t>(index));
    if (hosts_[rejected.from].lifetime == rejected.from_lifetime) {
      Send(rejected);
    }
  }

  void Reply(size_t index) {
    const Handover handover = underway_[index];
    if (handover.run_by == 0) return;
    underway_.erase(underway_.begin() + static_cast<ptrdiff_t>(index));
    Host& host = hosts_[handover.from];
    if (host.lifetime != handover.from_lifetime) return;
    host.versions.OnRunByPeer(handover.run_by);
  }

  // Regions are excluded by versions, so that the newest version known to the
  // host that runs a request and to the one that sent it must allow the run.
  void Run(size_t caller, size_t runner, int64_t version, int64_t seen) {
    const Host& host = hosts_[runner];
    if (version < seen) {
      failure_ = absl::StrCat("request of host ", caller, " run by version ",
                              version, " at host ", runner, " after ", seen);
    } else if (version < host.seen) {
      failure_ = absl::StrCat("host ", runner, " runs a request by version ",
                              version, " and knows of ", host.seen);
    }
  }

  std::vector<Host> hosts_ = std::vector<Host>(kHosts);
  std::vector<Handover> underway_;
  int64_t published_ = 1;
  std::string failure_;
};

}  // namespace

class ConfigVersionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigVersionsTest);
  CPPUNIT_TEST(HostRunsNothingOlderThanItsCallersSawThroughAPeer);
  CPPUNIT_TEST(PeerNeedsWhatCallersSaw);
  CPPUNIT_TEST(OlderHostTakesNothingOver);
  CPPUNIT_TEST(NewerHostTellsItsVersionFirst);
  CPPUNIT_TEST(OnlyNewerConfigurationsAreNews);
  CPPUNIT_TEST(NoHistoryOfAFleetRunsAnOlderVersion);
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
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, versions.LeastForPeers());
    versions.SetInForce(4);
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, versions.LeastForPeers());
    versions.OnRunByPeer(5);
    CPPUNIT_ASSERT_EQUAL(int64_t{5}, versions.LeastForPeers());
  }

  void OlderHostTakesNothingOver() {
    ConfigVersions versions;
    versions.SetInForce(3);
    CPPUNIT_ASSERT(versions.MayTakeOver(2));
    CPPUNIT_ASSERT(versions.MayTakeOver(3));
    CPPUNIT_ASSERT(!versions.MayTakeOver(4));
    versions.OnRunByPeer(4);
    CPPUNIT_ASSERT(!versions.MayTakeOver(3));
  }

  void NewerHostTellsItsVersionFirst() {
    ConfigVersions versions;
    versions.SetInForce(3);
    CPPUNIT_ASSERT(versions.MustTellFirst(2));
    CPPUNIT_ASSERT(!versions.MustTellFirst(3));
    // It rejects such a request as one that is newer.
    CPPUNIT_ASSERT(!versions.MustTellFirst(4));
  }

  void OnlyNewerConfigurationsAreNews() {
    ConfigVersions versions;
    CPPUNIT_ASSERT(versions.IsNews(1));
    versions.SetInForce(1);
    CPPUNIT_ASSERT(!versions.IsNews(1));
    CPPUNIT_ASSERT(versions.IsNews(2));
  }

  // Guards against versions that come back older for callers (CONFIG, HOME).
  void NoHistoryOfAFleetRunsAnOlderVersion() {
    CPPUNIT_ASSERT(
        rc::check("no request runs by a version that is too old", [] {
          const std::string failure = FleetOfVersions().Play(kEvents);
          if (!failure.empty()) RC_FAIL(failure);
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigVersionsTest);

}  // namespace cherrydyke
