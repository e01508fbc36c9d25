#pragma once

#include <map>
#include <memory>
#include <vector>

#include "catalogue/host_list.h"

namespace cherrydyke {

/// The changes that lead from one revision of the host list to a newer one.
struct HostDelta {
  Revision since = 0;
  /// Equal to `since` if there is nothing newer.
  Revision upto = 0;
  /// Whether `changed` is the whole list and everything else is gone.
  bool whole = false;
  std::vector<Host> changed;
  std::vector<HostId> removed;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(since, upto, whole, changed, removed);
  }
};

/// Holds the newest host list known and gives peers only what changed.
class HostListStore {
 public:
  HostListStore() : list_(std::make_shared<HostList>()) {}

  /// Takes a whole list if it is newer than the one held.
  /// @return whether it was taken.
  bool ApplyFull(const HostList& list);

  /// Takes a peer's changes if they follow on what is held.
  /// @return whether they were taken.
  bool ApplyDelta(const HostDelta& delta);

  /// @return the changes after `since`, or the whole list if the removals
  /// since then are no longer remembered.
  HostDelta DeltaSince(Revision since) const;

  std::shared_ptr<const HostList> list() const { return list_; }
  Revision revision() const { return list_->revision; }

 private:
  struct Dated {
    Host host;
    Revision changed_at = 0;
  };

  void Remove(const HostId& id, Revision revision);
  void Put(const Host& host, Revision revision);
  void Publish(Revision revision);

  std::map<HostId, Dated> hosts_;
  /// Removals in the order of their revisions.
  std::multimap<Revision, HostId> removed_;
  /// Removals up to this revision have been forgotten.
  Revision forgotten_upto_ = 0;
  std::shared_ptr<const HostList> list_;
};

}  // namespace cherrydyke
