#pragma once

#include <cstdint>
#include <tuple>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

namespace cherrydyke {

/// Whether a host reaches targets at all.
enum class PathState {
  kConnected,
  /// Many targets are silent together; probes are to tell why.
  kSuspected,
  /// No target can be reached.
  kPartitioned,
};

/// What a `PartitionDetector` knows, for logs.
struct PartitionEvidence {
  /// Targets with requests that got no response, since the last response of any
  /// target.
  size_t silent_targets = 0;
  /// Targets without a connection to which none could be opened.
  size_t unconnected_targets = 0;
  /// Targets that were recently sent requests.
  size_t recent_targets = 0;
  /// Results of the last round of probes.
  int probes_connected = 0;
  int probes_failed = 0;
  /// When a target last responded to a request or accepted a probe.
  absl::Time last_contact_at = absl::InfinitePast();

  friend bool operator==(const PartitionEvidence& a,
                         const PartitionEvidence& b) {
    return std::tie(a.silent_targets, a.unconnected_targets, a.recent_targets,
                    a.probes_connected, a.probes_failed, a.last_contact_at) ==
           std::tie(b.silent_targets, b.unconnected_targets, b.recent_targets,
                    b.probes_connected, b.probes_failed, b.last_contact_at);
  }
};

/// Tells a host whose own links to all targets are cut from one whose targets
/// fail: most of the targets that it recently sent requests to fall silent
/// together, none responds, and none accepts a new connection. A target, a
/// service or a failure domain that is down is no such evidence, as others
/// still respond or accept connections.
///
/// Pure: time is an argument.
class PartitionDetector {
 public:
  void OnSent(uint32_t target, absl::Time now);
  /// A target sent a complete response.
  void OnResponse(absl::Time now);
  /// A request to the target is overdue, or its connection was lost.
  void OnUnanswered(uint32_t target, absl::Time now);
  /// No connection could be opened to a target that has none open.
  /// @param any_connected whether a connection to any target is established.
  void OnUnconnected(uint32_t target, bool any_connected, absl::Time now);

  /// @return whether a round of probes is due. The caller then opens
  /// connections to targets in different failure domains, reports each result,
  /// and calls `OnRoundEnded`.
  bool StartProbeRound(absl::Time now);
  void OnProbeEnded(bool connected, absl::Time now);
  /// A probe that was reported as not connected has connected nevertheless: the
  /// path is slow. Counts in the round that ends next.
  void OnLateProbeConnected(absl::Time now);
  void OnRoundEnded(absl::Time now);

  PathState state() const { return state_; }
  /// @return whether failures of connections and requests tell something about
  /// targets: the path is not in doubt, and no failure can be left over from a
  /// partition that has just ended.
  bool IsPathTrusted(absl::Time now) const;
  /// @return since when targets are silent together; infinite if they are not.
  absl::Time silent_since() const { return silent_since_; }
  PartitionEvidence evidence() const;

 private:
  void Suspect(absl::Time now);
  void Restore(absl::Time now);
  /// Removes targets without recent requests.
  void ForgetOldSends(absl::Time now);

  PathState state_ = PathState::kConnected;
  /// When each target was last sent a request.
  absl::flat_hash_map<uint32_t, absl::Time> sent_at_;
  absl::flat_hash_set<uint32_t> silent_;
  absl::flat_hash_set<uint32_t> unconnected_;
  absl::Time silent_since_ = absl::InfiniteFuture();
  absl::Time last_contact_at_ = absl::InfinitePast();
  absl::Time round_started_at_ = absl::InfinitePast();
  bool round_running_ = false;
  int probes_connected_ = 0;
  int probes_failed_ = 0;
  /// Late probes that have connected since the last round ended.
  int late_probes_connected_ = 0;
  /// Successive rounds with connected probes, and how many of them end a
  /// partition.
  int good_rounds_ = 0;
  int needed_good_rounds_ = 1;
  absl::Time restored_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
