#include "catalogue/host_list_store.h"

#include <set>

namespace cherrydyke {
namespace {

/// Removals remembered; about a day's worth at 3,200 replacements a day.
constexpr size_t kMaxRemovals = 4096;

}  // namespace

bool HostListStore::ApplyFull(const HostList& list) {
  if (list.revision <= list_->revision) return false;
  std::set<HostId> listed;
  for (const Host& host : list.hosts) {
    listed.insert(host.id);
    Put(host, list.revision);
  }
  std::vector<HostId> gone;
  for (const auto& [id, dated] : hosts_) {
    if (listed.count(id) == 0) gone.push_back(id);
  }
  for (const HostId& id : gone) Remove(id, list.revision);
  Publish(list.revision);
  return true;
}

bool HostListStore::ApplyDelta(const HostDelta& delta) {
  if (delta.upto <= list_->revision) return false;
  if (delta.whole) return ApplyFull({delta.upto, delta.changed});
  if (delta.since > list_->revision) return false;
  for (const Host& host : delta.changed) Put(host, delta.upto);
  for (const HostId& id : delta.removed) Remove(id, delta.upto);
  Publish(delta.upto);
  return true;
}

HostDelta HostListStore::DeltaSince(Revision since) const {
  HostDelta delta;
  delta.since = since;
  delta.upto = list_->revision;
  if (since >= list_->revision) {
    delta.upto = since;
    return delta;
  }
  if (since < forgotten_upto_ || since == 0) {
    delta.whole = true;
    delta.changed = list_->hosts;
    return delta;
  }
  for (const auto& [id, dated] : hosts_) {
    if (dated.changed_at > since) delta.changed.push_back(dated.host);
  }
  for (auto it = removed_.upper_bound(since); it != removed_.end(); ++it) {
    if (hosts_.count(it->second) == 0) delta.removed.push_back(it->second);
  }
  return delta;
}

void HostListStore::Put(const Host& host, Revision revision) {
  Dated& dated = hosts_[host.id];
  if (dated.changed_at != 0 && dated.host == host) return;
  dated = {host, revision};
}

void HostListStore::Remove(const HostId& id, Revision revision) {
  if (hosts_.erase(id) == 0) return;
  removed_.emplace(revision, id);
  if (removed_.size() <= kMaxRemovals) return;
  forgotten_upto_ = removed_.begin()->first;
  removed_.erase(removed_.begin());
}

void HostListStore::Publish(Revision revision) {
  auto next = std::make_shared<HostList>();
  next->revision = revision;
  next->hosts.reserve(hosts_.size());
  for (const auto& [id, dated] : hosts_) next->hosts.push_back(dated.host);
  list_ = std::move(next);
}

}  // namespace cherrydyke
