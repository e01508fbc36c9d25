#include "tier/target_set.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "support/raw_peers.h"

namespace cherrydyke {
namespace {

constexpr int kServiceCount = 30;
constexpr int kMaxConnections = 195;
const std::map<FailureDomainName, RegionName> kRegions = {
    {"a1", "a"}, {"a2", "a"}, {"b1", "b"},
    {"b2", "b"}, {"c1", "c"}, {"c2", "c"}};
/// Number of hosts in each failure domain. Each region has its targets in its
/// first failure domain.
const std::map<FailureDomainName, int> kHostCounts = {
    {"a1", 45}, {"a2", 53}, {"b1", 46}, {"b2", 46}, {"c1", 55}, {"c2", 50}};
const std::vector<FailureDomainName> kTargetDomains = {"a1", "b1", "c1"};

std::vector<KnownHost> AllHosts() {
  std::vector<KnownHost> hosts;
  for (const auto& [domain, count] : kHostCounts) {
    for (int i = 0; i < count; ++i) {
      hosts.push_back({absl::StrCat(domain, "-", i), domain});
    }
  }
  return hosts;
}

ServiceName ServiceOf(int number) { return absl::StrCat("s", number); }

TargetId TargetOf(int service, const FailureDomainName& domain) {
  return absl::StrCat(ServiceOf(service), "-", domain);
}

std::vector<TargetInfo> TargetsIn(
    const std::vector<FailureDomainName>& domains) {
  std::vector<TargetInfo> targets;
  for (int service = 0; service < kServiceCount; ++service) {
    for (const FailureDomainName& domain : domains) {
      TargetInfo info;
      info.id = TargetOf(service, domain);
      info.service = ServiceOf(service);
      info.endpoint = "127.0.0.1:1";
      info.failure_domain = domain;
      info.slots = 7;
      targets.push_back(info);
    }
  }
  return targets;
}

TargetConfig Orders(std::set<FailureDomainName> evacuated) {
  TargetConfig orders;
  orders.evacuated = std::move(evacuated);
  for (int service = 0; service < kServiceCount; ++service) {
    ServiceSpec spec;
    spec.name = ServiceOf(service);
    spec.max_connections = kMaxConnections;
    orders.services[spec.name] = spec;
  }
  return orders;
}

FleetLimits Bounds() {
  FleetLimits bounds;
  bounds.retry_slack = 10'000;
  return bounds;
}

/// A host that knows its whole fleet and three targets of each service.
class Host {
 public:
  Host(ManualClock& clock, const KnownHost& self)
      : clock_(clock),
        table_(self, {}, HostTable::Options(), clock.Now()),
        set_(loop_, {self.host, self.failure_domain, kRegions}, Bounds(), {},
             table_, Policy()) {
    for (const KnownHost& other : AllHosts()) {
      if (other.host == self.host) continue;
      table_.OnMembershipUpdate({other, 1, DisseminationRole::kFollower, {}},
                                clock.Now());
    }
    clock_.Advance(absl::Seconds(15));
    set_.SetConfig(Orders({}));
    set_.OnHostsChanged();
    set_.SetTargets(TargetsIn(kTargetDomains), absl::ZeroDuration());
  }

  TargetSet& set() { return set_; }

  /// @return the target chosen for the first send of a request, if any.
  std::optional<TargetId> Select(int service) {
    SelectionCriteria criteria;
    criteria.service = ServiceOf(service);
    const auto selected = set_.Select(criteria, clock_.Now());
    if (!selected) return std::nullopt;
    set_.ReleaseSelection(selected->target);
    return selected->target;
  }

  int CountSelected() {
    int selected = 0;
    for (int service = 0; service < kServiceCount; ++service) {
      if (Select(service)) ++selected;
    }
    return selected;
  }

  void MakeUnresponsive(const FailureDomainName& domain) {
    for (int trial = 0; trial < 3; ++trial) {
      for (int service = 0; service < kServiceCount; ++service) {
        set_.OnOverdue(TargetOf(service, domain), clock_.Now());
      }
      clock_.Advance(absl::Milliseconds(350));
    }
    for (int service = 0; service < kServiceCount; ++service) {
      set_.OnOverdue(TargetOf(service, domain), clock_.Now());
    }
  }

 private:
  ManualClock& clock_;
  engine::EventLoop loop_{clock_};
  HostTable table_;
  TargetSet set_;
};

}  // namespace

class TargetSetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetSetTest);
  CPPUNIT_TEST(RegionWithoutTargetsIsServedByOtherRegions);
  CPPUNIT_TEST(RegionWithUnresponsiveTargetsIsServedByOtherRegions);
  CPPUNIT_TEST(RegionOfAnEvacuatedDomainIsServedByOtherRegions);
  CPPUNIT_TEST(ConnectionsOfFailedOverHostsFitOtherTargets);
  CPPUNIT_TEST(NothingIsBorrowedWhileOwnTargetResponds);
  CPPUNIT_TEST(HedgeWithoutASecondShareIsPlaced);
  CPPUNIT_TEST(UnusedBorrowedConnectionIsReturned);
  CPPUNIT_TEST(TargetsLostTogetherAreNotReportedAsFailing);
  CPPUNIT_TEST(TargetThatMovesCountsInItsNewRegion);
  CPPUNIT_TEST(EntryOfAnEarlierProcessIsNotUsed);
  CPPUNIT_TEST(QueuedRequestIsNotSentToTargetThatMoved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RegionWithoutTargetsIsServedByOtherRegions() {
    CheckFailover([](Host& host) {
      host.set().SetTargets(TargetsIn({"b1", "c1"}), absl::ZeroDuration());
    });
  }

  void RegionWithUnresponsiveTargetsIsServedByOtherRegions() {
    CheckFailover([](Host& host) { host.MakeUnresponsive("a1"); });
  }

  void RegionOfAnEvacuatedDomainIsServedByOtherRegions() {
    CheckFailover([](Host& host) { host.set().SetConfig(Orders({"a1"})); });
  }

  void ConnectionsOfFailedOverHostsFitOtherTargets() {
    std::map<TargetId, int> hosts;
    for (const KnownHost& self : AllHosts()) {
      Host host(clock_, self);
      host.MakeUnresponsive("a1");
      for (int service = 0; service < kServiceCount; ++service) {
        const std::optional<TargetId> target = host.Select(service);
        CPPUNIT_ASSERT(target.has_value());
        ++hosts[*target];
      }
    }
    for (const auto& [target, count] : hosts) {
      CPPUNIT_ASSERT_MESSAGE(target, count <= kMaxConnections);
    }
  }

  void NothingIsBorrowedWhileOwnTargetResponds() {
    Host host(clock_, {"a2-1", "a2"});
    CPPUNIT_ASSERT_EQUAL(kServiceCount, host.CountSelected());
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, host.set().counts().borrowed);
  }

  void HedgeWithoutASecondShareIsPlaced() {
    Host host(clock_, {"a2-1", "a2"});
    for (int service = 0; service < kServiceCount; ++service) {
      const std::vector<TargetId> tried = {TargetOf(service, "a1")};
      SelectionCriteria criteria;
      criteria.service = ServiceOf(service);
      criteria.exclude = &tried;
      criteria.retry_priority = RetryPriority::kRequired;
      CPPUNIT_ASSERT(host.set().Select(criteria, clock_.Now()).has_value());
    }
  }

  void UnusedBorrowedConnectionIsReturned() {
    Host host(clock_, {"a2-1", "a2"});
    const auto lose_targets = [&] {
      host.set().SetTargets(TargetsIn({"b1", "c1"}), absl::ZeroDuration());
      CPPUNIT_ASSERT_EQUAL(kServiceCount, host.CountSelected());
    };
    lose_targets();
    const int64_t first = host.set().counts().borrowed;
    CPPUNIT_ASSERT(first > 0);
    // A connection that is already borrowed is used again.
    CPPUNIT_ASSERT_EQUAL(kServiceCount, host.CountSelected());
    CPPUNIT_ASSERT_EQUAL(first, host.set().counts().borrowed);
    host.set().SetTargets(TargetsIn(kTargetDomains), absl::ZeroDuration());
    clock_.Advance(absl::Seconds(11));
    host.set().Prewarm({});
    lose_targets();
    CPPUNIT_ASSERT_EQUAL(2 * first, host.set().counts().borrowed);
  }

  void TargetsLostTogetherAreNotReportedAsFailing() {
    constexpr size_t kLimit = 100;
    Host host(clock_, {"a2-1", "a2"});
    const auto lose = [&](int services) {
      for (int service = 0; service < services; ++service) {
        SelectionCriteria criteria;
        criteria.service = ServiceOf(service);
        const auto sent = host.set().Select(criteria, clock_.Now());
        CPPUNIT_ASSERT(sent.has_value());
        host.set().OnEnded(sent->target, TargetOutcome::kLost,
                           absl::Milliseconds(5), absl::Milliseconds(100));
      }
    };
    lose(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         host.set().TakeHealthReports(kLimit).size());
    lose(kServiceCount);
    CPPUNIT_ASSERT(host.set().TakeHealthReports(kLimit).empty());
  }

  // Guards against the region, distance and share of a failure domain that a
  // target has left (HOME).
  void TargetThatMovesCountsInItsNewRegion() {
    Host host(clock_, {"a1-1", "a1"});
    std::vector<TargetInfo> targets = TargetsIn(kTargetDomains);
    for (TargetInfo& target : targets) target.start_time_ms = 1;
    host.set().SetTargets(targets, absl::ZeroDuration());
    CPPUNIT_ASSERT(host.Select(0).has_value());
    for (TargetInfo& target : targets) {
      if (target.failure_domain == "a1") target.failure_domain = "b2";
      ++target.sequence;
    }
    host.set().SetTargets(targets, absl::ZeroDuration());
    const auto remote = [&] {
      return host.set()
          .counts()
          .by_distance[static_cast<size_t>(Distance::kOtherRegion)];
    };
    const int64_t before = remote();
    CPPUNIT_ASSERT(host.Select(0).has_value());
    CPPUNIT_ASSERT_EQUAL(before + 1, remote());
    CPPUNIT_ASSERT_EQUAL(RegionName("b"), host.set().RegionOf(targets[0].id));
    Route route;
    route.host = "h";
    route.prefix = "/";
    route.allowed_regions = {"a"};
    const auto routes = std::make_shared<const RouteTable>(
        1, std::vector<Route>{route}, std::vector<ServiceSpec>());
    const RegionLimits only_a(routes, route, "h", "/");
    SelectionCriteria criteria;
    criteria.service = ServiceOf(0);
    criteria.regions = &only_a;
    CPPUNIT_ASSERT(!host.set().Select(criteria, clock_.Now()));
    // An entry from before the move that arrives late.
    for (TargetInfo& target : targets) {
      if (target.failure_domain == "b2") target.failure_domain = "a1";
      --target.sequence;
    }
    host.set().SetTargets(targets, absl::ZeroDuration());
    CPPUNIT_ASSERT(!host.set().Select(criteria, clock_.Now()));
  }

  // A restored store may still have the entry of the process before (HOME).
  void EntryOfAnEarlierProcessIsNotUsed() {
    Host host(clock_, {"a1-1", "a1"});
    TargetInfo earlier = TargetsIn({"a1"}).front();
    earlier.start_time_ms = 1000;
    earlier.sequence = 5;
    TargetInfo later = earlier;
    later.start_time_ms = 2000;
    later.sequence = 1;
    later.failure_domain = "b1";
    host.set().SetTargets({earlier}, absl::ZeroDuration());
    host.set().SetTargets({later}, absl::ZeroDuration());
    CPPUNIT_ASSERT_EQUAL(RegionName("b"), host.set().RegionOf(later.id));
    host.set().SetTargets({earlier}, absl::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(RegionName("b"), host.set().RegionOf(later.id));
    // Its clock may have been set back between two starts.
    host.set().SetTargets({earlier}, absl::ZeroDuration());
    CPPUNIT_ASSERT_EQUAL(RegionName("a"), host.set().RegionOf(later.id));
  }

  // Guards against a body that waited for a connection and is written to a
  // target of a region for which it was not chosen (HOME).
  void QueuedRequestIsNotSentToTargetThatMoved() {
    const BootClock clock;
    engine::EventLoop loop(clock);
    const HostTable table({"h", "a1"}, {}, HostTable::Options(), loop.Now());
    TargetSet set(loop, {"h", "a1", kRegions}, Bounds(), {}, table, Policy());
    TargetConfig config = Orders({});
    // One connection for the only host.
    config.services[ServiceOf(0)].max_connections = 2;
    set.SetConfig(config);
    int arrivals = 0;
    RawConnection* connection = nullptr;
    RawServer server(loop, [&](RawConnection& c, const std::string&) {
      ++arrivals;
      connection = &c;
    });
    TargetInfo info = TargetsIn({"a1"}).front();
    info.endpoint = server.endpoint();
    info.start_time_ms = 1;
    set.SetTargets({info}, absl::ZeroDuration());
    const absl::Time sent_at = loop.Now();
    std::vector<engine::ExchangeStatus> ends;
    for (int i = 0; i < 2; ++i) {
      engine::PoolRequest request;
      request.exchange.write = [] {
        return "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
      };
      request.exchange.done = [&](const engine::ExchangeResult& result) {
        ends.push_back(result.status);
      };
      set.Send(info.id, std::move(request));
    }
    CPPUNIT_ASSERT(RunUntil(loop, [&] { return arrivals == 1; }));
    CPPUNIT_ASSERT(set.IsCurrentInstance(info.id, sent_at));
    info.failure_domain = "b1";
    set.SetTargets({info}, absl::ZeroDuration());
    CPPUNIT_ASSERT(!set.IsCurrentInstance(info.id, sent_at));
    RunFor(loop, absl::Milliseconds(20));
    connection->Write(OkResponse("a"));
    CPPUNIT_ASSERT(RunUntil(loop, [&] { return ends.size() == 2; }));
    // The one under way may end; the other one was never sent.
    CPPUNIT_ASSERT(ends[0] == engine::ExchangeStatus::kNotSent);
    CPPUNIT_ASSERT(ends[1] == engine::ExchangeStatus::kComplete);
    CPPUNIT_ASSERT_EQUAL(1, arrivals);
  }

 private:
  /// Checks that hosts of region `a` select targets for all services before and
  /// after the region's targets have become unusable.
  /// @param lose_targets makes them unusable for one host.
  void CheckFailover(const std::function<void(Host&)>& lose_targets) {
    for (const KnownHost& self : AllHosts()) {
      if (kRegions.at(self.failure_domain) != "a") continue;
      if (self.host.back() != '7') continue;
      Host host(clock_, self);
      CPPUNIT_ASSERT_EQUAL(kServiceCount, host.CountSelected());
      lose_targets(host);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(self.host, kServiceCount,
                                   host.CountSelected());
    }
  }

  ManualClock clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSetTest);

}  // namespace cherrydyke
