#include "tier/published_items.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cherrydyke {

bool PublishedItems::MergeOne(const PublishedItem& item, Revision known) {
  const auto found = items_.find(item.key);
  const bool is_absent = found == items_.end() || found->second.removed;
  // A stale source still has keys that were removed since, and the removal may
  // have left no tombstone here, or one of an earlier revision.
  if (is_absent && item.revision <= known) {
    dropped_ += item.removed ? 0 : 1;
    return false;
  }
  if (found == items_.end()) {
    items_.emplace(item.key, item);
    return true;
  }
  if (item.revision <= found->second.revision) {
    dropped_ += item.revision < found->second.revision ? 1 : 0;
    return false;
  }
  found->second = item;
  return true;
}

void PublishedItems::RaiseCompleteRevision(Revision revision) {
  if (revision <= known_until_) {
    complete_revision_ = std::max(complete_revision_, revision);
  }
}

bool PublishedItems::Merge(const std::vector<PublishedItem>& items,
                           Revision as_of) {
  const Revision known =
      std::exchange(known_until_, std::max(known_until_, as_of));
  bool changed = false;
  for (const PublishedItem& item : items) {
    changed |= MergeOne(item, known);
    RaiseCompleteRevision(item.revision);
  }
  return changed;
}

bool PublishedItems::MergeSnapshot(const std::vector<PublishedItem>& items,
                                   Revision as_of) {
  if (as_of > known_until_) first_listed_ = as_of;
  bool changed = Merge(items, as_of);
  std::set<std::string> present;
  for (const PublishedItem& item : items) {
    if (!item.removed) present.insert(item.key);
  }
  for (auto& [key, item] : items_) {
    if (item.removed || item.revision > as_of || present.count(key) > 0) {
      continue;
    }
    item = {key, "", as_of, true};
    RaiseCompleteRevision(as_of);
    changed = true;
  }
  return changed;
}

bool PublishedItems::Merge(const PublishedChanges& changes) {
  return changes.is_snapshot ? MergeSnapshot(changes.items, changes.as_of)
                             : Merge(changes.items, changes.as_of);
}

const PublishedItem* PublishedItems::Find(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end() || found->second.removed) return nullptr;
  return &found->second;
}

PublishedChanges PublishedItems::ChangesAfter(Revision revision) const {
  PublishedChanges changes;
  changes.as_of = known_until_;
  changes.is_snapshot = revision < first_listed_;
  for (const auto& [key, item] : items_) {
    if (changes.is_snapshot ||
        (item.revision > revision && item.revision <= known_until_)) {
      changes.items.push_back(item);
    }
  }
  return changes;
}

}  // namespace cherrydyke
