#include <cppunit/extensions/HelperMacros.h>

#include "absl/time/clock.h"
#include "support/whole_path.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

/// Sends per primary request that the default budgets allow: the primary,
/// hedges and retries.
constexpr double kMaxLoadFactor = 1 + 0.04 + 0.1;
/// Additional sends per primary request from tokens that the six entry daemons
/// accumulated before a short run.
constexpr double kBurstAllowance = 0.15;

}  // namespace

// Requests that crash targets, connections that stop responding, and overload
// affect only a bounded part of the service, which then recovers (promise 11).
class FaultsWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultsWholePathTest);
  CPPUNIT_TEST(CrashingRequestKillsAtMostTwoTargets);
  CPPUNIT_TEST(UnresponsiveConnectionsAreReplaced);
  CPPUNIT_TEST(OverloadBoundsExtraSendsAndRecovers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CrashingRequestKillsAtMostTwoTargets() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    for (const TargetId& target : cluster->targets("desk")) {
      cluster->InjectFault(target, {{"crash_on", "poison"}});
    }
    for (int round = 0; round < 3; ++round) {
      for (const HostId& host : cluster->hosts()) {
        const HttpJsonResponse answer =
            cluster->Query(host, "desk", {{"term", "poison"}});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body.dump(), 422, answer.status);
        CPPUNIT_ASSERT(answer.body["outcome"] == "unknown");
        CPPUNIT_ASSERT(answer.body["retry_after_ms"].get<int>() > 0);
      }
    }
    int crashed = 0;
    for (const TargetId& target : cluster->targets("desk")) {
      if (cluster->target(target).IsRunning()) continue;
      ++crashed;
      cluster->StartTarget(target);
    }
    CPPUNIT_ASSERT(crashed >= 1 && crashed <= 2);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return IsCompleteAndCorrect(
          cluster->Query("sofia-1", "desk", {{"term", "fair"}, {"every", 16}}),
          {"fair", 16});
    }));
  }

  void UnresponsiveConnectionsAreReplaced() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    BackgroundLoad load(*cluster, MakeLoadPlan("desk", 40, 8));
    absl::SleepFor(absl::Seconds(2));
    for (const TargetId& target : cluster->targets("desk")) {
      cluster->InjectFault(target, {{"silence_connections", true}});
    }
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(report));
    // The fault is injected after 2 s; from second 4 on every response is
    // complete again.
    for (size_t second = 4; second < report.timeline.size(); ++second) {
      CPPUNIT_ASSERT(report.timeline[second].complete > 0);
      CPPUNIT_ASSERT_EQUAL(report.timeline[second].answered,
                           report.timeline[second].complete);
    }
  }

  void OverloadBoundsExtraSendsAndRecovers() {
    ClusterSpec spec = DeskSpec();
    spec.services[0].service_ms = 20;
    const auto cluster = StartCluster(spec);
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    // Two replicas with four slots each at 20 ms per request limit each shard
    // to about 380 requests/s.
    const LoadReport before = Run(*cluster, 50, 4, 1);
    const LoadReport during = Run(*cluster, 1200, 6, 2);
    const LoadReport after = Run(*cluster, 50, 4, 3);
    CPPUNIT_ASSERT(during.load_factor <= kMaxLoadFactor + kBurstAllowance);
    CPPUNIT_ASSERT(during.all.answered > 0);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, during.all.no_response);
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(during));
    CPPUNIT_ASSERT_EQUAL(before.all.requests, before.all.complete);
    CPPUNIT_ASSERT_EQUAL(after.all.requests, after.all.complete);
  }

 private:
  static LoadReport Run(const Cluster& cluster, double rate, double seconds,
                        uint64_t seed) {
    LoadPlan plan = MakeLoadPlan("desk", rate, seconds);
    plan.workers = 300;
    plan.seed = seed;
    BackgroundLoad load(cluster, plan);
    return load.Join();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultsWholePathTest);

}  // namespace cherrydyke
