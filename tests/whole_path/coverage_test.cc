#include <cppunit/extensions/HelperMacros.h>

#include "absl/time/clock.h"
#include "support/whole_path.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

// Returns the shards of one target in `shard_map` with the given index
// versions, in the format of the fake target's `/fault`.
json ShardsOfReplica(const json& shard_map, const TargetId& target,
                     const std::vector<int>& versions) {
  json shards = json::array();
  for (const json& shard : shard_map["shards"]) {
    for (const json& replica : shard["replicas"]) {
      if (replica != target) continue;
      shards.push_back({{"shard", shard["shard"]},
                        {"range", shard["range"]},
                        {"index_versions", versions}});
    }
  }
  return shards;
}

}  // namespace

// Each response comes from one snapshot, reports its coverage correctly and
// belongs to its own request, despite lost targets, faulty responses, index
// version changes and repartitioning (promises 1, 2 and 5).
class CoverageWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoverageWholePathTest);
  CPPUNIT_TEST(LostShardIsReportedMissing);
  CPPUNIT_TEST(FaultyTargetsNeverCauseFalseComplete);
  CPPUNIT_TEST(IndexVersionChangesDuringQueries);
  CPPUNIT_TEST(RepartitionDuringQueriesWithLostReplica);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LostShardIsReportedMissing() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(IsCompleteAndCorrect(SendQuery(*cluster, "a"), {"a", 16}));
    const json shard = CurrentShardMap(*cluster)["shards"][1];
    for (const json& replica : shard["replicas"]) {
      cluster->target(replica.get<TargetId>()).Kill();
    }
    const HttpJsonResponse answer = SendQuery(*cluster, "b");
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckQueryResponse(answer.text, {"b", 16}));
    const json& missing = answer.body["coverage"]["missing"];
    CPPUNIT_ASSERT_EQUAL(size_t{1}, missing.size());
    CPPUNIT_ASSERT(missing[0]["shard"] == shard["shard"]);
    CPPUNIT_ASSERT(missing[0]["range"] == shard["range"]);
    CPPUNIT_ASSERT_EQUAL(std::string("unreachable"),
                         missing[0]["reason"].get<std::string>());
  }

  void FaultyTargetsNeverCauseFalseComplete() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    const std::vector<json> faults = {
        {{"truncate", true}},
        {{"truncate", false}, {"wrong_attempt_id", true}},
        {{"wrong_attempt_id", false}, {"late_ms", 900}},
        {{"late_ms", 0}, {"health_lie", "draining"}, {"straggle_ms", 60}}};
    const TargetId first = cluster->targets("desk").front();
    BackgroundLoad load(*cluster, MakeLoadPlan("desk", 40, 6));
    for (const json& fault : faults) {
      absl::SleepFor(absl::Seconds(1));
      cluster->InjectFault(first, fault);
    }
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(report));
    CPPUNIT_ASSERT(report.all.complete > 0);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, report.all.no_response);
  }

  void IndexVersionChangesDuringQueries() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    BackgroundLoad load(*cluster, MakeLoadPlan("desk", 40, 8));
    for (int version = 42; version <= 44; ++version) {
      // Targets switch one after another; each drops the old version at once.
      for (const TargetId& target : cluster->targets("desk")) {
        cluster->InjectFault(
            target, {{"shards", ShardsOfReplica(CurrentShardMap(*cluster),
                                                target, {version})}});
        absl::SleepFor(absl::Milliseconds(150));
      }
      json service = cluster->catalogue()["services/desk"];
      service["index_versions"] = {version};
      cluster->PublishCatalogue({{"services/desk", service}});
      absl::SleepFor(absl::Milliseconds(800));
    }
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(report));
    CPPUNIT_ASSERT(WaitUntil([&] {
      const HttpJsonResponse answer = SendQuery(*cluster, "end");
      return IsCompleteAndCorrect(answer, {"end", 16}) &&
             answer.body["snapshot"]["index_version"] == 44;
    }));
  }

  void RepartitionDuringQueriesWithLostReplica() {
    const auto cluster = StartCluster(DeskSpec());
    CPPUNIT_ASSERT(cluster->WarmUp("desk", "desk"));
    BackgroundLoad load(*cluster, MakeLoadPlan("desk", 40, 8));
    absl::SleepFor(absl::Seconds(1));
    json service = cluster->catalogue()["services/desk"];
    json& shards = service["shard_map"]["shards"];
    const TargetId lost = shards[2]["replicas"][0].get<TargetId>();
    cluster->target(lost).Kill();
    // Moves the boundary between the first two shards twice.
    for (const char* boundary : {"3000", "6000"}) {
      service["shard_map"]["version"] =
          service["shard_map"]["version"].get<int>() + 1;
      shards[0]["range"][1] = boundary;
      shards[1]["range"][0] = boundary;
      for (const TargetId& target : cluster->targets("desk")) {
        if (target == lost) continue;
        cluster->InjectFault(
            target,
            {{"shards", ShardsOfReplica(service["shard_map"], target, {41})}});
        absl::SleepFor(absl::Milliseconds(100));
      }
      cluster->PublishCatalogue({{"services/desk", service}});
      absl::SleepFor(absl::Seconds(1));
    }
    const LoadReport report = load.Join();
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstResponseError(report));
    CPPUNIT_ASSERT(WaitUntil([&] {
      const HttpJsonResponse answer = SendQuery(*cluster, "end");
      return IsCompleteAndCorrect(answer, {"end", 16}) &&
             answer.body["snapshot"]["shard_map"] ==
                 service["shard_map"]["version"];
    }));
  }

 private:
  static HttpJsonResponse SendQuery(Cluster& cluster, const std::string& term) {
    return cluster.Query("sofia-1", "desk", {{"term", term}, {"every", 16}});
  }

  static const json& CurrentShardMap(Cluster& cluster) {
    return cluster.catalogue()["services/desk"]["shard_map"];
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoverageWholePathTest);

}  // namespace cherrydyke
