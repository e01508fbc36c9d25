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

// Cuts the key space at random places.
ShardMap RandomMap() {
  std::set<int> cuts = {0, kKeys};
  const int count = *rc::gen::inRange(0, 20);
  for (int i = 0; i < count; ++i) cuts.insert(*rc::gen::inRange(1, kKeys));
  ShardMap map;
  for (auto it = cuts.begin(); std::next(it) != cuts.end(); ++it) {
    map.shards.push_back({"s" + std::to_string(map.shards.size()),
                          {Key(*it), Key(*std::next(it))},
                          {}});
  }
  return map;
}

}  // namespace

class CoverageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoverageTest);
  CPPUNIT_TEST(AgreesWithAKeyByKeyCount);
  CPPUNIT_TEST(GapInTheMapIsNeverComplete);
  CPPUNIT_TEST(TinyGapIsNotRoundedAway);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AgreesWithAKeyByKeyCount() {
    CPPUNIT_ASSERT(rc::check("coverage agrees with a key by key count", [] {
      const ShardMap map = RandomMap();
      CoverageTracker tally(map);
      std::set<int> answered_keys;
      const auto answers = *rc::gen::container<std::vector<size_t>>(
          rc::gen::inRange<size_t>(0, map.shards.size()));
      for (const size_t index : answers) {
        tally.Missing(index, "shed");
        tally.Answered(index);
        for (int key = 0; key < kKeys; ++key) {
          if (map.shards[index].range.Contains(Key(key))) {
            answered_keys.insert(key);
          }
        }
      }
      const Coverage coverage = tally.Compute();
      const bool all = answered_keys.size() == kKeys;
      RC_ASSERT(coverage.complete == all);
      RC_ASSERT(coverage.missing.empty() == all);
      RC_ASSERT((coverage.fraction == 1.0) == all);
      const double naive = static_cast<double>(answered_keys.size()) / kKeys;
      RC_ASSERT(std::abs(coverage.fraction - naive) < 1e-5);
    }));
  }

  void GapInTheMapIsNeverComplete() {
    const ShardMap map{7, {{"a", {"00", "80"}, {}}, {"b", {"90", ""}, {}}}};
    CoverageTracker tally(map);
    tally.Answered(0);
    tally.Answered(1);
    CPPUNIT_ASSERT(!tally.Compute().complete);
  }

  void TinyGapIsNotRoundedAway() {
    const std::string last = "fffffffffffffffffffffffe";
    const ShardMap map{7, {{"a", {"00", last}, {}}, {"b", {last, ""}, {}}}};
    CoverageTracker tally(map);
    tally.Answered(0);
    CPPUNIT_ASSERT(!tally.Compute().complete);
    CPPUNIT_ASSERT(tally.Compute().fraction < 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoverageTest);

}  // namespace cherrydyke
