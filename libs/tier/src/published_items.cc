#include "tier/published_items.h"

#include <algorithm>
#include <set>

namespace cherrydyke {

bool PublishedItems::MergeOne(const PublishedItem& item) {
  auto [known, added] = items_.try_emplace(item.key, item);
  if (!added) {
    if (item.revision <= known->second.revision) return false;
    known->second = item;
  }
  return true;
}

bool PublishedItems::Merge(const std::vector<PublishedItem>& items) {
  bool changed = false;
  for (const PublishedItem& item : items) {
    changed |= MergeOne(item);
    complete_revision_ = std::max(complete_revision_, item.revision);
  }
  return changed;
}

bool PublishedItems::MergeSnapshot(const std::vector<PublishedItem>& items,
                                   Revision as_of) {
  bool changed = false;
  std::set<std::string> present;
  for (const PublishedItem& item : items) {
    changed |= MergeOne(item);
    present.insert(item.key);
  }
  for (auto& [key, item] : items_) {
    if (item.revision > as_of) continue;
    if (!item.removed && present.count(key) == 0) {
      item = {key, "", as_of, true};
      changed = true;
    }
    complete_revision_ = std::max(complete_revision_, item.revision);
  }
  return changed;
}

const PublishedItem* PublishedItems::Find(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end() || found->second.removed) return nullptr;
  return &found->second;
}

std::vector<PublishedItem> PublishedItems::ChangesAfter(
    Revision revision) const {
  std::vector<PublishedItem> changes;
  for (const auto& [key, item] : items_) {
    if (item.revision > revision && item.revision <= complete_revision_) {
      changes.push_back(item);
    }
  }
  return changes;
}

}  // namespace cherrydyke
