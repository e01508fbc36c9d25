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
///  3. if a gate was dropped from the list, or this process has just started,
///     `takeover_wait` has passed since the others settled: it outlasts what a
///     dropped gate may still believe and what it may still run,
///  4. no peer has shown a newer list than the one known here, and
///  5. the gate's knowledge is fresh: it heard a gate of its failure domain or
///     the platform within `validity`, or every other listed gate is proved
///     dead or there is none.
///
/// Conditions 1, 4 and 5 are checked at every send; 2 and 3 once, when the
/// holding begins. Numbers alone are compared: a settled revision only rises
/// within a life of a gate, so late and doubled heartbeats are harmless.
///
/// Pure: time is an argument.
class TargetHoldings {
 public:
  struct Options {
    absl::Duration validity = absl::Milliseconds(1500);
    /// Longest time that one request may run at a target.
    absl::Duration max_attempt = absl::Milliseconds(1500);
    /// Allowance for clock drift and scheduling.
    absl::Duration margin = absl::Milliseconds(500);

    absl::Duration takeover_wait() const {
      return validity + max_attempt + margin;
    }
  };

  /// @param now the start of this process: what ran before it may still run.
  TargetHoldings(HostId self, FailureDomainName failure_domain, Options options,
                 absl::Time now);

  void OnHostList(const HostList& list, absl::Time now);

  /// A heartbeat of another gate in the failure domain.
  /// @param evidence a time at which the peer is known to have been alive with
  /// what it now tells: when this gate sent what the heartbeat echoes. A
  /// heartbeat without echo brings no evidence (infinite past), because it may
  /// have waited in a queue while this process was stopped.
  void OnPeer(const HostId& peer, Incarnation incarnation,
              Revision hosts_revision, Revision settled_revision,
              absl::Time evidence, absl::Time now);

  /// The peer's host refused a connection to the peer's port: no process of
  /// that peer lives.
  void OnPeerDead(const HostId& peer, absl::Time now);

  /// @param evidence when the request that the platform answered was sent.
  void OnPlatformContact(absl::Time evidence);

  /// Takes new holdings whose conditions have come true.
  /// @return the targets taken since the last call.
  std::vector<TargetId> Advance(absl::Time now);

  /// Checks the holding at the point of sending and counts the request.
  /// @return false if nothing may be sent to the target now.
  bool TryBegin(const TargetId& target, absl::Time now);
  void End(const TargetId& target);

  /// @return whether `TryBegin` would succeed.
  bool Holds(const TargetId& target, absl::Time now) const;

  /// @return targets that this gate is the home of, held or not yet.
  std::vector<TargetId> HomeTargets() const;

  /// @return the newest list under which everything given away is let go.
  Revision settled_revision() const;

  /// @return whether knowledge is too old to send on.
  bool Fenced(absl::Time now) const;

 private:
  struct Peer {
    Incarnation incarnation = 0;
    Revision hosts_revision = 0;
    Revision settled_revision = 0;
    bool dead = false;
  };

  void UpdateSettled(absl::Time now);
  bool AllSettled() const;
  bool AllOthersDead() const;
  bool IsHome(const TargetId& target) const { return home_.count(target) > 0; }

  const HostId self_;
  const FailureDomainName failure_domain_;
  const Options options_;
  Revision revision_ = 0;
  /// Newest list revision that any peer has shown.
  Revision newest_seen_ = 0;
  std::set<HostId> gates_;
  std::set<TargetId> home_;
  std::set<TargetId> held_;
  std::map<TargetId, int> running_;
  std::map<HostId, Peer> peers_;
  absl::Time last_contact_;
  /// Since when every other gate has settled the newest list known here;
  /// infinite future while some gate has not.
  absl::Time settled_since_ = absl::InfiniteFuture();
  /// Whether a gate unknown to the list may hold a target: after the start,
  /// and after a list that dropped one, until `takeover_wait` has passed.
  bool drop_pending_ = true;
};

}  // namespace cherrydyke
