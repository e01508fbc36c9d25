#include <cppunit/extensions/HelperMacros.h>

#include "absl/time/clock.h"
#include "support/whole_path.h"

namespace cherrydyke {
namespace {

constexpr int kConcurrency = 6;
constexpr double kRatePerSecond = 40;

// A service with one shard on one target that has more slots than any limit
// under test, so that its concurrency equals the requests admitted by all entry
// daemons together.
ClusterSpec LimitedSpec() {
  ClusterSpec spec;
  ServiceSpec service;
  service.name = "narrow";
  service.targets = 1;
  service.shards = 1;
  service.replicas = 1;
  service.slots = 32;
  service.cold_concurrency = 32;
  service.cold_successes = 1;
  service.service_ms = 100;
  spec.services = {service};
  EntrySpec narrow;
  narrow.name = "narrow";
  narrow.service = "narrow";
  narrow.concurrency = kConcurrency;
  narrow.canary = "never";
  EntrySpec rated = narrow;
  rated.name = "rated";
  rated.concurrency = 60;
  rated.rate_per_s = kRatePerSecond;
  EntrySpec other = narrow;
  other.name = "other";
  other.owner = "retornos";
  other.concurrency = 60;
  EntrySpec flood = narrow;
  flood.name = "flood";
  flood.concurrency = 600;
  spec.entries = {narrow, rated, other, flood};
  spec.extra_settings = "[routing]\nhedge_ratio = 0\n";
  return spec;
}

int64_t MaxInFlight(Cluster& cluster) {
  return cluster.Get(cluster.TargetHttp("narrow-t0"), "/stats")
      .body.value("max_in_flight", int64_t{0});
}

}  // namespace

// Concurrency and rate limits hold across all entry daemons, also while one is
// killed or frozen, and overload by one owner does not fail requests of another
// (promise 10).
class LimitsWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitsWholePathTest);
  CPPUNIT_TEST(ConcurrencyLimitHoldsAcrossEntries);
  CPPUNIT_TEST(BusyEntryBorrowsIdleLimitUnits);
  CPPUNIT_TEST(RateLimitHoldsAcrossEntries);
  CPPUNIT_TEST(OverloadByOneOwnerDoesNotAffectAnother);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ConcurrencyLimitHoldsAcrossEntries() {
    const auto cluster = StartCluster(LimitedSpec());
    BackgroundLoad load(*cluster, MakeLoadPlan("narrow", 300, 8));
    absl::SleepFor(absl::Seconds(2));
    cluster->entry("sofia-1").Kill();
    cluster->StartEntry("sofia-1");
    cluster->entry("varna-1").Freeze();
    absl::SleepFor(absl::Seconds(3));
    cluster->entry("varna-1").Resume();
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT(report.all.answered > 0);
    CPPUNIT_ASSERT(MaxInFlight(*cluster) <= kConcurrency);
  }

  void BusyEntryBorrowsIdleLimitUnits() {
    const auto cluster = StartCluster(LimitedSpec());
    LoadPlan plan = MakeLoadPlan("narrow", 100, 6);
    plan.entries = {cluster->EntryHttp("sofia-1")};
    const LoadReport report = MakeReport(RunLoad(plan));
    CPPUNIT_ASSERT(MaxInFlight(*cluster) <= kConcurrency);
    // Without borrowing, its share is one of six units: at 100 ms per request
    // that is 10 requests/s.
    CPPUNIT_ASSERT(report.answered_per_s > 20);
  }

  void RateLimitHoldsAcrossEntries() {
    const auto cluster = StartCluster(LimitedSpec());
    constexpr double kSeconds = 8;
    BackgroundLoad load(*cluster, MakeLoadPlan("rated", 200, kSeconds));
    const LoadReport report = load.Join();
    // Each of the six hosts may add a burst of at least one request to the
    // rate.
    CPPUNIT_ASSERT(report.all.answered <=
                   kRatePerSecond * kSeconds + kRatePerSecond / 4 + 12);
    CPPUNIT_ASSERT(report.all.answered >= kRatePerSecond * kSeconds / 2);
    CPPUNIT_ASSERT(report.all.refusals.count("rate_limit") > 0);
  }

  void OverloadByOneOwnerDoesNotAffectAnother() {
    ClusterSpec spec = LimitedSpec();
    spec.services[0].service_ms = 30;
    spec.extra_settings += "[admission]\nmax_concurrent = 8\n";
    const auto cluster = StartCluster(spec);
    BackgroundLoad flood(*cluster, MakeLoadPlan("flood", 600, 6));
    absl::SleepFor(absl::Seconds(1));
    BackgroundLoad quiet(*cluster, MakeLoadPlan("other", 10, 4));
    const LoadReport report = quiet.Join();
    flood.Join();
    CPPUNIT_ASSERT(report.all.requests > 0);
    CPPUNIT_ASSERT_EQUAL(report.all.requests, report.all.complete);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsWholePathTest);

}  // namespace cherrydyke
