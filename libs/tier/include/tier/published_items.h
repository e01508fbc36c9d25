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

/// Changes of published keys that one host tells another.
struct PublishedChanges {
  std::vector<PublishedItem> items;
  /// Revision up to which no change is missing in them.
  Revision as_of = 0;
  /// Whether the items are all keys, so that a key that they lack is removed.
  bool is_snapshot = false;

  friend bool operator==(const PublishedChanges& a, const PublishedChanges& b) {
    return std::tie(a.items, a.as_of, a.is_snapshot) ==
           std::tie(b.items, b.as_of, b.is_snapshot);
  }
};

/// A replica of the keys that the configuration service has published under one
/// prefix, updated from the service itself or from peers. A key never reverts
/// to an older revision, in whatever order updates arrive; removed keys are
/// kept as tombstones, but for those that were removed before they were listed.
class PublishedItems {
 public:
  /// Merges the changes after a revision up to which none is missing here.
  /// @param as_of revision up to which none is missing among them.
  /// @return whether any item changed.
  bool Merge(const std::vector<PublishedItem>& items, Revision as_of);

  /// Merges a complete listing. Keys that it lacks and that were last changed
  /// at or before revision `as_of` are removed.
  /// @param as_of the revision that the whole listing reflects at least; some
  /// items may be newer, while other changes of the same time are missing.
  /// @return whether any item changed.
  bool MergeSnapshot(const std::vector<PublishedItem>& items, Revision as_of);

  /// Merges what another host's `ChangesAfter` has returned.
  /// @return whether any item changed.
  bool Merge(const PublishedChanges& changes);

  /// @return the item, or null if it is absent or removed.
  const PublishedItem* Find(const std::string& key) const;

  /// @return the changes after `revision`, tombstones included, up to
  /// `known_until`; all items if keys may have been removed after `revision`
  /// that were never known here.
  PublishedChanges ChangesAfter(Revision revision) const;

  /// @return the newest revision of an item up to which no change is missing.
  Revision complete_revision() const { return complete_revision_; }
  /// @return the revision of the service up to which no change is missing.
  Revision known_until() const { return known_until_; }
  /// @return how many items were dropped as they were older than known ones.
  int64_t dropped() const { return dropped_; }

  const std::map<std::string, PublishedItem>& items() const { return items_; }

 private:
  /// @param known revision up to which no change was missing before.
  bool MergeOne(const PublishedItem& item, Revision known);
  void RaiseCompleteRevision(Revision revision);

  std::map<std::string, PublishedItem> items_;
  Revision complete_revision_ = 0;
  Revision known_until_ = 0;
  /// Keys removed up to this revision may have left no tombstone here.
  Revision first_listed_ = 0;
  int64_t dropped_ = 0;
};

}  // namespace cherrydyke
