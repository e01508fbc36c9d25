#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "absl/time/clock.h"
#include "support/whole_path.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

/// Users require that no new work arrives this long after publication.
constexpr absl::Duration kDrainTimeout = absl::Seconds(5);
/// How long tests check afterwards that no request arrives.
constexpr absl::Duration kObservationTime = absl::Seconds(2);

}  // namespace

// A failure domain that is out of service, and a leaving or draining target,
// get no new work after a few seconds, while requests in flight are not aborted
// (promise 4). A partitioned domain continues to serve.
class DomainWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainWholePathTest);
  CPPUNIT_TEST(OutOfServiceDomainGetsNoNewWorkAndReturnsCold);
  CPPUNIT_TEST(OutOfServiceReachesDaemonsWithoutPlatform);
  CPPUNIT_TEST(LeavingAndDrainingTargetsGetNoNewWork);
  CPPUNIT_TEST(PartitionedDomainServesItsOwnTargets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OutOfServiceDomainGetsNoNewWorkAndReturnsCold() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    LoadPlan plan = MakeLoadPlan("desk", 60, 10);
    plan.balancer_lag = absl::Seconds(1);
    BackgroundLoad load(*cluster, plan);
    absl::SleepFor(absl::Seconds(2));
    SetDomainState(*cluster, "out");
    ExpectNoArrivals(*cluster, TargetsIn(*cluster, "Varna"));
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(report));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, report.all.no_response);
    CPPUNIT_ASSERT_EQUAL(
        503, cluster->Query("varna-1", "desk", {{"term", "a"}}).status);
    SetDomainState(*cluster, "in");
    CPPUNIT_ASSERT(WaitUntil([&] {
      return TargetStatesAt(*cluster, "varna-1") +
                 TargetStatesAt(*cluster, "varna-2") ==
             "cold cold ";
    }));
  }

  // The daemons of the domain and of one more host cannot reach the platform
  // and one gate is frozen during the change; they must get it from peers.
  void OutOfServiceReachesDaemonsWithoutPlatform() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    BackgroundLoad load(*cluster, MakeLoadPlan("desk", 60, 11));
    cluster->PartitionFromPlatform({"varna-1", "varna-2", "sofia-1"});
    cluster->gate("varna-2").Freeze();
    absl::SleepFor(absl::Seconds(1));
    SetDomainState(*cluster, "out");
    absl::SleepFor(absl::Seconds(2));
    cluster->gate("varna-2").Resume();
    ExpectNoArrivals(*cluster, TargetsIn(*cluster, "Varna"));
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(load.Join()));
  }

  void LeavingAndDrainingTargetsGetNoNewWork() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    BackgroundLoad load(*cluster, MakeLoadPlan("desk", 60, 10));
    absl::SleepFor(absl::Seconds(1));
    const std::vector<TargetId> targets = cluster->targets("desk");
    cluster->host_records()[targets[0]]["state"] = "leaving";
    cluster->PublishHosts();
    ExpectNoArrivals(*cluster, {targets[0]});
    cluster->InjectFault(targets[1], {{"drain", true}});
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(report));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, report.all.no_response);
    // A target that reported draining gets only occasional probes.
    CPPUNIT_ASSERT(cluster->Get(cluster->TargetHttp(targets[1]), "/stats")
                       .body.value("while_draining", int64_t{0}) <= 8);
  }

  void PartitionedDomainServesItsOwnTargets() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    cluster->InjectPlatformFault({{"down", true}});
    cluster->Partition({"varna-1", "varna-2"},
                       {"sofia-1", "sofia-2", "plovdiv-1", "plovdiv-2"});
    for (const char* host : {"varna-1", "sofia-1"}) {
      // Each side serves from the targets that it can reach and reports their
      // coverage.
      CPPUNIT_ASSERT(
          WaitUntil([&] { return GetsCorrectResponse(*cluster, host); }));
    }
    absl::SleepFor(absl::Seconds(3));
    for (const char* host : {"varna-1", "varna-2", "sofia-1", "plovdiv-2"}) {
      CPPUNIT_ASSERT(GetsCorrectResponse(*cluster, host));
    }
    cluster->Partition({}, {});
    CPPUNIT_ASSERT(WaitUntil([&] {
      return IsCompleteAndCorrect(
          cluster->Query("varna-1", "desk", {{"term", "whole"}, {"every", 16}}),
          {"whole", 16});
    }));
  }

 private:
  static bool GetsCorrectResponse(Cluster& cluster, const HostId& host) {
    const HttpJsonResponse answer =
        cluster.Query(host, "desk", {{"term", host}, {"every", 16}});
    return answer.status == 200 &&
           CheckQueryResponse(answer.text, {host, 16}).empty();
  }

  static void SetDomainState(Cluster& cluster, const std::string& state) {
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

  static int64_t ArrivalCount(Cluster& cluster,
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
    absl::SleepFor(kDrainTimeout);
    const int64_t before = ArrivalCount(cluster, targets);
    CPPUNIT_ASSERT(before > 0);
    absl::SleepFor(kObservationTime);
    CPPUNIT_ASSERT_EQUAL(before, ArrivalCount(cluster, targets));
  }

  static std::string TargetStatesAt(Cluster& cluster, const HostId& gate) {
    std::string states;
    const HttpJsonResponse status =
        cluster.Get(cluster.GateHttp(gate), "/v1/status");
    for (const json& target : status.body["targets"]) {
      states += target["state"].get<std::string>() + " ";
    }
    return states;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainWholePathTest);

}  // namespace cherrydyke
