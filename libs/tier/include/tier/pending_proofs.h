#pragma once

#include <deque>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "tier/published_freshness.h"
#include "tier/published_version.h"

namespace cherrydyke {

/// What a peer says of its published items.
struct PeerItems {
  HostId peer;
  /// Version up to which it misses no change.
  PublishedVersion version;
  /// Its proofs of how current the items of this version are; hosts of earlier
  /// builds send none.
  std::vector<ReadProof> proofs;
};

/// Keeps the proofs of peers that have newer published items than this host
/// until it has these items as well. Proofs of an earlier era are dropped: a
/// host that is stuck in it goes on sending them.
///
/// Pure: time is an argument.
class PendingProofs {
 public:
  /// @param sent_at when the peer sent it, by this host's clock.
  void Add(PeerItems items, absl::Time sent_at);

  /// Passes on the proofs of all items that this host has by now, and drops
  /// those of earlier eras than its own. While it lacks items of which a peer
  /// told it, no proof holds for a later time than that.
  /// @param version up to which this host misses no change.
  void Apply(PublishedVersion version, PublishedFreshness& freshness);

  /// @return since when this host lacks items of which a peer told it; the
  /// infinite future if it lacks none.
  absl::Time behind_since() const;
  /// @return the peer whose items it lacks for the longest time, or "".
  HostId peer() const;

 private:
  struct Pending {
    PeerItems items;
    absl::Time sent_at;
  };

  /// Oldest first.
  std::deque<Pending> pending_;
};

}  // namespace cherrydyke
