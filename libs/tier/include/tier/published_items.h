#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "absl/functional/function_ref.h"
#include "base/ids.h"
#include "tier/published_version.h"

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
  /// Version up to which no change is missing in them.
  PublishedVersion as_of;
  /// Whether the items are all keys, so that a key that they lack is removed.
  bool is_snapshot = false;

  friend bool operator==(const PublishedChanges& a, const PublishedChanges& b) {
    return std::tie(a.items, a.as_of, a.is_snapshot) ==
           std::tie(b.items, b.as_of, b.is_snapshot);
  }
};

/// What stays in force for a while after the service has come back from an
/// older copy, as operators and targets publish again what it has lost.
struct RestorePolicy {
  /// Keys that the copy lacks.
  bool keeps_missing = false;
  /// Removals of keys that the copy still has.
  bool keeps_removals = false;

  /// Evacuations stay in force; an older configuration is told by its version.
  static RestorePolicy ForConfig() { return {true, false}; }
  /// Targets that have left stay gone. Live ones that the copy lacks are kept
  /// as after an outage, in which their entries may expire.
  static RestorePolicy ForTargets() { return {false, true}; }
};

/// A replica of the keys that the configuration service has published under one
/// prefix, updated from the service itself or from peers. Within an era, a key
/// never reverts to an older revision, in whatever order updates arrive;
/// removed keys are kept as tombstones, but for those that were removed before
/// they were listed.
///
/// A snapshot of a later era replaces the replica. What it lacks by the
/// `RestorePolicy` stays in force beside it until the key changes in that era
/// or the retention ends.
class PublishedItems {
 public:
  explicit PublishedItems(RestorePolicy policy = {}) : policy_(policy) {}

  /// Merges the changes after a revision up to which none is missing here.
  /// Changes of an earlier era are dropped, and so are those of a later one, as
  /// others before them are missing here.
  /// @param as_of version up to which none is missing among them.
  /// @return whether any item in force changed.
  bool Merge(const std::vector<PublishedItem>& items, PublishedVersion as_of);

  /// Merges a complete listing. Keys that it lacks and that were last changed
  /// at or before `as_of` are removed. One of an earlier era is dropped.
  /// @param as_of the version that the whole listing reflects at least; some
  /// items may be newer, while other changes of the same time are missing.
  /// @return whether any item in force changed.
  bool MergeSnapshot(const std::vector<PublishedItem>& items,
                     PublishedVersion as_of);

  /// Merges what another host's `ChangesAfter` has returned.
  /// @return whether any item in force changed.
  bool Merge(const PublishedChanges& changes);

  /// What stayed in force since the service lost it no longer does.
  /// @return whether any item in force changed.
  bool EndRetention();

  /// @return the item in force, or null if it is absent or removed.
  const PublishedItem* Find(const std::string& key) const;
  /// Visits the items in force by key.
  void ForEach(absl::FunctionRef<void(const PublishedItem&)> visit) const;

  /// @return the changes after `version`, tombstones included, up to
  /// `known_until`; all items if keys may have been removed after `version`
  /// that were never known here, or if it is of another era.
  PublishedChanges ChangesAfter(PublishedVersion version) const;

  /// @param listing what the service has now.
  /// @param known what was known here when the service was asked.
  /// @return whether the listing contradicts what is known here of the same
  /// era: the service has gone back without its revisions showing it.
  bool IsContradictedBy(const std::vector<PublishedItem>& listing,
                        PublishedVersion known) const;

  /// @return the newest revision of an item up to which no change is missing.
  Revision complete_revision() const { return complete_revision_; }
  /// @return the version of the service up to which no change is missing.
  PublishedVersion known_until() const { return known_until_; }
  /// @return the items that a restored service lacks, or has, though they are
  /// in force, or are not.
  size_t retained() const { return retained_.size(); }
  /// @return how many items were dropped as they were older than known ones.
  int64_t dropped() const { return dropped_; }

  /// @return what the service has published, tombstones included.
  const std::map<std::string, PublishedItem>& items() const { return items_; }

 private:
  /// @param known revision up to which no change was missing before.
  bool MergeOne(const PublishedItem& item, Revision known);
  void RaiseCompleteRevision(Revision revision);
  /// Replaces the replica by a snapshot of a later era.
  bool BeginEra(const std::vector<PublishedItem>& items,
                PublishedVersion as_of);

  RestorePolicy policy_;
  std::map<std::string, PublishedItem> items_;
  /// What is in force instead of the items above by key; nothing for a removed
  /// one.
  std::map<std::string, std::optional<PublishedItem>> retained_;
  Revision complete_revision_ = 0;
  PublishedVersion known_until_;
  /// Keys removed up to this revision may have left no tombstone here.
  Revision first_listed_ = 0;
  int64_t dropped_ = 0;
};

}  // namespace cherrydyke
