#include <cppunit/extensions/HelperMacros.h>

#include "absl/time/clock.h"
#include "support/whole_path.h"

namespace cherrydyke {

// Stopping daemons with SIGTERM under load drains them: no request in flight is
// aborted and each process exits with 0 (promise 8).
class ShutdownWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShutdownWholePathTest);
  CPPUNIT_TEST(RollingRestartDropsNoRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RollingRestartDropsNoRequests() {
    ClusterSpec spec = DeskSpec();
    spec.hosts_per_domain = 1;
    spec.drain_lag_s = 2;
    const auto cluster = StartCluster(spec);
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    LoadPlan plan = MakeLoadPlan("desk", 50, 45);
    plan.balancer_lag = absl::Seconds(1);
    BackgroundLoad load(*cluster, plan);
    for (const HostId& host : cluster->hosts()) {
      CPPUNIT_ASSERT_EQUAL(0, cluster->entry(host).Stop().value_or(-1));
      cluster->StartEntry(host);
      CPPUNIT_ASSERT(WaitUntil([&] {
        return cluster->Get(cluster->EntryHttp(host), "/readyz").status == 200;
      }));
      CPPUNIT_ASSERT_EQUAL(0, cluster->gate(host).Stop().value_or(-1));
      cluster->StartGate(host);
      CPPUNIT_ASSERT(
          WaitUntil([&] { return HoldsLiveTargets(*cluster, host); }));
    }
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(report));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, report.all.no_response);
    CPPUNIT_ASSERT_EQUAL(report.all.requests, report.all.answered);
    for (const HostId& host : cluster->hosts()) {
      CPPUNIT_ASSERT_EQUAL(0, cluster->entry(host).Stop().value_or(-1));
      CPPUNIT_ASSERT_EQUAL(0, cluster->gate(host).Stop().value_or(-1));
    }
  }

 private:
  static bool HoldsLiveTargets(Cluster& cluster, const HostId& host) {
    const HttpJsonResponse status =
        cluster.Get(cluster.GateHttp(host), "/v1/status");
    if (status.status != 200) return false;
    for (const auto& target : status.body["targets"]) {
      if (target["state"] == "gone") return false;
    }
    return !status.body["targets"].empty();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownWholePathTest);

}  // namespace cherrydyke
