#pragma once

#include "absl/time/time.h"

namespace cherrydyke {

/// The waits from the confirmation of a published change until it is in force
/// at a host. They add up on the way, and their sums must stay below the
/// time within which changes must take effect, so all follow from it here.
///
/// Data only: what waits takes its time from here.
struct PublishingTimes {
  /// Part of the bound for which the configuration service holds a watch
  /// without changes. Each call is billed, which favours long watches, but a
  /// service that stops responding is noticed only at the end of a watch.
  static constexpr double kWatchRatio = 0.3;
  /// Parts of the bound after which peers' proofs no longer keep a host from
  /// reading itself. What is left covers the host's own call.
  static constexpr double kMinPeerAgeRatio = 0.5;
  static constexpr double kMaxPeerAgeRatio = 0.6;
  /// A host that knows of newer items for this part of the bound says so.
  static constexpr double kBehindLogRatio = 0.1;
  /// Items that were not proven current for this part of the bound are reported
  /// as possibly outdated.
  static constexpr double kOutdatedLogRatio = 0.75;

  /// @param bound time within which the tightest kind of change must take
  /// effect.
  static PublishingTimes For(absl::Duration bound);

  absl::Duration bound;
  absl::Duration watch;
  /// Shortest watch, of a host whose proof is as old as a watch lasts.
  absl::Duration min_watch = absl::Milliseconds(100);
  /// Longest time until the first byte of a response, beside its watch.
  absl::Duration response = absl::Milliseconds(800);
  /// Longest time for opening a connection to the configuration service.
  absl::Duration connect = absl::Milliseconds(500);
  /// Longest pause after the first failed call.
  absl::Duration failure_pause;
  /// How often a host decides whether to read the configuration service.
  absl::Duration check_period = absl::Milliseconds(250);
  /// Hosts draw the age of peers' proofs after which they read themselves from
  /// this range, so that those which lose the same peer do not all call at the
  /// same moment: the first one informs the others.
  absl::Duration min_peer_age;
  absl::Duration max_peer_age;
  /// Hosts draw the pause after several failed calls from this range: they
  /// retry within the time for which a restored path to the configuration
  /// service may go unnoticed.
  absl::Duration min_retry_pause = absl::Milliseconds(2000);
  absl::Duration max_retry_pause = absl::Milliseconds(3000);
  absl::Duration behind_log;
  absl::Duration outdated_log;

  /// @param fraction a random number in [0, 1).
  absl::Duration PeerAge(double fraction) const;
  absl::Duration RetryPause(double fraction) const;
};

}  // namespace cherrydyke
