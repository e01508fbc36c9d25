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

/// One published change of one key.
struct ConfigChange {
  std::string key;
  Revision revision = 0;
  /// JSON text; empty if the key was retired.
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

/// An immutable view of the configuration in force.
struct Catalogue {
  Revision revision = 0;
  std::map<EntryName, Entry> entries;
  std::map<ServiceName, Service> services;
  std::map<FailureDomainName, FailureDomain> failure_domains;
  /// Entries that were retired.
  std::map<EntryName, Revision> retired_entries;

  /// @return whether operators have taken the failure domain out.
  bool IsOutOfService(const FailureDomainName& name) const {
    const auto found = failure_domains.find(name);
    return found != failure_domains.end() &&
           found->second.state == DomainState::kOutOfService;
  }
};

/// A change that the checks refused.
struct RefusedChange {
  ConfigChange change;
  std::string reason;
};

/// Holds the newest configuration known and never goes back.
///
/// Each key keeps the last value that passed the checks and, if a newer one
/// was refused, that one too, so that peers who never saw the good value learn
/// it from here. Changes may come in any order and any number of times; the
/// result depends only on the set of changes seen.
class ConfigStore {
 public:
  ConfigStore();

  /// Merges changes.
  /// @param since the changes are all those after this revision...
  /// @param upto ...up to this one; the store's revision rises to it only if
  /// it already covers `since`.
  /// @return the changes refused for the first time.
  std::vector<RefusedChange> Apply(const std::vector<ConfigChange>& changes,
                                   Revision since, Revision upto);

  /// @return every change after `since` that a peer needs to reach this state.
  std::vector<ConfigChange> ChangesSince(Revision since) const;

  /// @return the revision up to which this store has seen everything.
  Revision revision() const { return revision_; }

  /// @return a digest of which value of each key is in force. Stores at the
  /// same revision can differ in it: one of them may have read the platform
  /// after an invalid value had replaced a good one.
  uint64_t digest() const { return digest_; }

  std::shared_ptr<const Catalogue> catalogue() const { return catalogue_; }

  /// @return refused changes that are newer than the value in force.
  std::vector<RefusedChange> Refused() const;

 private:
  struct KeyState {
    ConfigChange good;
    CatalogueValue value;
    RefusedChange refused;
  };

  bool ApplyOne(const ConfigChange& change,
                std::vector<RefusedChange>& refused);
  void RebuildCatalogue();

  Revision revision_ = 0;
  uint64_t digest_ = 0;
  std::map<std::string, KeyState> keys_;
  std::shared_ptr<const Catalogue> catalogue_;
};

}  // namespace cherrydyke
