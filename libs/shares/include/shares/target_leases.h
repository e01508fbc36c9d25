#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "catalogue/host_list.h"

namespace cherrydyke {

/// Decides which targets this gate may send to.
///
/// Each target is assigned to one gate of its failure domain by a rendezvous
/// hash over the published host list. That gate enforces all limits of the
/// target (slots, connections, cold-start concurrency), so the invariant is:
/// **at any time at most one gate sends to a target**. Host lists reach gates
/// at different times, processes pause and networks partition, so an assignment
/// alone does not allow a gate to send; it needs a lease. A gate holds the
/// lease of a target only if
///
///  1. the newest host list that it has applied assigns the target to it,
///  2. every other gate of the failure domain in that list has settled it or a
///     newer list, or is proved dead. A gate has settled a list when it has
///     applied it and none of its requests runs at a target that the list
///     assigns to another gate. A gate is proved dead when the kernel of its
///     host refuses a connection to its port,
///  3. `takeover_wait` has passed since the other gates settled the list, if a
///     gate was removed from the list, died or restarted, or this process has
///     just started. The wait covers the time for which a removed gate may
///     still consider its list valid, and the requests that such a gate may
///     have left running at targets,
///  4. no peer has announced a newer list than the one applied here, and
///  5. the list is confirmed: within `validity`, the platform answered or a
///     majority of the gates in the list reported that they know no newer list.
///     This gate counts towards the majority; gates proved dead do not count.
///
/// A gate that receives a new list while its old one is not confirmed gives up
/// all leases: lists that it never received may have assigned its targets to
/// other gates.
///
/// Conditions 1, 4 and 5 are checked for every request, 2 and 3 once when the
/// lease is acquired. Only revision numbers are compared, and the settled
/// revision recorded for a peer never decreases within one incarnation, so late
/// and duplicate heartbeats have no effect.
///
/// Two cases are not covered, because otherwise a failure domain would stop
/// serving whenever the platform is not available:
///
///  - A gate that is the only one in its list, or whose peers are all proved
///    dead, continues to serve without confirmation; see
///    `ServesWithoutConfirmation`.
///  - A majority of the gates in a list that is partitioned from the platform
///    and from the other gates confirms itself. If newer lists replace these
///    very gates during the partition, two gates may send to a target.
///
/// Has no clock: the current time is a parameter.
class TargetLeases {
 public:
  struct Options {
    /// Time for which a confirmation of the host list is valid.
    absl::Duration validity = absl::Milliseconds(1500);
    /// Longest time that one request may run at a target.
    absl::Duration max_attempt_duration = absl::Milliseconds(1500);
    /// Allowance for clock drift and scheduling.
    absl::Duration margin = absl::Milliseconds(500);

    /// @return the longest time for which a removed or dead gate may still send
    /// requests or have them running at targets.
    absl::Duration takeover_wait() const {
      return validity + max_attempt_duration + margin;
    }
  };

  TargetLeases(HostId self, FailureDomainName failure_domain, Options options);

  void OnHostList(const HostList& list, absl::Time now);

  /// Handles a heartbeat of another gate in the failure domain.
  /// @param hosts_revision newest host list that the peer knows.
  /// @param settled_revision newest host list that the peer has settled.
  /// @param echo_sent_at when this gate sent the message that the heartbeat
  /// replies to: the peer was alive in this state after that time. Infinite
  /// past for a heartbeat that is not a reply, because it may have waited in a
  /// queue while this process was stopped.
  void OnPeerHeartbeat(const HostId& peer, Incarnation incarnation,
                       Revision hosts_revision, Revision settled_revision,
                       absl::Time echo_sent_at, absl::Time now);

  /// Handles a refused connection to the peer's port, which proves that no
  /// process of that peer is running.
  void OnPeerDead(const HostId& peer, absl::Time now);

  /// Handles an answer of the platform.
  /// @param request_sent_at when the answered request was sent.
  void OnPlatformContact(absl::Time request_sent_at);

  /// Acquires the leases whose conditions are met.
  /// @return the targets of the leases acquired by this call.
  std::vector<TargetId> AcquireReady(absl::Time now);

  /// Checks the lease of the target and counts a request as running. `End` must
  /// follow if the result is true.
  /// @return false if nothing may be sent to the target now.
  bool TryBegin(const TargetId& target, absl::Time now);
  void End(const TargetId& target);

  /// @return whether `TryBegin` would succeed.
  bool Holds(const TargetId& target, absl::Time now) const;

  /// @return the targets assigned to this gate, with or without a lease.
  std::vector<TargetId> AssignedTargets() const;

  /// @return the revision of the current host list if this gate has settled it,
  /// else 0.
  Revision settled_revision() const;

  /// @return whether this gate serves although its host list is not confirmed,
  /// because no other gate is left that could confirm it.
  bool ServesWithoutConfirmation(absl::Time now) const;

  /// @return whether the host list is too old to send requests: a newer list is
  /// known to exist, or the list is not confirmed and other gates may be alive.
  bool Fenced(absl::Time now) const;

 private:
  struct Peer {
    Incarnation incarnation = 0;
    Revision settled_revision = 0;
    /// When the peer was last known to know no newer list than this gate.
    absl::Time confirmed_at = absl::InfinitePast();
    bool dead = false;
  };

  void UpdateSettled(absl::Time now);
  /// Restarts the takeover wait, because requests of a gate that was removed,
  /// died or restarted may still be running at targets.
  void RestartTakeoverWait();
  bool AllPeersSettled() const;
  bool AllPeersDead() const;
  bool Confirmed(absl::Time now) const;
  bool IsAssigned(const TargetId& target) const {
    return assigned_.count(target) > 0;
  }

  const HostId self_;
  const FailureDomainName failure_domain_;
  const Options options_;
  /// Revision of the host list applied here.
  Revision revision_ = 0;
  /// Newest list revision that this gate or any peer has announced.
  Revision newest_seen_revision_ = 0;
  /// Live gates of the failure domain in the host list.
  std::set<HostId> gates_;
  std::set<TargetId> assigned_;
  std::set<TargetId> held_;
  /// Running requests by target.
  std::map<TargetId, int> running_;
  std::map<HostId, Peer> peers_;
  /// When the last request that the platform answered was sent.
  absl::Time platform_confirmed_at_ = absl::InfinitePast();
  /// Since when every other gate has settled the list applied here; infinite
  /// future while some gate has not.
  absl::Time peers_settled_since_ = absl::InfiniteFuture();
  /// Whether requests of a removed, dead or restarted gate may still run at
  /// targets, so that `takeover_wait` has to pass before leases are acquired.
  bool takeover_wait_pending_ = true;
};

}  // namespace cherrydyke
