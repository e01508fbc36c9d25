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

// The gates together never exceed the concurrency limit of a cold target or the
// slots of a warm one, despite gate crashes, frozen gates and partitions. A
// target that turns cold unannounced may exceed its cold limit only until its
// first refusal arrives (promise 3).
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
    // A gate is partitioned from the other hosts and then removed from the host
    // list: the other gates acquire the leases on its targets.
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
      // A gate learns that a target turned cold from the first refusal. Until
      // that arrives, it may have up to `kSlots` requests in flight.
      const int64_t cold_transitions = stats.value("turned_cold", int64_t{0});
      CPPUNIT_ASSERT(stats.value("over_cold", int64_t{0}) <=
                     cold_transitions * kSlots);
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
