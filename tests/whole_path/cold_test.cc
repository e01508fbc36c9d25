#include <cppunit/extensions/HelperMacros.h>

#include "absl/time/clock.h"
#include "support/whole_path.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr int kSlots = 4;

ClusterSpec ColdSpec() {
  ClusterSpec spec = DeskSpec();
  spec.domains = {"Sofia", "Plovdiv"};
  spec.hosts_per_domain = 3;
  spec.services[0].slots = kSlots;
  spec.services[0].cold_successes = 30;
  spec.services[0].service_ms = 5;
  return spec;
}

}  // namespace

// Promise 3: a cold target gets no more than it bears, from all gates together.
class ColdWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdWholePathTest);
  CPPUNIT_TEST(GatesCrashFreezeAndRestart);
  CPPUNIT_TEST(HostListChangesDuringGatePartition);
  CPPUNIT_TEST(TargetsRestartAndTurnColdUnannounced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GatesCrashFreezeAndRestart() {
    const auto cluster = StartCluster(ColdSpec());
    BackgroundLoad load(*cluster, MakeLoadPlan("desk", 60, 18));
    absl::SleepFor(absl::Seconds(2));
    cluster->gate("sofia-1").Kill();
    cluster->gate("plovdiv-1").Freeze();
    absl::SleepFor(absl::Seconds(1));
    cluster->StartGate("sofia-1");
    absl::SleepFor(absl::Seconds(4));
    cluster->gate("plovdiv-1").Resume();
    cluster->gate("sofia-2").Kill();
    cluster->StartGate("sofia-2");
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(report));
    ExpectNoLimitExceeded(*cluster);
    ExpectAllTargetsWarmUp(*cluster);
  }

  void HostListChangesDuringGatePartition() {
    const auto cluster = StartCluster(ColdSpec());
    BackgroundLoad load(*cluster, MakeLoadPlan("desk", 60, 18));
    absl::SleepFor(absl::Seconds(1));
    // One gate is cut off from its fellows and the platform, then the list
    // drops it: others take its targets while it still believes in its list.
    cluster->Partition({"sofia-1"}, {"sofia-2", "sofia-3", "plovdiv-1",
                                     "plovdiv-2", "plovdiv-3"});
    const json record = cluster->host_records().at("sofia-1");
    cluster->host_records().erase("sofia-1");
    cluster->PublishHosts();
    absl::SleepFor(absl::Seconds(6));
    cluster->host_records()["sofia-1"] = record;
    cluster->PublishHosts();
    cluster->Partition({}, {});
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(report));
    ExpectNoLimitExceeded(*cluster);
    ExpectAllTargetsWarmUp(*cluster);
  }

  void TargetsRestartAndTurnColdUnannounced() {
    const auto cluster = StartCluster(ColdSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    BackgroundLoad load(*cluster, MakeLoadPlan("desk", 100, 8));
    absl::SleepFor(absl::Seconds(1));
    const std::vector<TargetId> targets = cluster->targets("desk");
    cluster->target(targets[0]).Kill();
    cluster->StartTarget(targets[0]);
    absl::SleepFor(absl::Seconds(2));
    cluster->InjectFault(targets[1], {{"cold", true}});
    cluster->InjectFault(targets[2],
                         {{"cold", true}, {"health_lie", "serving"}});
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(report));
    for (const TargetId& target : targets) {
      const json stats = TargetStats(*cluster, target);
      // Nobody can know before the first refusal; until it is back, the gate
      // has at most its slots under way.
      const int64_t turns = stats.value("turned_cold", int64_t{0});
      CPPUNIT_ASSERT(stats.value("over_cold", int64_t{0}) <= turns * kSlots);
      CPPUNIT_ASSERT_EQUAL(int64_t{0}, stats.value("over_slots", int64_t{0}));
    }
    ExpectAllTargetsWarmUp(*cluster);
  }

 private:
  static json TargetStats(Cluster& cluster, const TargetId& target) {
    return cluster.Get(cluster.TargetHttp(target), "/stats").body;
  }

  static void ExpectNoLimitExceeded(Cluster& cluster) {
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, cluster.SumStats("over_cold"));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, cluster.SumStats("over_slots"));
  }

  static void ExpectAllTargetsWarmUp(Cluster& cluster) {
    CPPUNIT_ASSERT(cluster.WarmUp("desk", "desk"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdWholePathTest);

}  // namespace cherrydyke
