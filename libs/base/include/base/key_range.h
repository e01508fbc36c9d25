#pragma once

#include <string>
#include <tuple>
#include <vector>

namespace cherrydyke {

/// Half-open range of hexadecimal keys in lexicographic order. An empty end
/// means the end of the key space.
struct KeyRange {
  std::string begin;
  std::string end;

  /// @return whether the range holds no key.
  bool Empty() const { return !end.empty() && end <= begin; }

  /// @return whether `key` lies inside the range.
  bool Contains(const std::string& key) const {
    return key >= begin && (end.empty() || key < end);
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(begin, end);
  }

  friend bool operator==(const KeyRange& a, const KeyRange& b) {
    return std::tie(a.begin, a.end) == std::tie(b.begin, b.end);
  }
  friend bool operator!=(const KeyRange& a, const KeyRange& b) {
    return !(a == b);
  }
  friend bool operator<(const KeyRange& a, const KeyRange& b) {
    return std::tie(a.begin, a.end) < std::tie(b.begin, b.end);
  }
};

/// @return the position of a hexadecimal key in the key space, in [0, 1].
double KeyPosition(const std::string& key);

/// @return the fraction of the key space that the range covers, in [0, 1].
double KeySpan(const KeyRange& range);

/// Set of keys, stored as sorted, disjoint ranges. Ranges that overlap or touch
/// are merged.
///
///     RangeSet answered;
///     answered.Add({"00", "80"});
///     answered.Missing({"00", ""});  // {"80", ""}
class RangeSet {
 public:
  /// Adds all keys of the range.
  void Add(const KeyRange& range);

  /// @return the parts of `whole` that are not in the set, in key order.
  std::vector<KeyRange> Missing(const KeyRange& whole) const;

  const std::vector<KeyRange>& ranges() const { return ranges_; }

 private:
  std::vector<KeyRange> ranges_;
};

/// @return whether `ranges` are sorted and cover the key space without gap or
/// overlap.
bool TilesKeySpace(const std::vector<KeyRange>& ranges);

}  // namespace cherrydyke
