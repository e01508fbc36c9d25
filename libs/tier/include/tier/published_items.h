#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"

namespace cherrydyke {

/// One published key as of one revision.
struct PublishedItem {
  std::string key;
  std::string value;
  Revision revision = 0;
  bool removed = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, value, revision, removed);
  }

  friend bool operator==(const PublishedItem& a, const PublishedItem& b) {
    return std::tie(a.key, a.value, a.revision, a.removed) ==
           std::tie(b.key, b.value, b.revision, b.removed);
  }
};

/// What the configuration service has published under one prefix, as far as it
/// is known here, from the service itself or from peers. No key ever goes back
/// to an older revision, whatever order the news comes in; removals are
/// remembered.
class PublishedItems {
 public:
  /// Takes news of single keys.
  /// @return whether anything changed.
  bool Merge(const std::vector<PublishedItem>& items);

  /// Takes the whole content. Keys that it lacks and that were last changed no
  /// later than `as_of` are removed.
  /// @return whether anything changed.
  bool MergeSnapshot(const std::vector<PublishedItem>& items, Revision as_of);

  /// @return the item, or null if it is absent or removed.
  const PublishedItem* Find(const std::string& key) const;

  /// @return everything that changed after `revision`, removals included.
  std::vector<PublishedItem> ChangesAfter(Revision revision) const;

  /// @return the newest revision of any item, up to which nothing is missing:
  /// news come in the order of revisions.
  Revision newest_revision() const { return newest_revision_; }

  const std::map<std::string, PublishedItem>& items() const { return items_; }

 private:
  bool MergeOne(const PublishedItem& item);

  std::map<std::string, PublishedItem> items_;
  Revision newest_revision_ = 0;
};

}  // namespace cherrydyke
