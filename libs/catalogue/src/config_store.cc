#include "catalogue/config_store.h"

#include <algorithm>

#include "base/invariant.h"
#include "catalogue/checks.h"

namespace cherrydyke {
namespace {

constexpr char kEntryPrefix[] = "entries/";

void AddValue(Catalogue& catalogue, const CatalogueValue& value) {
  if (const auto* entry = std::get_if<Entry>(&value)) {
    catalogue.entries[entry->name] = *entry;
  } else if (const auto* service = std::get_if<Service>(&value)) {
    catalogue.services[service->name] = *service;
  } else if (const auto* domain = std::get_if<FailureDomain>(&value)) {
    catalogue.failure_domains[domain->name] = *domain;
  }
}

void AddRetired(Catalogue& catalogue, const ConfigChange& change) {
  const std::string prefix = kEntryPrefix;
  if (change.key.rfind(prefix, 0) != 0) return;
  catalogue.retired_entries[change.key.substr(prefix.size())] = change.revision;
}

}  // namespace

ConfigStore::ConfigStore() : catalogue_(std::make_shared<Catalogue>()) {}

std::vector<RefusedChange> ConfigStore::Apply(
    const std::vector<ConfigChange>& changes, Revision since, Revision up_to) {
  std::vector<RefusedChange> refused;
  bool changed = false;
  for (const ConfigChange& change : changes) {
    changed |= ApplyOne(change, refused);
  }
  const Revision before = revision_;
  if (since <= revision_) revision_ = std::max(revision_, up_to);
  CHERRYDYKE_INVARIANT(revision_ >= before,
                       "the configuration in force never reverts");
  if (changed || revision_ != before) RebuildCatalogue();
  return refused;
}

bool ConfigStore::ApplyOne(const ConfigChange& change,
                           std::vector<RefusedChange>& refused) {
  KeyState& state = keys_[change.key];
  if (change.revision <= state.accepted.revision) return false;
  if (change.retired()) {
    state.accepted = change;
    state.value = CatalogueValue();
    return true;
  }
  Result<CatalogueValue> checked = CheckValue(change.key, change.value);
  if (const Error* error = GetError(checked)) {
    if (change.revision > state.refused.change.revision) {
      state.refused = {change, error->message};
      refused.push_back(state.refused);
    }
    return false;
  }
  state.accepted = change;
  state.value = GetValue(std::move(checked));
  return true;
}

std::vector<ConfigChange> ConfigStore::ChangesSince(Revision since) const {
  std::vector<ConfigChange> changes;
  for (const auto& [key, state] : keys_) {
    const Revision newest =
        std::max(state.accepted.revision, state.refused.change.revision);
    if (newest <= since) continue;
    // Includes the valid value even if it is older than `since`: the peer may
    // have started after a refused value had replaced it on the platform.
    if (state.accepted.revision > 0) changes.push_back(state.accepted);
    if (state.refused.change.revision > state.accepted.revision) {
      changes.push_back(state.refused.change);
    }
  }
  return changes;
}

std::vector<RefusedChange> ConfigStore::Refused() const {
  std::vector<RefusedChange> refused;
  for (const auto& [key, state] : keys_) {
    if (state.refused.change.revision > state.accepted.revision) {
      refused.push_back(state.refused);
    }
  }
  return refused;
}

void ConfigStore::RebuildCatalogue() {
  auto next = std::make_shared<Catalogue>();
  next->revision = revision_;
  digest_ = 0;
  for (const auto& [key, state] : keys_) {
    if (state.accepted.revision == 0) continue;
    digest_ += StableHash(key + "|" + std::to_string(state.accepted.revision));
    if (state.accepted.retired()) {
      AddRetired(*next, state.accepted);
      continue;
    }
    AddValue(*next, state.value);
  }
  catalogue_ = std::move(next);
}

}  // namespace cherrydyke
