#pragma once

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// How many targets one host saw a request crash in one lifetime of it: a host
/// that restarts counts from zero, and what it counted before still stands.
struct CrashCount {
  uint64_t fingerprint = 0;
  Incarnation incarnation = 0;
  int32_t crashes = 0;
  /// How long ago the last crash of the request was counted anywhere, in
  /// milliseconds.
  int32_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, incarnation, crashes, age_ms);
  }

  friend bool operator==(const CrashCount& a, const CrashCount& b) {
    return std::tie(a.fingerprint, a.incarnation, a.crashes, a.age_ms) ==
           std::tie(b.fingerprint, b.incarnation, b.crashes, b.age_ms);
  }
};

/// Adds up, over all hosts, how many targets each request has crashed, and
/// quarantines those that have crashed several. Pure.
///
///     if (ledger.OnCrash(fingerprint, now)) StopRunning(fingerprint);
///     message.crashes = ledger.TakeCountsToGossip(kMaxCrashCounts, now);
class CrashTracker {
 public:
  /// @param self this lifetime of the host.
  explicit CrashTracker(Incarnation self);

  /// A target crashed while it ran the request, as seen here.
  /// @return whether the request is quarantined from now on.
  bool OnCrash(uint64_t fingerprint, absl::Time now);
  /// Merges what another host has counted.
  /// @return whether a request is quarantined from now on.
  bool MergeCount(const CrashCount& count, absl::Time now);

  bool IsQuarantined(uint64_t fingerprint, absl::Time now) const;

  /// @return crashes counted of a request by all hosts.
  int64_t Total(uint64_t fingerprint) const;
  /// @return requests of which a crash is counted.
  size_t size() const { return suspects_.size(); }

  /// Chooses what the next message tells other hosts. Requests told least often
  /// since their last crash go first, so that a new crash is in the next
  /// message and every request in one of the next few; half of the message is
  /// kept for quarantined ones.
  /// @return at most `limit` counts.
  std::vector<CrashCount> TakeCountsToGossip(size_t limit, absl::Time now);

 private:
  /// A request under which targets have crashed.
  struct Suspect {
    std::map<Incarnation, int> counts;
    absl::Time last_crash;
    /// Messages that have told of it since its counts last changed.
    int told = 0;

    int64_t Total() const;
  };
  using Suspects = std::map<uint64_t, Suspect>;

  bool Count(uint64_t fingerprint, Incarnation incarnation, int crashes,
             absl::Time at, absl::Time now);
  void DropExpired(absl::Time now);
  void MakeRoom();
  /// Appends counts of the suspects told least often, up to `limit` in all.
  static void Append(std::vector<Suspects::pointer>& suspects, size_t limit,
                     absl::Time now, std::vector<CrashCount>& counts);

  const Incarnation self_;
  Suspects suspects_;
};

}  // namespace cherrydyke
