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
/// Each target has one home among the gates of its failure domain, computed by
/// rendezvous over the published host list. All limits of a target (slots,
/// connections, cold-start allowance) are enforced by its home, so the rule to
/// keep is: **at any instant at most one gate sends to a target**. Host lists
/// reach gates at different times, gates pause and networks are cut, so a list
/// alone does not make a gate the holder. A gate holds a target only if
///
///  1. the newest list that it knows makes it the target's home,
///  2. every other gate that the list names in the failure domain has settled
///     that list or a newer one: it has applied it and no request of its own
///     runs at a target that the list gives to another; or that gate is proved
///     dead, because its host's kernel refused a connection to its port,
///  3. if a gate was dropped from the list, died or restarted, or this process
///     has just started, `takeover_wait` has passed since the others settled:
///     it outlasts what a dropped gate may still believe, and the requests that
///     such a gate may have left running at targets,
///  4. no peer has shown a newer list than the one known here, and
///  5. the list is confirmed: within `validity` the platform answered, or more
///     than half of the gates that the list names, this one included and those
///     proved dead left out, told that they know no newer one.
///
/// A gate that learns a new list while its old one is no longer confirmed lets
/// go of everything: lists that it never saw may have given it to others.
///
/// Conditions 1, 4 and 5 are checked at every send; 2 and 3 once, when the
/// holding begins. Numbers alone are compared: a settled revision only rises
/// within a life of a gate, so late and doubled heartbeats are harmless.
///
/// Two cases are left open on purpose, because a failure domain would otherwise
/// stop whenever the platform is away. A gate that its list makes the only one
/// (or whose fellows are all proved dead) goes on serving unconfirmed;
/// `ServesWithoutConfirmation` tells of it. And more than half of a list's
/// gates, cut off together from the platform and from the rest, confirm each
/// other. If newer lists replace just these gates in that time, two gates may
/// send.
///
/// Pure: time is an argument.
class TargetLeases {
 public:
  struct Options {
    absl::Duration validity = absl::Milliseconds(1500);
    /// Longest time that one request may run at a target.
    absl::Duration max_attempt_duration = absl::Milliseconds(1500);
    /// Allowance for clock drift and scheduling.
    absl::Duration margin = absl::Milliseconds(500);

    absl::Duration takeover_wait() const {
      return validity + max_attempt_duration + margin;
    }
  };

  TargetLeases(HostId self, FailureDomainName failure_domain, Options options);

  void OnHostList(const HostList& list, absl::Time now);

  /// A heartbeat of another gate in the failure domain.
  /// @param evidence a time at which the peer is known to have been alive with
  /// what it now tells: when this gate sent what the heartbeat echoes. A
  /// heartbeat without echo brings no evidence (infinite past), because it may
  /// have waited in a queue while this process was stopped.
  void OnPeerHeartbeat(const HostId& peer, Incarnation incarnation,
                       Revision hosts_revision, Revision settled_revision,
                       absl::Time evidence, absl::Time now);

  /// The peer's host refused a connection to the peer's port: no process of
  /// that peer lives.
  void OnPeerDead(const HostId& peer, absl::Time now);

  /// @param evidence when the request that the platform answered was sent.
  void OnPlatformContact(absl::Time evidence);

  /// Takes new holdings whose conditions have come true.
  /// @return the targets taken since the last call.
  std::vector<TargetId> AcquireReady(absl::Time now);

  /// Checks the holding at the point of sending and counts the request.
  /// @return false if nothing may be sent to the target now.
  bool TryBegin(const TargetId& target, absl::Time now);
  void End(const TargetId& target);

  /// @return whether `TryBegin` would succeed.
  bool Holds(const TargetId& target, absl::Time now) const;

  /// @return targets that this gate is the home of, held or not yet.
  std::vector<TargetId> AssignedTargets() const;

  /// @return the newest list under which everything given away is let go.
  Revision settled_revision() const;

  /// @return whether this gate sends although its knowledge is old, because it
  /// knows of no other gate that could confirm it.
  bool ServesWithoutConfirmation(absl::Time now) const;

  /// @return whether knowledge is too old to send on.
  bool Fenced(absl::Time now) const;

 private:
  struct Peer {
    Incarnation incarnation = 0;
    Revision settled_revision = 0;
    /// When it was last known to know no newer list than this gate.
    absl::Time confirmed_at = absl::InfinitePast();
    bool dead = false;
  };

  void UpdateSettled(absl::Time now);
  /// Restarts the wait, because requests of a gate that was dropped, died or
  /// restarted may still run at targets.
  void RestartTakeoverWait();
  bool AllPeersSettled() const;
  bool AllPeersDead() const;
  bool Confirmed(absl::Time now) const;
  bool IsAssigned(const TargetId& target) const {
    return home_.count(target) > 0;
  }

  const HostId self_;
  const FailureDomainName failure_domain_;
  const Options options_;
  Revision revision_ = 0;
  /// Newest list revision that any peer has shown.
  Revision newest_seen_revision_ = 0;
  std::set<HostId> gates_;
  std::set<TargetId> home_;
  std::set<TargetId> held_;
  std::map<TargetId, int> running_;
  std::map<HostId, Peer> peers_;
  absl::Time platform_confirmed_at_ = absl::InfinitePast();
  /// Since when every other gate has settled the newest list known here;
  /// infinite future while some gate has not.
  absl::Time settled_since_ = absl::InfiniteFuture();
  /// Whether a gate unknown to the list may hold a target: after the start,
  /// and after a list that dropped one, until `takeover_wait` has passed.
  bool takeover_wait_pending_ = true;
};

}  // namespace cherrydyke
