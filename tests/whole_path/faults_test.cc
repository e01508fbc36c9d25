#include <cppunit/extensions/HelperMacros.h>

#include "absl/time/clock.h"
#include "support/whole_path.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

/// Hedges and retries that the default budgets allow for each primary request.
constexpr double kMaxLoadFactor = 1 + 0.04 + 0.1;
/// Tokens that six entries may have saved up, for a short run.
constexpr double kBurstAllowance = 0.15;

}  // namespace

// Promise 11: the faults that the brief names beside.
class FaultsWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultsWholePathTest);
  CPPUNIT_TEST(CrashingRequestCostsAtMostTwoTargets);
  CPPUNIT_TEST(SilentConnectionsAreReplaced);
  CPPUNIT_TEST(OverloadAddsLittleAndLeavesNoTrace);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CrashingRequestCostsAtMostTwoTargets() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    for (const TargetId& target : cluster->targets("desk")) {
      cluster->Fault(target, {{"crash_on", "poison"}});
    }
    for (int round = 0; round < 3; ++round) {
      for (const HostId& host : cluster->hosts()) {
        const JsonAnswer answer =
            cluster->Query(host, "desk", {{"term", "poison"}});
        CPPUNIT_ASSERT_EQUAL(422, answer.status);
        CPPUNIT_ASSERT(answer.body["outcome"] == "unknown");
        CPPUNIT_ASSERT(answer.body["retry_after_ms"].get<int>() > 0);
      }
    }
    int lost = 0;
    for (const TargetId& target : cluster->targets("desk")) {
      if (cluster->target(target).Alive()) continue;
      ++lost;
      cluster->StartTarget(target);
    }
    CPPUNIT_ASSERT(lost >= 1 && lost <= 2);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return IsWhole(
          cluster->Query("sofia-1", "desk", {{"term", "fair"}, {"every", 16}}),
          {"fair", 16});
    }));
  }

  void SilentConnectionsAreReplaced() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    BackgroundLoad load(*cluster, PlanOf("desk", 40, 8));
    absl::SleepFor(absl::Seconds(2));
    for (const TargetId& target : cluster->targets("desk")) {
      cluster->Fault(target, {{"silence_connections", true}});
    }
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstFault(report));
    // Service goes on: the last seconds are whole, whatever the moment cost.
    for (size_t second = 4; second < report.timeline.size(); ++second) {
      CPPUNIT_ASSERT(report.timeline[second].complete > 0);
      CPPUNIT_ASSERT_EQUAL(report.timeline[second].answered,
                           report.timeline[second].complete);
    }
  }

  void OverloadAddsLittleAndLeavesNoTrace() {
    ClusterSpec spec = DeskSpec();
    spec.services[0].service_ms = 20;
    const auto cluster = StartCluster(spec);
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    // Two replicas of four slots at 20 ms give each shard some 380 a second.
    const LoadReport before = Run(*cluster, 50, 4, 1);
    const LoadReport during = Run(*cluster, 1200, 6, 2);
    const LoadReport after = Run(*cluster, 50, 4, 3);
    CPPUNIT_ASSERT(during.load_factor <= kMaxLoadFactor + kBurstAllowance);
    CPPUNIT_ASSERT(during.all.answered > 0);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, during.all.no_response);
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstFault(during));
    CPPUNIT_ASSERT_EQUAL(before.all.requests, before.all.complete);
    CPPUNIT_ASSERT_EQUAL(after.all.requests, after.all.complete);
  }

 private:
  static LoadReport Run(const Cluster& cluster, double rate, double seconds,
                        uint64_t seed) {
    LoadPlan plan = PlanOf("desk", rate, seconds);
    plan.workers = 300;
    plan.seed = seed;
    BackgroundLoad load(cluster, plan);
    return load.Join();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultsWholePathTest);

}  // namespace cherrydyke
