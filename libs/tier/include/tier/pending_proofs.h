#pragma once

#include <deque>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "tier/published_freshness.h"

namespace cherrydyke {

/// Published items that a peer has and, if it sent any, its proofs of
/// how current they are.
struct PeerItems {
  HostId peer;
  Revision config = 0;
  Revision targets = 0;
  std::vector<ReadProof> proofs;
};

/// Keeps the proofs of peers that have newer published items than this host
/// until it has these items as well.
///
/// Pure: time is an argument.
class PendingProofs {
 public:
  void Add(PeerItems items, absl::Time received_at);

  /// Passes on the proofs of all items that this host has by now.
  /// @param config revision up to which this host misses no configuration.
  /// @param targets the same of the targets.
  void Apply(Revision config, Revision targets, PublishedFreshness& freshness);

  /// @return since when this host lacks items that a peer has; the infinite
  /// future if it lacks none.
  absl::Time behind_since() const;
  /// @return the peer whose items it lacks for the longest time, or "".
  HostId peer() const;

 private:
  struct Pending {
    PeerItems items;
    absl::Time received_at;
  };

  /// Oldest first.
  std::deque<Pending> pending_;
};

}  // namespace cherrydyke
