#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace cherrydyke {

/// A target instance that crashed while it ran a request, as hosts tell each
/// other. Several hosts may report the same crash.
struct CrashReport {
  uint64_t fingerprint = 0;
  /// Hash of the target instance, the same on all hosts.
  uint32_t target = 0;
  /// Time since the request was sent to the target, in ms.
  int32_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, target, age_ms);
  }

  friend bool operator==(const CrashReport& a, const CrashReport& b) {
    return std::tie(a.fingerprint, a.target, a.age_ms) ==
           std::tie(b.fingerprint, b.target, b.age_ms);
  }
};

/// Knows which targets each request has crashed on all hosts, and quarantines
/// requests that crashed several. For each request it keeps a set of targets,
/// merged by gossip: when a target ends, all requests with the same fingerprint
/// that are running on it are lost, and that is one crash. Pure: time is an
/// argument.
///
///     if (tracker.OnCrash(fingerprint, target, now)) StopRunning(fingerprint);
///     message.crashes = tracker.TakeReportsToGossip(kMaxCrashReports, now);
class CrashTracker {
 public:
  /// Records that targets answered all parts of the request for this host: it
  /// does not crash each target that runs it. Crashes of copies that were sent
  /// before do not count.
  /// @param sent_at when the first of the answered parts was sent.
  void OnAnswered(uint64_t fingerprint, absl::Time sent_at);
  /// Records that a target crashed while it ran the request for this host.
  /// @param target hash of the target instance.
  /// @param sent_at when the request was sent to the target.
  /// @return whether this puts the request into quarantine.
  bool OnCrash(uint64_t fingerprint, uint32_t target, absl::Time sent_at,
               absl::Time now);
  /// Merges a report received from another host.
  /// @return whether this puts the request into quarantine.
  bool Merge(const CrashReport& report, absl::Time now);

  bool IsQuarantined(uint64_t fingerprint, absl::Time now) const;
  /// @return whether a request was quarantined recently, so that other hosts
  /// may not know it yet.
  bool HasNewQuarantine(absl::Time now) const;

  /// @return how many attempts a request may have, so that one which crashes
  /// each target that runs it is quarantined before it crashes more targets
  /// than that takes: at most `attempts`, and at least one.
  int LimitAttempts(uint64_t fingerprint, int attempts) const;

  /// @return how many targets the request has crashed, as far as known.
  int Total(uint64_t fingerprint) const;
  /// @return the number of tracked requests.
  size_t size() const { return records_.size(); }

  /// Chooses the reports for the next gossip message and marks them as sent.
  /// Requests sent least often since their last crash go first, so that a new
  /// crash is in the next message and every request in one of the next few.
  /// Half of the message is reserved for quarantined requests, and a quarter
  /// for those that are one crash short of it: after a crash of many targets,
  /// most requests have one.
  /// @return at most `limit` reports.
  std::vector<CrashReport> TakeReportsToGossip(size_t limit, absl::Time now);

 private:
  /// State of a request that crashed at least one target.
  struct Record {
    /// When the request was sent to each crashed target, by the hash of its
    /// instance.
    std::map<uint32_t, absl::Time> crashed_at;
    absl::Time last_crash = absl::InfinitePast();
    /// Gossip messages that included the request since its last new crash.
    int times_sent = 0;

    int Total() const { return static_cast<int>(crashed_at.size()); }
  };
  using Records = std::map<uint64_t, Record>;

  bool Add(uint64_t fingerprint, uint32_t target, absl::Time at,
           absl::Time now);
  /// @return when this host last sent what was answered, as far as remembered.
  std::optional<absl::Time> LastAnswer(uint64_t fingerprint) const;
  bool WasAnsweredRecently(uint64_t fingerprint, absl::Time at) const;
  /// @return whether a crash of the request counts about that time.
  bool IsNearCrash(uint64_t fingerprint, absl::Time at) const;
  void DropExpired(absl::Time now);
  void EvictOldest();
  /// Appends the reports of the records sent least often until `reports` holds
  /// `limit`.
  static void Append(std::vector<Records::pointer>& records, size_t limit,
                     absl::Time now, std::vector<CrashReport>& reports);

  Records records_;
  /// When requests were last answered since `answered_since_`, and in the
  /// period before.
  absl::flat_hash_map<uint64_t, absl::Time> answered_;
  absl::flat_hash_map<uint64_t, absl::Time> answered_before_;
  absl::Time answered_since_ = absl::InfinitePast();
  /// When a request last became quarantined on this host.
  absl::Time last_quarantined_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
