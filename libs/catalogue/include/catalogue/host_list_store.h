#pragma once

#include <map>
#include <memory>
#include <vector>

#include "catalogue/host_list.h"

namespace cherrydyke {

/// The changes from one revision of the host list to a newer one.
struct HostDelta {
  Revision since = 0;
  /// Equal to `since` if there is nothing newer.
  Revision up_to = 0;
  /// Whether `changed` is the full list, so that all other hosts are removed.
  bool full = false;
  std::vector<Host> changed;
  std::vector<HostId> removed;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(since, up_to, full, changed, removed);
  }
};

/// Holds the newest known host list and computes the changes for peers.
class HostListStore {
 public:
  HostListStore() : list_(std::make_shared<HostList>()) {}

  /// Replaces the list by a newer one.
  /// @return whether the list was newer and replaced.
  bool ApplyFull(const HostList& list);

  /// Applies changes from a peer if they are newer than the list held and leave
  /// no gap after it.
  /// @return whether they were applied.
  bool ApplyDelta(const HostDelta& delta);

  /// @return the changes after `since`, or the full list if the removals since
  /// then are no longer kept.
  HostDelta DeltaSince(Revision since) const;

  std::shared_ptr<const HostList> list() const { return list_; }
  Revision revision() const { return list_->revision; }

 private:
  struct TrackedHost {
    Host host;
    /// Revision of the last change of the host.
    Revision changed_at = 0;
  };

  void Remove(const HostId& id, Revision revision);
  void Upsert(const Host& host, Revision revision);
  /// Replaces `list_` by the current hosts at the revision.
  void Publish(Revision revision);

  std::map<HostId, TrackedHost> hosts_;
  /// Removed hosts by the revision that removed them.
  std::multimap<Revision, HostId> removed_;
  /// Removals up to and including this revision may have been discarded.
  Revision discarded_up_to_ = 0;
  std::shared_ptr<const HostList> list_;
};

}  // namespace cherrydyke
