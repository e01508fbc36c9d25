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
  newest_revision_ = std::max(newest_revision_, item.revision);
  return true;
}

bool PublishedItems::Merge(const std::vector<PublishedItem>& items) {
  bool changed = false;
  for (const PublishedItem& item : items) changed |= MergeOne(item);
  return changed;
}

bool PublishedItems::MergeSnapshot(const std::vector<PublishedItem>& items,
                                   Revision as_of) {
  bool changed = Merge(items);
  std::set<std::string> present;
  for (const PublishedItem& item : items) present.insert(item.key);
  for (auto& [key, item] : items_) {
    if (item.removed || item.revision > as_of || present.count(key) > 0) {
      continue;
    }
    item = {key, "", as_of, true};
    newest_revision_ = std::max(newest_revision_, as_of);
    changed = true;
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
    if (item.revision > revision) changes.push_back(item);
  }
  return changes;
}

}  // namespace cherrydyke
