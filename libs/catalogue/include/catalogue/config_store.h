#pragma once

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "catalogue/checks.h"
#include "catalogue/types.h"

namespace cherrydyke {

/// A published change of one key.
struct ConfigChange {
  std::string key;
  Revision revision = 0;
  /// JSON text; empty if the change retires the key.
  std::string value;

  bool retired() const { return value.empty(); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, revision, value);
  }

  friend bool operator==(const ConfigChange& a, const ConfigChange& b) {
    return std::tie(a.key, a.revision, a.value) ==
           std::tie(b.key, b.revision, b.value);
  }
};

/// An immutable snapshot of the configuration in force.
struct Catalogue {
  Revision revision = 0;
  std::map<EntryName, Entry> entries;
  std::map<ServiceName, Service> services;
  std::map<FailureDomainName, FailureDomain> failure_domains;
  /// Retired entries, with the revision that retired them.
  std::map<EntryName, Revision> retired_entries;

  /// @return whether operators have taken the failure domain out of service.
  bool IsOutOfService(const FailureDomainName& name) const {
    const auto found = failure_domains.find(name);
    return found != failure_domains.end() &&
           found->second.state == DomainState::kOutOfService;
  }
};

/// A change that failed validation.
struct RefusedChange {
  ConfigChange change;
  std::string reason;
};

/// Holds the newest known configuration; values and revisions never revert.
///
/// The store keeps the newest valid value of each key and, if a newer one was
/// refused, that one too, so that peers that never received the valid value get
/// it from here. Changes may arrive in any order and any number of times; the
/// result depends only on the set of changes applied.
class ConfigStore {
 public:
  ConfigStore();

  /// Merges changes.
  /// @param changes the changes after `since` up to and including `up_to`.
  /// @param up_to raises the revision of the store to this one, but only if the
  /// store has already received every change up to `since`.
  /// @return the changes that were refused and had not been refused before.
  std::vector<RefusedChange> Apply(const std::vector<ConfigChange>& changes,
                                   Revision since, Revision up_to);

  /// @return the changes that a peer at revision `since` needs to reach this
  /// state.
  std::vector<ConfigChange> ChangesSince(Revision since) const;

  /// @return the revision up to which this store has received every change.
  Revision revision() const { return revision_; }

  /// @return a digest of the revisions of all values in force. It can differ
  /// between stores at the same revision: one of them may have read the
  /// platform after an invalid value had replaced a valid one.
  uint64_t digest() const { return digest_; }

  std::shared_ptr<const Catalogue> catalogue() const { return catalogue_; }

  /// @return the refused changes that are newer than the value in force.
  std::vector<RefusedChange> Refused() const;

 private:
  struct KeyState {
    /// The newest valid change; its revision is 0 if there is none.
    ConfigChange accepted;
    CatalogueValue value;
    /// The newest refused change; its revision is 0 if there is none.
    RefusedChange refused;
  };

  /// @return whether the change is now in force.
  bool ApplyOne(const ConfigChange& change,
                std::vector<RefusedChange>& refused);
  void RebuildCatalogue();

  Revision revision_ = 0;
  uint64_t digest_ = 0;
  std::map<std::string, KeyState> keys_;
  std::shared_ptr<const Catalogue> catalogue_;
};

}  // namespace cherrydyke
