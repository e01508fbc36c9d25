#include "base/key_range.h"

#include <algorithm>

namespace cherrydyke {
namespace {

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return 0;
}

// Compares range ends; an empty end lies beyond every key.
bool EndBefore(const std::string& a, const std::string& b) {
  if (a.empty()) return false;
  if (b.empty()) return true;
  return a < b;
}

bool EndReaches(const std::string& end, const std::string& begin) {
  return end.empty() || end >= begin;
}

}  // namespace

double KeyPosition(const std::string& key) {
  double position = 0;
  double weight = 1.0 / 16;
  for (const char c : key) {
    position += HexDigit(c) * weight;
    weight /= 16;
  }
  return position;
}

double KeySpan(const KeyRange& range) {
  if (range.Empty()) return 0;
  const double end = range.end.empty() ? 1.0 : KeyPosition(range.end);
  return std::max(0.0, end - KeyPosition(range.begin));
}

void RangeSet::Add(const KeyRange& range) {
  if (range.Empty()) return;
  KeyRange merged = range;
  std::vector<KeyRange> kept;
  for (const KeyRange& existing : ranges_) {
    const bool touches = EndReaches(existing.end, merged.begin) &&
                         EndReaches(merged.end, existing.begin);
    if (!touches) {
      kept.push_back(existing);
      continue;
    }
    merged.begin = std::min(merged.begin, existing.begin);
    if (EndBefore(merged.end, existing.end)) merged.end = existing.end;
  }
  kept.push_back(merged);
  std::sort(kept.begin(), kept.end());
  ranges_ = std::move(kept);
}

std::vector<KeyRange> RangeSet::Missing(const KeyRange& whole) const {
  std::vector<KeyRange> missing;
  if (whole.Empty()) return missing;
  std::string cursor = whole.begin;
  for (const KeyRange& held : ranges_) {
    if (!EndReaches(held.end, cursor)) continue;
    if (!whole.end.empty() && held.begin >= whole.end) break;
    if (held.begin > cursor) missing.push_back({cursor, held.begin});
    if (held.end.empty()) return missing;
    cursor = std::max(cursor, held.end);
  }
  const KeyRange rest{cursor, whole.end};
  if (!rest.Empty()) missing.push_back(rest);
  return missing;
}

bool TilesKeySpace(const std::vector<KeyRange>& ranges) {
  if (ranges.empty()) return false;
  for (size_t i = 0; i + 1 < ranges.size(); ++i) {
    if (ranges[i].Empty() || ranges[i].end != ranges[i + 1].begin) return false;
  }
  return KeyPosition(ranges.front().begin) == 0 && ranges.back().end.empty();
}

}  // namespace cherrydyke
