#include "routing/snapshot.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace cherrydyke {
namespace {

class FakeVersionDirectory : public VersionDirectory {
 public:
  std::optional<std::vector<IndexVersion>> VersionsOf(
      const TargetId& target) const override {
    const auto found = versions.find(target);
    if (found == versions.end()) return std::nullopt;
    return found->second;
  }
  bool IsReachable(const TargetId& target) const override {
    return unreachable.count(target) == 0;
  }

  std::map<TargetId, std::vector<IndexVersion>> versions;
  std::map<TargetId, bool> unreachable;
};

Service ServiceWithTwoShards() {
  Service service;
  service.shard_map = {
      7, {{"s0", {"00", "80"}, {"a", "b"}}, {"s1", {"80", ""}, {"c", "d"}}}};
  service.index_versions = {40, 41};
  return service;
}

}  // namespace

class SnapshotTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SnapshotTest);
  CPPUNIT_TEST(PicksNewestVersionHeldByEveryShard);
  CPPUNIT_TEST(UnreachableReplicaForcesOlderVersion);
  CPPUNIT_TEST(UnpublishedVersionIsUsable);
  CPPUNIT_TEST(PicksLargestCoverageWhenNoVersionIsComplete);
  CPPUNIT_TEST(MatchesExhaustiveSearch);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PicksNewestVersionHeldByEveryShard() {
    FakeVersionDirectory directory;
    directory.versions = {
        {"a", {40, 41}}, {"b", {40}}, {"c", {40, 41}}, {"d", {40}}};
    CPPUNIT_ASSERT_EQUAL(IndexVersion{41}, Choose(directory));
    directory.versions["c"] = {40};
    CPPUNIT_ASSERT_EQUAL(IndexVersion{40}, Choose(directory));
  }

  void UnreachableReplicaForcesOlderVersion() {
    FakeVersionDirectory directory;
    directory.versions = {
        {"a", {40, 41}}, {"b", {40}}, {"c", {41}}, {"d", {40, 41}}};
    directory.unreachable["a"] = true;
    CPPUNIT_ASSERT_EQUAL(IndexVersion{40}, Choose(directory));
  }

  void UnpublishedVersionIsUsable() {
    FakeVersionDirectory directory;
    for (const char* target : {"a", "b", "c", "d"})
      directory.versions[target] = {42};
    CPPUNIT_ASSERT_EQUAL(IndexVersion{42}, Choose(directory));
  }

  void PicksLargestCoverageWhenNoVersionIsComplete() {
    FakeVersionDirectory directory;
    directory.versions = {{"a", {41}}, {"b", {41}}, {"c", {40}}, {"d", {40}}};
    CPPUNIT_ASSERT_EQUAL(IndexVersion{41}, Choose(directory));
  }

  void MatchesExhaustiveSearch() {
    CPPUNIT_ASSERT(rc::check("the choice matches an exhaustive search", [] {
      FakeVersionDirectory directory;
      for (const char* target : {"a", "b", "c", "d"}) {
        std::vector<IndexVersion>& versions = directory.versions[target];
        for (IndexVersion v = 39; v <= 43; ++v) {
          if (*rc::gen::inRange(0, 2) == 1) versions.push_back(v);
        }
        if (*rc::gen::inRange(0, 4) == 0) directory.unreachable[target] = true;
      }
      const auto covers_every_shard = [&](IndexVersion version) {
        const auto is_held = [&](const char* target) {
          const auto& v = directory.versions[target];
          return directory.IsReachable(target) &&
                 std::find(v.begin(), v.end(), version) != v.end();
        };
        return (is_held("a") || is_held("b")) && (is_held("c") || is_held("d"));
      };
      IndexVersion newest = 0;
      for (IndexVersion v = 39; v <= 43; ++v) {
        if (covers_every_shard(v)) newest = v;
      }
      const IndexVersion chosen = Choose(directory);
      RC_ASSERT(newest == 0 || chosen == newest);
    }));
  }

 private:
  static IndexVersion Choose(const FakeVersionDirectory& directory) {
    return ChooseSnapshot(ServiceWithTwoShards(), directory).index_version;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);

}  // namespace cherrydyke
