#pragma once

#include <string>
#include <tuple>
#include <vector>

namespace cherrydyke {

/// A half-open range of hexadecimal keys in lexicographic order. An empty end
/// means "to the end of the key space".
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

/// @return the part of the key space that the range spans, in [0, 1].
double KeySpan(const KeyRange& range);

/// A set of keys kept as disjoint, sorted, merged ranges.
///
///     RangeSet answered;
///     answered.Add({"00", "80"});
///     answered.Missing({"00", ""});  // {"80", ""}
class RangeSet {
 public:
  /// Adds every key of the range; keys already present count once.
  void Add(const KeyRange& range);

  /// @return the parts of `whole` that the set lacks, in key order.
  std::vector<KeyRange> Missing(const KeyRange& whole) const;

  const std::vector<KeyRange>& ranges() const { return ranges_; }

 private:
  std::vector<KeyRange> ranges_;
};

/// @return whether `ranges` tile `whole` exactly: sorted, without gap or
/// overlap.
bool TilesKeySpace(const std::vector<KeyRange>& ranges);

}  // namespace cherrydyke
