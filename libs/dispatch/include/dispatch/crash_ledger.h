#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "admission/quarantine.h"
#include "base/ids.h"

namespace cherrydyke {

/// How many targets one host saw a request crash.
struct CrashCount {
  uint64_t fingerprint = 0;
  HostId host;
  int crashes = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, host, crashes);
  }

  friend bool operator==(const CrashCount& a, const CrashCount& b) {
    return a.fingerprint == b.fingerprint && a.host == b.host &&
           a.crashes == b.crashes;
  }
};

/// Adds up, over all hosts, how many targets each request has crashed, and
/// quarantines those that have crashed several. Pure.
class CrashLedger {
 public:
  explicit CrashLedger(HostId self);

  /// A target crashed while it ran the request, as seen here.
  /// @return whether the request is quarantined from now on.
  bool OnCrash(uint64_t fingerprint, absl::Time now);
  /// Merges what another host has counted.
  /// @return whether a request is quarantined from now on.
  bool OnCount(const CrashCount& count, absl::Time now);

  bool IsQuarantined(uint64_t fingerprint, absl::Time now) const;

  /// @return crashes counted of a request by all hosts.
  int Total(uint64_t fingerprint) const;
  /// @return requests of which a crash is counted.
  size_t size() const { return counts_.size(); }

  /// @return at most `limit` counts to be told to other hosts.
  std::vector<CrashCount> Counts(size_t limit) const;

 private:
  bool Check(uint64_t fingerprint, absl::Time now);

  const HostId self_;
  std::map<uint64_t, std::map<HostId, int>> counts_;
  Quarantine quarantine_;
};

}  // namespace cherrydyke
