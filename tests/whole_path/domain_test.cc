#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "absl/time/clock.h"
#include "support/whole_path.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

/// Stated: no new work this long after publication.
constexpr absl::Duration kNoNewWork = absl::Seconds(5);
/// How long a test watches that nothing more arrives.
constexpr absl::Duration kWatch = absl::Seconds(2);

}  // namespace

// Promise 4: a failure domain that is out, and a leaving target, get no new
// work after a few seconds; running work is not cut.
class DomainWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainWholePathTest);
  CPPUNIT_TEST(DomainOutGetsNoNewWorkAndReturnsCold);
  CPPUNIT_TEST(DomainOutReachesDaemonsCutFromThePlatform);
  CPPUNIT_TEST(LeavingAndDrainingTargetsGetNoNewWork);
  CPPUNIT_TEST(DomainCutOffServesWhatItCan);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DomainOutGetsNoNewWorkAndReturnsCold() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    LoadPlan plan = PlanOf("desk", 60, 10);
    plan.balancer_lag = absl::Seconds(1);
    BackgroundLoad load(*cluster, plan);
    absl::SleepFor(absl::Seconds(2));
    SetDomain(*cluster, "out");
    ExpectNoArrivals(*cluster, TargetsIn(*cluster, "Varna"));
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstFault(report));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, report.all.no_response);
    CPPUNIT_ASSERT_EQUAL(
        503, cluster->Query("varna-1", "desk", {{"term", "a"}}).status);
    SetDomain(*cluster, "in");
    CPPUNIT_ASSERT(WaitUntil([&] {
      return StatesIn(*cluster, "varna-1") + StatesIn(*cluster, "varna-2") ==
             "cold cold ";
    }));
  }

  // The gates and entries of the domain cannot reach the platform, one of them
  // is frozen across the change; peers bring it.
  void DomainOutReachesDaemonsCutFromThePlatform() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    BackgroundLoad load(*cluster, PlanOf("desk", 60, 11));
    cluster->CutPlatform({"varna-1", "varna-2", "sofia-1"});
    cluster->gate("varna-2").Freeze();
    absl::SleepFor(absl::Seconds(1));
    SetDomain(*cluster, "out");
    absl::SleepFor(absl::Seconds(2));
    cluster->gate("varna-2").Resume();
    ExpectNoArrivals(*cluster, TargetsIn(*cluster, "Varna"));
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstFault(load.Join()));
  }

  void LeavingAndDrainingTargetsGetNoNewWork() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    BackgroundLoad load(*cluster, PlanOf("desk", 60, 10));
    absl::SleepFor(absl::Seconds(1));
    const std::vector<TargetId> targets = cluster->targets("desk");
    cluster->host_records()[targets[0]]["state"] = "leaving";
    cluster->PublishHosts();
    ExpectNoArrivals(*cluster, {targets[0]});
    cluster->Fault(targets[1], {{"drain", true}});
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstFault(report));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, report.all.no_response);
    // After its own word a draining target is asked again only now and then.
    CPPUNIT_ASSERT(cluster->Get(cluster->TargetHttp(targets[1]), "/stats")
                       .body.value("while_draining", int64_t{0}) <= 8);
  }

  void DomainCutOffServesWhatItCan() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    cluster->PlatformFault({{"down", true}});
    cluster->Cut({"varna-1", "varna-2"},
                 {"sofia-1", "sofia-2", "plovdiv-1", "plovdiv-2"});
    for (const char* host : {"varna-1", "sofia-1"}) {
      // Each side goes on with the targets of its own, and says how far they
      // reach.
      CPPUNIT_ASSERT(WaitUntil([&] { return Serves(*cluster, host); }));
    }
    absl::SleepFor(absl::Seconds(3));
    for (const char* host : {"varna-1", "varna-2", "sofia-1", "plovdiv-2"}) {
      CPPUNIT_ASSERT(Serves(*cluster, host));
    }
    cluster->Cut({}, {});
    CPPUNIT_ASSERT(WaitUntil([&] {
      return IsWhole(
          cluster->Query("varna-1", "desk", {{"term", "whole"}, {"every", 16}}),
          {"whole", 16});
    }));
  }

 private:
  static bool Serves(Cluster& cluster, const HostId& host) {
    const JsonAnswer answer =
        cluster.Query(host, "desk", {{"term", host}, {"every", 16}});
    return answer.status == 200 && CheckAnswer(answer.text, {host, 16}).empty();
  }

  static void SetDomain(Cluster& cluster, const std::string& state) {
    cluster.PublishCatalogue(
        {{"failure_domains/Varna", {{"state", state}, {"region", "bg"}}}});
  }

  static std::vector<TargetId> TargetsIn(const Cluster& cluster,
                                         const std::string& domain) {
    std::vector<TargetId> targets;
    for (const TargetId& target : cluster.targets("desk")) {
      if (cluster.domain_of(target) == domain) targets.push_back(target);
    }
    return targets;
  }

  static int64_t Arrived(Cluster& cluster,
                         const std::vector<TargetId>& targets) {
    int64_t arrived = 0;
    for (const TargetId& target : targets) {
      arrived += cluster.Get(cluster.TargetHttp(target), "/stats")
                     .body.value("arrived", int64_t{0});
    }
    return arrived;
  }

  static void ExpectNoArrivals(Cluster& cluster,
                               const std::vector<TargetId>& targets) {
    absl::SleepFor(kNoNewWork);
    const int64_t before = Arrived(cluster, targets);
    CPPUNIT_ASSERT(before > 0);
    absl::SleepFor(kWatch);
    CPPUNIT_ASSERT_EQUAL(before, Arrived(cluster, targets));
  }

  static std::string StatesIn(Cluster& cluster, const HostId& gate) {
    std::string states;
    const JsonAnswer status = cluster.Get(cluster.GateHttp(gate), "/v1/status");
    for (const json& target : status.body["targets"]) {
      states += target["state"].get<std::string>() + " ";
    }
    return states;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainWholePathTest);

}  // namespace cherrydyke
