#pragma once

#include <map>
#include <vector>

#include "absl/time/time.h"
#include "wire/messages.h"

namespace cherrydyke {

/// Fingerprints of requests that crashed targets, observed locally or reported
/// by peers. Such requests are rejected for a limited time. Reads no clock: the
/// time is an argument.
class Quarantine {
 public:
  /// @param duration time for which a fingerprint is rejected after its last
  /// crash.
  /// @param capacity most fingerprints stored; the one that expires first is
  /// evicted first.
  Quarantine(absl::Duration duration, size_t capacity)
      : duration_(duration), capacity_(capacity) {}

  /// Adds a fingerprint after a local crash, or extends it.
  /// @return whether it was not quarantined, so that peers should be notified.
  bool Add(uint64_t fingerprint, absl::Time now);

  /// Adds or extends a fingerprint reported by a peer, for the remaining time
  /// that the peer states and at most for `duration`. Peers can therefore not
  /// keep a fingerprint quarantined by exchanging notices.
  /// @return whether it was not quarantined.
  bool OnNotice(const QuarantineNotice& notice, absl::Time now);

  /// @return the remaining time, or zero if the fingerprint is not quarantined.
  absl::Duration Remaining(uint64_t fingerprint, absl::Time now) const;

  /// @return at most `limit` notices for peers, longest remaining time first.
  std::vector<QuarantineNotice> Notices(size_t limit, absl::Time now) const;

 private:
  /// Adds a fingerprint or extends it to `expiration`.
  /// @return whether it was not quarantined at `now`.
  bool Extend(uint64_t fingerprint, absl::Time expiration, absl::Time now);

  const absl::Duration duration_;
  const size_t capacity_;
  std::map<uint64_t, absl::Time> expirations_;
};

}  // namespace cherrydyke
