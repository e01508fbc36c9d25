#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "tier/failure_streak.h"
#include "tier/publishing_times.h"

namespace cherrydyke {

/// Proof that a host has every change that the configuration service had
/// published when some read of it began.
struct ReadProof {
  /// Time since that read began.
  absl::Duration age;
  /// Hosts that have passed the proof on; 0 for a read by the host itself.
  int hops = 0;
  /// Hash of the host that read.
  uint32_t reader = 0;

  friend bool operator==(const ReadProof& a, const ReadProof& b) {
    return std::tie(a.age, a.hops, a.reader) ==
           std::tie(b.age, b.hops, b.reader);
  }
};

/// Bounds the age of a host's published items by evidence: a read of the
/// configuration service by the host itself, or the proof of such a read passed
/// on by a peer whose items the host has. That a peer is alive and says that it
/// reads proves nothing.
///
/// Proofs of peers do not count the time that they were on their way. The limit
/// of hops bounds the sum of these times, also where hosts pass proofs in a
/// circle.
///
/// Pure: time is an argument.
class PublishedFreshness {
 public:
  struct Options {
    /// Peers whose freshest proof is older than this do not keep a host from
    /// reading the configuration service itself.
    absl::Duration max_peer_age;
    /// A host that only reads because its peers prove nothing makes one call in
    /// this time after several failed ones.
    absl::Duration retry_pause;
    /// Hash of this host, whose own reads peers may pass back to it.
    uint32_t self = 0;
  };

  /// @param started when the host started: peers are given the time from then.
  PublishedFreshness(Options options, absl::Time started);

  /// A read by this host returned every change published before it began.
  /// @param started_at when the read began.
  void OnRead(absl::Time started_at);
  /// A read by this host failed. Failures of an earlier outage don't count.
  void OnReadFailed(absl::Time now) { failures_ = failures_.AfterFailure(now); }
  /// This host has every item of a peer that sent a proof.
  /// @param proven_until the time of the read that the proof is of.
  void OnPeerProof(const ReadProof& proof, absl::Time proven_until);

  /// @return the time up to which this host has every published change, as far
  /// as that is proven; its start if it never was.
  absl::Time current_until() const;
  /// @return the same, or nothing if it never was proven; before the start if
  /// all proofs were that old.
  std::optional<absl::Time> proven_until() const;
  /// @return the time up to which peers have proven so, or the start.
  absl::Time peers_current_until() const;
  /// @return a time after which a peer's read began, as late as is proven; the
  /// host's start less the time of datagrams on their way if none is.
  absl::Time peers_read_since() const {
    return peers_current_until() - PublishingTimes::kDatagramsOnWay;
  }
  /// @return the proofs to pass on to peers: for each number of hops the
  /// freshest one, unless one of fewer hops is as fresh. A fresher proof that
  /// may not be passed on as often must not take the place of the others.
  std::vector<ReadProof> ProofsForPeers(absl::Time now) const;

  /// @return whether peers do not prove that this host is current.
  bool PeersProveNothing(absl::Time now) const {
    return now - peers_current_until() > options_.max_peer_age;
  }
  /// @return whether this host has to read the configuration service itself,
  /// whatever other hosts say that they do.
  bool ShouldReadItself(absl::Time now) const;

  const Options& options() const { return options_; }

 private:
  /// A proof that has passed this many hosts is not passed on.
  static constexpr int kMaxHops = 3;
  /// Failed calls in a row after which calls pause.
  static constexpr int kFailuresBeforePause = 2;

  struct Proven {
    absl::Time until = absl::InfinitePast();
    uint32_t reader = 0;
  };

  const Options options_;
  const absl::Time started_;
  FailureStreak failures_{PublishingTimes::kContactTime};
  /// The freshest proof by the number of hops that it took; the first one is of
  /// this host's own reads.
  std::array<Proven, kMaxHops + 1> proven_;
};

}  // namespace cherrydyke
