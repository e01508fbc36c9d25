#pragma once

#include <cstdint>

namespace cherrydyke {

/// The versions of the configuration that bind one host, and what follows from
/// them for its callers' requests and for those that hosts hand to each other.
///
/// The rule: a request is never run by a version older than one by which a
/// request of the same host's callers has begun to run, whichever host runs
/// them. A host knows two such versions: the one by which it runs requests
/// itself, and the newest one by which a peer runs requests of its callers.
/// Whoever hands a request over states the least version, and whoever takes it
/// over compares: one that has an older version runs nothing, and one that has
/// a newer version first has it stated.
class ConfigVersions {
 public:
  /// The host handles requests that arrive from now on by this version.
  void SetInForce(int64_t version) { in_force_ = version; }
  /// @return 0 before the first configuration.
  int64_t in_force() const { return in_force_; }

  /// A peer runs requests of this host's callers by a version from now on.
  /// @return whether that is newer than any that a peer did so by before.
  bool OnRunByPeer(int64_t version);

  /// @return whether the host may run its own callers' requests: they have seen
  /// no newer version through a peer.
  bool MayRunOwn() const { return in_force_ >= seen_through_peers_; }

  /// @return the least version by which a peer may run a request that is sent
  /// to it now.
  int64_t LeastForPeers() const;

  /// A host that knows of a newer version than it has takes nothing over: that
  /// version may exclude the regions to which it would send the request.
  /// @param least version by which a request of another host's callers may be
  /// run.
  bool MayTakeOver(int64_t least) const {
    return MayRunOwn() && in_force_ >= least;
  }

  /// A run by a newer version than the sender knows of binds the sender only
  /// when it hears of it, which for a reply is after the run.
  /// @param least version stated with a request of another host's callers.
  /// @return whether the sender must be told of this host's version before the
  /// request runs.
  bool MustTellFirst(int64_t least) const { return in_force_ > least; }

  /// @return whether a peer that tells this version has a newer configuration
  /// to fetch.
  bool IsNews(int64_t version) const { return version > in_force_; }

 private:
  int64_t in_force_ = 0;
  int64_t seen_through_peers_ = 0;
};

}  // namespace cherrydyke
