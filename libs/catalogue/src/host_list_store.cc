#include "catalogue/host_list_store.h"

#include <set>

namespace cherrydyke {
namespace {

/// Removals kept; at 3,200 replacements a day they last for about a day.
constexpr size_t kMaxRemovals = 4096;

}  // namespace

bool HostListStore::ApplyFull(const HostList& list) {
  if (list.revision <= list_->revision) return false;
  std::set<HostId> listed;
  for (const Host& host : list.hosts) {
    listed.insert(host.id);
    Upsert(host, list.revision);
  }
  std::vector<HostId> removed;
  for (const auto& [id, tracked] : hosts_) {
    if (listed.count(id) == 0) removed.push_back(id);
  }
  for (const HostId& id : removed) Remove(id, list.revision);
  Publish(list.revision);
  return true;
}

bool HostListStore::ApplyDelta(const HostDelta& delta) {
  if (delta.up_to <= list_->revision) return false;
  if (delta.full) return ApplyFull({delta.up_to, delta.changed});
  if (delta.since > list_->revision) return false;
  for (const Host& host : delta.changed) Upsert(host, delta.up_to);
  for (const HostId& id : delta.removed) Remove(id, delta.up_to);
  Publish(delta.up_to);
  return true;
}

HostDelta HostListStore::DeltaSince(Revision since) const {
  HostDelta delta;
  delta.since = since;
  delta.up_to = list_->revision;
  if (since >= list_->revision) {
    delta.up_to = since;
    return delta;
  }
  if (since < discarded_up_to_ || since == 0) {
    delta.full = true;
    delta.changed = list_->hosts;
    return delta;
  }
  for (const auto& [id, tracked] : hosts_) {
    if (tracked.changed_at > since) delta.changed.push_back(tracked.host);
  }
  for (auto it = removed_.upper_bound(since); it != removed_.end(); ++it) {
    if (hosts_.count(it->second) == 0) delta.removed.push_back(it->second);
  }
  return delta;
}

void HostListStore::Upsert(const Host& host, Revision revision) {
  TrackedHost& tracked = hosts_[host.id];
  if (tracked.changed_at != 0 && tracked.host == host) return;
  tracked = {host, revision};
}

void HostListStore::Remove(const HostId& id, Revision revision) {
  if (hosts_.erase(id) == 0) return;
  removed_.emplace(revision, id);
  if (removed_.size() <= kMaxRemovals) return;
  discarded_up_to_ = removed_.begin()->first;
  removed_.erase(removed_.begin());
}

void HostListStore::Publish(Revision revision) {
  auto next = std::make_shared<HostList>();
  next->revision = revision;
  next->hosts.reserve(hosts_.size());
  for (const auto& [id, tracked] : hosts_) next->hosts.push_back(tracked.host);
  list_ = std::move(next);
}

}  // namespace cherrydyke
