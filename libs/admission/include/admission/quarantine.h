#pragma once

#include <map>
#include <vector>

#include "absl/time/time.h"
#include "wire/messages.h"

namespace cherrydyke {

/// Remembers fingerprints of requests that crashed targets, here or as told by
/// peers, and refuses them for a time. Pure: time is an argument.
class Quarantine {
 public:
  /// @param duration how long a fingerprint is refused after its last crash.
  /// @param capacity fingerprints kept; those that end first go first.
  Quarantine(absl::Duration duration, size_t capacity)
      : duration_(duration), capacity_(capacity) {}

  /// @return whether the fingerprint is new here, so that peers should be told.
  bool Add(uint64_t fingerprint, absl::Time now);

  /// Takes a peer's notice. It never outlasts the time left there.
  /// @return whether the fingerprint is new here.
  bool OnNotice(const QuarantineNotice& notice, absl::Time now);

  /// @return the time left, or zero if the fingerprint is not refused.
  absl::Duration Remaining(uint64_t fingerprint, absl::Time now) const;

  /// @return at most `limit` notices for peers, newest first.
  std::vector<QuarantineNotice> Notices(size_t limit, absl::Time now) const;

 private:
  bool Extend(uint64_t fingerprint, absl::Time ends, absl::Time now);

  const absl::Duration duration_;
  const size_t capacity_;
  std::map<uint64_t, absl::Time> expirations_;
};

}  // namespace cherrydyke
