#include "routing/coverage.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

#include "absl/strings/str_format.h"

namespace cherrydyke {
namespace {

constexpr int kKeys = 256;

std::string Key(int position) {
  return position == kKeys ? "" : absl::StrFormat("%02x", position);
}

// Splits the key space at random keys.
ShardMap RandomShardMap() {
  std::set<int> boundaries = {0, kKeys};
  const int count = *rc::gen::inRange(0, 20);
  for (int i = 0; i < count; ++i)
    boundaries.insert(*rc::gen::inRange(1, kKeys));
  ShardMap map;
  for (auto it = boundaries.begin(); std::next(it) != boundaries.end(); ++it) {
    map.shards.push_back({"s" + std::to_string(map.shards.size()),
                          {Key(*it), Key(*std::next(it))},
                          {}});
  }
  return map;
}

}  // namespace

class CoverageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoverageTest);
  CPPUNIT_TEST(MatchesKeyByKeyCount);
  CPPUNIT_TEST(GapInShardMapIsIncomplete);
  CPPUNIT_TEST(SmallGapIsIncomplete);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MatchesKeyByKeyCount() {
    CPPUNIT_ASSERT(rc::check("coverage matches a key-by-key count", [] {
      const ShardMap map = RandomShardMap();
      CoverageTracker tracker(map);
      std::set<int> answered_keys;
      const auto answers = *rc::gen::container<std::vector<size_t>>(
          rc::gen::inRange<size_t>(0, map.shards.size()));
      for (const size_t index : answers) {
        tracker.SetMissingReason(index, "shed");
        tracker.MarkAnswered(index);
        for (int key = 0; key < kKeys; ++key) {
          if (map.shards[index].range.Contains(Key(key))) {
            answered_keys.insert(key);
          }
        }
      }
      const Coverage coverage = tracker.Compute();
      const bool all_answered = answered_keys.size() == kKeys;
      RC_ASSERT(coverage.complete == all_answered);
      RC_ASSERT(coverage.missing.empty() == all_answered);
      RC_ASSERT((coverage.fraction == 1.0) == all_answered);
      const double expected_fraction =
          static_cast<double>(answered_keys.size()) / kKeys;
      RC_ASSERT(std::abs(coverage.fraction - expected_fraction) < 1e-5);
    }));
  }

  void GapInShardMapIsIncomplete() {
    const ShardMap map{7, {{"a", {"00", "80"}, {}}, {"b", {"90", ""}, {}}}};
    CoverageTracker tracker(map);
    tracker.MarkAnswered(0);
    tracker.MarkAnswered(1);
    CPPUNIT_ASSERT(!tracker.Compute().complete);
  }

  void SmallGapIsIncomplete() {
    const std::string last_begin = "fffffffffffffffffffffffe";
    const ShardMap map{
        7, {{"a", {"00", last_begin}, {}}, {"b", {last_begin, ""}, {}}}};
    CoverageTracker tracker(map);
    tracker.MarkAnswered(0);
    CPPUNIT_ASSERT(!tracker.Compute().complete);
    CPPUNIT_ASSERT(tracker.Compute().fraction < 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoverageTest);

}  // namespace cherrydyke
