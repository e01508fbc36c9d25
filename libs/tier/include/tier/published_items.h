#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"

namespace cherrydyke {

/// A published key and its value as of one revision.
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

/// A replica of the keys that the configuration service has published under one
/// prefix, updated from the service itself or from peers. A key never reverts
/// to an older revision, in whatever order updates arrive; removed keys are
/// kept as tombstones.
class PublishedItems {
 public:
  /// Merges the changes after a revision up to which none is missing here, in
  /// full up to the newest one given.
  /// @return whether any item changed.
  bool Merge(const std::vector<PublishedItem>& items);

  /// Merges a complete listing. Keys that it lacks and that were last changed
  /// at or before revision `as_of` are removed.
  /// @param as_of the revision that the whole listing reflects at least; some
  /// items may be newer, while other changes of the same time are missing.
  /// @return whether any item changed.
  bool MergeSnapshot(const std::vector<PublishedItem>& items, Revision as_of);

  /// @return the item, or null if it is absent or removed.
  const PublishedItem* Find(const std::string& key) const;

  /// @return the items that changed after `revision`, tombstones included, up
  /// to the complete revision.
  std::vector<PublishedItem> ChangesAfter(Revision revision) const;

  /// @return the newest revision of an item up to which no change is missing.
  Revision complete_revision() const { return complete_revision_; }

  const std::map<std::string, PublishedItem>& items() const { return items_; }

 private:
  bool MergeOne(const PublishedItem& item);

  std::map<std::string, PublishedItem> items_;
  Revision complete_revision_ = 0;
};

}  // namespace cherrydyke
