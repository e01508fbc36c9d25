#pragma once

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// Crashes of targets that one incarnation of a host attributes to a request. A
/// restarted host counts from zero under a new incarnation; the counts of its
/// earlier incarnations remain valid.
struct CrashCount {
  uint64_t fingerprint = 0;
  Incarnation incarnation = 0;
  int32_t crashes = 0;
  /// Time since the last known crash of the request on any host, in ms.
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

/// Counts over all hosts how many targets each request has crashed, and
/// quarantines requests that crashed several. The counts are a grow-only
/// counter per host incarnation, merged by gossip. Pure: time is an argument.
///
///     if (tracker.OnCrash(fingerprint, now)) StopRunning(fingerprint);
///     message.crashes = tracker.TakeCountsToGossip(kMaxCrashCounts, now);
class CrashTracker {
 public:
  /// @param self incarnation of this host.
  explicit CrashTracker(Incarnation self);

  /// Records that a target crashed while it ran the request for this host.
  /// @return whether this puts the request into quarantine.
  bool OnCrash(uint64_t fingerprint, absl::Time now);
  /// Merges a count received from another host.
  /// @return whether this puts the request into quarantine.
  bool MergeCount(const CrashCount& count, absl::Time now);

  bool IsQuarantined(uint64_t fingerprint, absl::Time now) const;
  /// @return whether a request was quarantined recently, so that other hosts
  /// may not know it yet.
  bool HasNewQuarantine(absl::Time now) const;

  /// @return how many attempts a request may have, so that one which crashes
  /// each target that runs it is quarantined before it crashes more targets
  /// than that takes: at most `attempts`, and at least one.
  int LimitAttempts(uint64_t fingerprint, int attempts) const;

  /// @return the crashes of the request on all hosts.
  int64_t Total(uint64_t fingerprint) const;
  /// @return the number of tracked requests.
  size_t size() const { return records_.size(); }

  /// Chooses the counts for the next gossip message and marks them as sent.
  /// Requests sent least often since their last crash go first, so that a new
  /// crash is in the next message and every request in one of the next few.
  /// Half of the message is reserved for requests that are quarantined or one
  /// crash short of it.
  /// @return at most `limit` counts.
  std::vector<CrashCount> TakeCountsToGossip(size_t limit, absl::Time now);

 private:
  /// State of a request that crashed at least one target.
  struct Record {
    std::map<Incarnation, int> counts;
    absl::Time last_crash;
    /// Gossip messages that included the request since its counts changed.
    int times_sent = 0;

    int64_t Total() const;
  };
  using Records = std::map<uint64_t, Record>;

  bool Update(uint64_t fingerprint, Incarnation incarnation, int crashes,
              absl::Time at, absl::Time now);
  void DropExpired(absl::Time now);
  void EvictOldest();
  /// Appends the counts of the records sent least often until `counts` holds
  /// `limit`.
  static void Append(std::vector<Records::pointer>& records, size_t limit,
                     absl::Time now, std::vector<CrashCount>& counts);

  const Incarnation self_;
  Records records_;
  /// When a request last became quarantined on this host.
  absl::Time last_quarantined_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
