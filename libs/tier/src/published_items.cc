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
    retained_.erase(item.key);
    return true;
  }
  if (item.revision <= found->second.revision) {
    dropped_ += item.revision < found->second.revision ? 1 : 0;
    return false;
  }
  found->second = item;
  retained_.erase(item.key);
  return true;
}

void PublishedItems::RaiseCompleteRevision(Revision revision) {
  if (revision <= known_until_.revision) {
    complete_revision_ = std::max(complete_revision_, revision);
  }
}

bool PublishedItems::Merge(const std::vector<PublishedItem>& items,
                           PublishedVersion as_of) {
  if (as_of.era != known_until_.era) {
    dropped_ += static_cast<int64_t>(items.size());
    return false;
  }
  const Revision known =
      std::exchange(known_until_, std::max(known_until_, as_of)).revision;
  bool changed = false;
  for (const PublishedItem& item : items) {
    changed |= MergeOne(item, known);
    RaiseCompleteRevision(item.revision);
  }
  return changed;
}

bool PublishedItems::MergeSnapshot(const std::vector<PublishedItem>& items,
                                   PublishedVersion as_of) {
  if (as_of.era > known_until_.era) return BeginEra(items, as_of);
  if (as_of > known_until_) first_listed_ = as_of.revision;
  bool changed = Merge(items, as_of);
  if (as_of.era != known_until_.era) return changed;
  std::set<std::string> present;
  for (const PublishedItem& item : items) {
    if (!item.removed) present.insert(item.key);
  }
  for (auto& [key, item] : items_) {
    if (item.removed || item.revision > as_of.revision ||
        present.count(key) > 0) {
      continue;
    }
    item = {key, "", as_of.revision, true};
    retained_.erase(key);
    RaiseCompleteRevision(as_of.revision);
    changed = true;
  }
  return changed;
}

bool PublishedItems::BeginEra(const std::vector<PublishedItem>& items,
                              PublishedVersion as_of) {
  const auto replica_before = std::exchange(items_, {});
  auto in_force_before = std::exchange(retained_, {});
  for (const auto& [key, item] : replica_before) {
    in_force_before.emplace(
        key, item.removed ? std::nullopt : std::optional<PublishedItem>(item));
  }
  known_until_ = as_of;
  first_listed_ = as_of.revision;
  complete_revision_ = 0;
  for (const PublishedItem& item : items) {
    items_[item.key] = item;
    RaiseCompleteRevision(item.revision);
  }
  bool changed = false;
  for (auto& [key, before] : in_force_before) {
    const auto found = items_.find(key);
    const bool is_listed = found != items_.end() && !found->second.removed;
    if (!before && is_listed) {
      // A key that was removed before has this revision only since it was
      // published again, and one after `as_of` only since the store came back.
      const Revision revision = found->second.revision;
      const auto removal = replica_before.find(key);
      const bool is_again =
          revision > as_of.revision ||
          (removal != replica_before.end() && removal->second.removed &&
           revision > removal->second.revision);
      if (policy_.keeps_removals && !is_again) {
        retained_.emplace(key, std::nullopt);
        continue;
      }
    } else if (before && found == items_.end() && policy_.keeps_missing) {
      retained_.emplace(key, std::move(before));
      continue;
    }
    const bool was_listed = before.has_value();
    changed |= was_listed != is_listed ||
               (is_listed && before->value != found->second.value);
  }
  return changed ||
         std::any_of(items_.begin(), items_.end(), [&](const auto& entry) {
           return !entry.second.removed &&
                  in_force_before.count(entry.first) == 0;
         });
}

bool PublishedItems::Merge(const PublishedChanges& changes) {
  return changes.is_snapshot ? MergeSnapshot(changes.items, changes.as_of)
                             : Merge(changes.items, changes.as_of);
}

bool PublishedItems::EndRetention() {
  return !std::exchange(retained_, {}).empty();
}

const PublishedItem* PublishedItems::Find(const std::string& key) const {
  if (const auto retained = retained_.find(key); retained != retained_.end()) {
    return retained->second ? &*retained->second : nullptr;
  }
  const auto found = items_.find(key);
  if (found == items_.end() || found->second.removed) return nullptr;
  return &found->second;
}

void PublishedItems::ForEach(
    absl::FunctionRef<void(const PublishedItem&)> visit) const {
  auto retained = retained_.begin();
  const auto visit_retained_before = [&](const std::string* key) {
    for (; retained != retained_.end() &&
           (key == nullptr || retained->first < *key);
         ++retained) {
      if (retained->second) visit(*retained->second);
    }
  };
  for (const auto& [key, item] : items_) {
    visit_retained_before(&key);
    if (retained != retained_.end() && retained->first == key) {
      if (retained->second) visit(*retained->second);
      ++retained;
    } else if (!item.removed) {
      visit(item);
    }
  }
  visit_retained_before(nullptr);
}

PublishedChanges PublishedItems::ChangesAfter(PublishedVersion version) const {
  PublishedChanges changes;
  changes.as_of = known_until_;
  changes.is_snapshot =
      version.era != known_until_.era || version.revision < first_listed_;
  for (const auto& [key, item] : items_) {
    if (changes.is_snapshot || (item.revision > version.revision &&
                                item.revision <= known_until_.revision)) {
      changes.items.push_back(item);
    }
  }
  return changes;
}

bool PublishedItems::IsContradictedBy(const std::vector<PublishedItem>& listing,
                                      PublishedVersion known) const {
  if (known.era != known_until_.era) return false;
  return std::any_of(
      listing.begin(), listing.end(), [&](const PublishedItem& item) {
        const auto found = items_.find(item.key);
        if (found == items_.end()) return item.revision <= known.revision;
        const PublishedItem& own = found->second;
        if (own.revision > known.revision) return false;
        if (item.revision == own.revision) return item.value != own.value;
        return item.revision < own.revision || item.revision <= known.revision;
      });
}

}  // namespace cherrydyke
