#include "routing/merger.h"

#include <algorithm>
#include <tuple>

#include "kernel/registry.h"

namespace cherrydyke {
namespace {

class ConcatMerger : public Merger {
 public:
  void Merge(std::vector<SearchHit>& hits) const override {
    std::stable_sort(
        hits.begin(), hits.end(),
        [](const SearchHit& a, const SearchHit& b) { return a.key < b.key; });
  }
};

class TopScoreMerger : public Merger {
 public:
  void Merge(std::vector<SearchHit>& hits) const override {
    std::stable_sort(
        hits.begin(), hits.end(), [](const SearchHit& a, const SearchHit& b) {
          return std::tie(b.score, a.key) < std::tie(a.score, b.key);
        });
  }
};

}  // namespace

void RegisterMergers() {
  static const Registration<Merger, ConcatMerger> concat("concat");
  static const Registration<Merger, TopScoreMerger> top("top_score");
}

}  // namespace cherrydyke
