#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "base/ids.h"

namespace cherrydyke {

/// A time during which the configuration service loses nothing that it has
/// acknowledged. A new era begins when it comes back from an older copy: its
/// revisions go back then, and are assigned again to other changes.
struct SourceEra {
  /// The number that the service states; 0 if it states none.
  int64_t stated = 0;
  /// Eras since the stated one that were inferred from revisions which went
  /// back.
  int64_t inferred = 0;

  /// @return the era of a service that went back without stating it.
  SourceEra Next() const { return {stated, inferred + 1}; }
  std::string ToString() const;

  friend bool operator==(const SourceEra& a, const SourceEra& b) {
    return a.Key() == b.Key();
  }
  friend bool operator!=(const SourceEra& a, const SourceEra& b) {
    return !(a == b);
  }
  friend bool operator<(const SourceEra& a, const SourceEra& b) {
    return a.Key() < b.Key();
  }
  friend bool operator>(const SourceEra& a, const SourceEra& b) {
    return b < a;
  }
  friend bool operator<=(const SourceEra& a, const SourceEra& b) {
    return !(b < a);
  }
  friend bool operator>=(const SourceEra& a, const SourceEra& b) {
    return !(a < b);
  }

 private:
  std::tuple<int64_t, int64_t> Key() const { return {stated, inferred}; }
};

/// A version of the published state. Revisions are comparable within one era
/// only.
struct PublishedVersion {
  SourceEra era;
  Revision revision = 0;

  std::string ToString() const;

  friend bool operator==(const PublishedVersion& a, const PublishedVersion& b) {
    return a.Key() == b.Key();
  }
  friend bool operator!=(const PublishedVersion& a, const PublishedVersion& b) {
    return !(a == b);
  }
  friend bool operator<(const PublishedVersion& a, const PublishedVersion& b) {
    return a.Key() < b.Key();
  }
  friend bool operator>(const PublishedVersion& a, const PublishedVersion& b) {
    return b < a;
  }
  friend bool operator<=(const PublishedVersion& a, const PublishedVersion& b) {
    return !(b < a);
  }
  friend bool operator>=(const PublishedVersion& a, const PublishedVersion& b) {
    return !(a < b);
  }

 private:
  std::tuple<SourceEra, Revision> Key() const { return {era, revision}; }
};

}  // namespace cherrydyke
