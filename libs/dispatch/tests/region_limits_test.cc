#include "dispatch/region_limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dispatch/config_versions.h"
#include "dispatch/handover_choice.h"
#include "dispatch/request_run.h"
#include "rapidcheck.h"

namespace cherrydyke {
namespace {

using RoutesPtr = std::shared_ptr<const RouteTable>;

constexpr int kEvents = 300;
constexpr size_t kTargetsPerRegion = 2;
constexpr int kMaxTries = 2;
const std::array<RegionName, 3> kRegions = {"east", "west", "north"};
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

RoutesPtr Routes(int64_t version,
                 const std::optional<std::vector<RegionName>>& allowed) {
  std::vector<Route> routes;
  if (allowed) {
    Route route;
    route.host = "h";
    route.prefix = "/p/";
    route.allowed_regions = *allowed;
    routes.push_back(std::move(route));
  }
  return std::make_shared<const RouteTable>(version, std::move(routes),
                                            std::vector<ServiceSpec>());
}

size_t Pick(size_t below) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(0, below));
}

/// Hosts, one in each region, that get versions at different times, send
/// requests to targets and hand them to each other. The decisions are those of
/// `RequestRun`, `RegionLimits`, `ConfigVersions` and `ChooseHandoverPeer`.
class FleetOfRegions {
 public:
  FleetOfRegions() {
    published_.push_back(Routes(1, std::vector<RegionName>()));
    for (size_t at = 0; at < kRegions.size(); ++at) Adopt(at, 0);
  }

  /// @return what broke the rule, or nothing.
  std::string Play() {
    for (int event = 0; event < kEvents && failure_.empty(); ++event) Step();
    return failure_;
  }

 private:
  struct Host {
    RoutesPtr routes;
    ConfigVersions versions;
    bool reaches_targets = true;
  };

  struct Request {
    size_t host = 0;
    RegionLimits limits;
    /// What the route allowed at the start.
    std::vector<RegionName> at_start;
    std::unique_ptr<TargetSelector> selector;
    std::unique_ptr<RequestRun> run;
    /// Region of each attempt that waits for its connection.
    std::vector<std::pair<size_t, RegionName>> unwritten;
    std::vector<size_t> written;
  };

  /// A request for which a peer was chosen, or that waits for one.
  struct Handover {
    size_t from = 0;
    std::optional<size_t> to;
    RegionLimits limits;
    std::vector<RegionName> at_start;
    int64_t least = 0;
    bool is_written = false;
    int tries = 0;
  };

  /// Two targets in each region, all of which can take a request.
  class Selector : public TargetSelector {
   public:
    std::optional<SelectedTarget> Select(const SelectionCriteria& criteria,
                                         absl::Time /*now*/) override {
      std::vector<TargetId> eligible;
      for (const RegionName& region : kRegions) {
        if (!criteria.regions->Allows(region)) continue;
        for (size_t index = 0; index < kTargetsPerRegion; ++index) {
          TargetId id = absl::StrCat(region, "/", index);
          if (std::count(criteria.exclude->begin(), criteria.exclude->end(),
                         id) == 0) {
            eligible.push_back(std::move(id));
          }
        }
      }
      if (eligible.empty()) return std::nullopt;
      return SelectedTarget{eligible[Pick(eligible.size())],
                            absl::Milliseconds(10), absl::Milliseconds(5),
                            absl::Milliseconds(5)};
    }
  };

  void Step() {
    now_ += absl::Milliseconds(Pick(20));
    const size_t at = Pick(kRegions.size());
    switch (Pick(12)) {
      case 0:
      case 1:
        Publish();
        break;
      case 2:
      case 3:
        AdoptAny(at);
        break;
      case 4:
        hosts_[at].reaches_targets = !hosts_[at].reaches_targets;
        break;
      case 5:
      case 6:
        if (requests_.size() + handovers_.size() < 8) Call(at);
        break;
      case 7:
        if (!requests_.empty())
          WriteAttempt(*requests_[Pick(requests_.size())]);
        break;
      case 8:
        if (!requests_.empty()) EndAttempt(*requests_[Pick(requests_.size())]);
        break;
      case 9:
        if (!requests_.empty()) {
          Request& request = *requests_[Pick(requests_.size())];
          Perform(request, request.run->OnTimer(now_));
        }
        break;
      default:
        if (!handovers_.empty()) Advance(Pick(handovers_.size()));
        break;
    }
    requests_.erase(
        std::remove_if(requests_.begin(), requests_.end(),
                       [](const auto& entry) { return entry->run->done(); }),
        requests_.end());
  }

  void Publish() {
    const auto version = static_cast<int64_t>(published_.size() + 1);
    if (Pick(5) == 0) return published_.push_back(Routes(version, {}));
    std::vector<RegionName> allowed;
    for (const RegionName& region : kRegions) {
      if (Pick(2) == 0) allowed.push_back(region);
    }
    published_.push_back(Routes(version, std::move(allowed)));
  }

  void AdoptAny(size_t at) {
    const auto current = static_cast<size_t>(hosts_[at].versions.in_force());
    if (current < published_.size()) {
      Adopt(at, current + Pick(published_.size() - current));
    }
  }

  void Adopt(size_t at, size_t index) {
    hosts_[at].routes = published_[index];
    hosts_[at].versions.SetInForce(published_[index]->version());
  }

  void Call(size_t at) {
    const Host& host = hosts_[at];
    const Route* const route = host.routes->Find("h", "/p/x");
    if (route == nullptr) return;
    const RegionLimits limits(host.routes, *route, "h", "/p/x");
    if (host.reaches_targets && host.versions.MayRunOwn()) {
      return Start(at, *route, limits);
    }
    Handover handover;
    handover.from = at;
    handover.limits = limits;
    handover.at_start = route->allowed_regions;
    ChoosePeer(handover);
    handovers_.push_back(std::move(handover));
  }

  void Start(size_t at, const Route& route, const RegionLimits& limits) {
    auto request = std::make_unique<Request>();
    request->host = at;
    request->limits = limits;
    request->at_start = route.allowed_regions;
    request->selector = std::make_unique<Selector>();
    RequestPlan plan;
    plan.services = {"s"};
    plan.idempotent = true;
    plan.max_attempts = 3;
    plan.answer_at = now_;
    plan.deadline = now_ + absl::Seconds(2);
    plan.regions = limits;
    request->run =
        std::make_unique<RequestRun>(std::move(plan), *request->selector);
    const RunActions actions = request->run->Start(now_);
    Perform(*request, actions);
    requests_.push_back(std::move(request));
  }

  void Perform(Request& request, const RunActions& actions) {
    for (const AttemptSend& send : actions.send) {
      const RegionName region = send.target.substr(0, send.target.find('/'));
      Check("target chosen", request.host, region, request.at_start);
      CheckStart(request, region);
      request.unwritten.emplace_back(send.attempt, region);
    }
    if (actions.outcome == RequestOutcome::kNotRun ||
        actions.outcome == RequestOutcome::kFailed) {
      Handover handover;
      handover.from = request.host;
      handover.limits = request.limits;
      handover.at_start = request.at_start;
      ChoosePeer(handover);
      handovers_.push_back(std::move(handover));
    }
  }

  void WriteAttempt(Request& request) {
    if (request.unwritten.empty()) return;
    const auto [attempt, region] = request.unwritten.back();
    request.unwritten.pop_back();
    if (!request.limits.Allows(region)) {
      return Perform(request, request.run->OnEnded(
                                  attempt, AttemptResult::kNotSent, now_));
    }
    Check("body written to a target", request.host, region, request.at_start);
    CheckStart(request, region);
    request.written.push_back(attempt);
  }

  void EndAttempt(Request& request) {
    if (request.written.empty()) return;
    const size_t attempt = request.written.back();
    request.written.pop_back();
    constexpr std::array<AttemptResult, 4> kResults = {
        AttemptResult::kSuccess, AttemptResult::kNotRun,
        AttemptResult::kFailure, AttemptResult::kUnknown};
    Perform(request, request.run->OnEnded(
                         attempt, kResults[Pick(kResults.size())], now_));
  }

  void ChoosePeer(Handover& handover) {
    const Host& host = hosts_[handover.from];
    HandoverCriteria criteria;
    criteria.config_version = host.versions.LeastForPeers();
    criteria.allowed_regions = handover.limits.InForce();
    std::vector<HandoverCandidate> candidates;
    for (size_t at = 0; at < hosts_.size(); ++at) {
      HandoverCandidate candidate;
      candidate.region = kRegions[at];
      // It may have an older version than it has offered, or a newer one.
      candidate.offer = {at != handover.from && Pick(4) != 0,
                         hosts_[at].versions.in_force(),
                         {},
                         0};
      candidate.offered_at = now_;
      candidates.push_back(std::move(candidate));
    }
    handover.to = ChooseHandoverPeer(candidates, criteria, now_, random_);
    handover.is_written = false;
    if (!handover.to) return;
    ++handover.tries;
    Check("peer chosen", handover.from, kRegions[*handover.to],
          handover.at_start);
  }

  // Chooses a peer, writes the body, or lets the peer take the request.
  void Advance(size_t index) {
    Handover& handover = handovers_[index];
    if (!handover.to) {
      // Waiting requests are handled anew.
      const size_t from = handover.from;
      handovers_.erase(handovers_.begin() + static_cast<ptrdiff_t>(index));
      return Call(from);
    }
    if (!handover.is_written) {
      handover.least = hosts_[handover.from].versions.LeastForPeers();
      if (!MayReceive(kRegions[*handover.to], handover.limits.InForce())) {
        --handover.tries;
        return ChoosePeer(handover);
      }
      Check("body written to a peer", handover.from, kRegions[*handover.to],
            handover.at_start);
      handover.is_written = true;
      return;
    }
    const size_t to = *handover.to;
    const Host& peer = hosts_[to];
    if (!peer.versions.MayTakeOver(handover.least) &&
        handover.tries < kMaxTries) {
      return ChoosePeer(handover);
    }
    const bool takes = peer.versions.MayTakeOver(handover.least);
    if (takes && peer.versions.MustTellFirst(handover.least)) {
      hosts_[handover.from].versions.OnRunByPeer(peer.versions.in_force());
      --handover.tries;
      return ChoosePeer(handover);
    }
    const size_t from = handover.from;
    handovers_.erase(handovers_.begin() + static_cast<ptrdiff_t>(index));
    if (!takes) return;
    const Route* const route = peer.routes->Find("h", "/p/x");
    if (route == nullptr) return;
    Start(to, *route, RegionLimits(peer.routes, *route, "h", "/p/x"));
    hosts_[from].versions.OnRunByPeer(peer.versions.in_force());
  }

  // Written without the code under test: what the newest version known to a
  // host excludes gets nothing; without a route there, the start decides.
  void Check(const std::string& what, size_t host, const RegionName& region,
             const std::vector<RegionName>& at_start) {
    std::vector<RegionName> allowed = at_start;
    for (const Route& route : hosts_[host].routes->routes()) {
      allowed = route.allowed_regions;
    }
    if (Excludes(allowed, region)) {
      failure_ = absl::StrCat(what, " in ", region, " by host ", host,
                              ", excluded by version ",
                              hosts_[host].versions.in_force());
    }
  }

  void CheckStart(const Request& request, const RegionName& region) {
    if (Excludes(request.at_start, region)) {
      failure_ = absl::StrCat("target in ", region, " excluded by the start");
    }
  }

  static bool Excludes(const std::vector<RegionName>& allowed,
                       const RegionName& region) {
    return !allowed.empty() &&
           std::count(allowed.begin(), allowed.end(), region) == 0;
  }

  absl::Time now_ = kStart;
  std::mt19937_64 random_{1};
  std::vector<RoutesPtr> published_;
  std::array<Host, kRegions.size()> hosts_;
  std::vector<std::unique_ptr<Request>> requests_;
  std::vector<Handover> handovers_;
  std::string failure_;
};

}  // namespace

class RegionLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionLimitsTest);
  CPPUNIT_TEST(NewerExclusionsBindAtOnce);
  CPPUNIT_TEST(RegionsAddedLaterAreNotUsed);
  CPPUNIT_TEST(ListsWithoutACommonRegionAllowNone);
  CPPUNIT_TEST(RemovedRouteLeavesTheRegionsOfTheStart);
  CPPUNIT_TEST(NoHistorySendsToAnExcludedRegion);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against retries and hedges by the regions of the start (HOME).
  void NewerExclusionsBindAtOnce() {
    const RegionLimits limits = StartWith({"east", "west"});
    CPPUNIT_ASSERT(limits.Allows("east") && limits.Allows("west"));
    CPPUNIT_ASSERT(!limits.Allows("north"));
    in_force_ = Routes(2, std::vector<RegionName>{"west"});
    CPPUNIT_ASSERT(!limits.Allows("east"));
    CPPUNIT_ASSERT(limits.Allows("west"));
    CPPUNIT_ASSERT(limits.InForce() == std::vector<RegionName>{"west"});
  }

  void RegionsAddedLaterAreNotUsed() {
    const RegionLimits limits = StartWith({"east"});
    in_force_ = Routes(2, std::vector<RegionName>());
    CPPUNIT_ASSERT(limits.Allows("east"));
    CPPUNIT_ASSERT(!limits.Allows("west"));
    CPPUNIT_ASSERT(limits.InForce().empty());
  }

  // Guards against an empty common list that stands for all regions.
  void ListsWithoutACommonRegionAllowNone() {
    const RegionLimits limits = StartWith({"east"});
    in_force_ = Routes(2, std::vector<RegionName>{"west"});
    for (const RegionName& region : kRegions) {
      CPPUNIT_ASSERT(!limits.Allows(region));
    }
  }

  void RemovedRouteLeavesTheRegionsOfTheStart() {
    const RegionLimits limits = StartWith({"east"});
    in_force_ = Routes(2, {});
    CPPUNIT_ASSERT(limits.Allows("east"));
    CPPUNIT_ASSERT(!limits.Allows("west"));
    in_force_ = Routes(3, std::vector<RegionName>{"west"});
    CPPUNIT_ASSERT(!limits.Allows("east"));
  }

  // Guards against sends and bodies in regions that the newest configuration on
  // the acting host excludes (HOME).
  void NoHistorySendsToAnExcludedRegion() {
    CPPUNIT_ASSERT(rc::check("no excluded region receives anything", [] {
      const std::string failure = FleetOfRegions().Play();
      if (!failure.empty()) RC_FAIL(failure);
    }));
  }

 private:
  RegionLimits StartWith(std::vector<RegionName> regions) {
    in_force_ = Routes(1, std::move(regions));
    return {in_force_, *in_force_->Find("h", "/p/x"), "h", "/p/x"};
  }

  RoutesPtr in_force_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionLimitsTest);

}  // namespace cherrydyke
