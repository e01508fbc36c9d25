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
  /// Part of each bound that the sum of no path may use.
  static constexpr double kReserveRatio = 0.125;
  /// Limits, as parts of the bound, of the age of peers' proofs after which a
  /// host reads itself, and the width of the range from which hosts draw it.
  static constexpr double kLeastPeerAgeRatio = 0.4;
  static constexpr double kMostPeerAgeRatio = 0.6;
  static constexpr double kPeerAgeSpreadRatio = 0.1;
  /// Part of the longest pause that hosts pause at least.
  static constexpr double kMinRetryPauseRatio = 0.8;
  /// A host that knows of newer items for this part of the bound says so.
  static constexpr double kBehindLogRatio = 0.1;
  /// Items that were not proven current for this part of the bound are reported
  /// as possibly outdated.
  static constexpr double kOutdatedLogRatio = 0.75;

  /// Time after which a host that reaches the configuration service again must
  /// have what changed meanwhile.
  static constexpr absl::Duration kContactTime = absl::Seconds(5);
  static constexpr absl::Duration kMaxReceive = absl::Seconds(3);
  static constexpr absl::Duration kMaxPatience = absl::Seconds(30);
  /// A round trip to a service in another region.
  static constexpr absl::Duration kRoundTrip = absl::Milliseconds(42);
  /// Time for which a host may get no processor time.
  static constexpr absl::Duration kWithoutProcessor = absl::Milliseconds(100);
  /// Time that a proof's datagrams are on their way, which its age lacks.
  static constexpr absl::Duration kDatagramsOnWay = absl::Milliseconds(200);

  /// Below bounds of about 4 s the calls alone leave too little for the
  /// reserve; peers' proofs then still keep hosts from reading.
  /// @param bound time within which the tightest kind of change must take
  /// effect.
  static PublishingTimes For(absl::Duration bound);

  absl::Duration bound;
  absl::Duration watch;
  /// Shortest watch, of a host whose proof is as old as a watch lasts.
  absl::Duration min_watch = absl::Milliseconds(100);
  /// A call is late, and another one is made beside it, after this time until
  /// the first byte of its response, beside its watch. On a path that is known
  /// to be slow it takes longer, `max_response` at most.
  absl::Duration response = absl::Milliseconds(600);
  /// The longest round trip with which a change can be in force in time.
  absl::Duration max_response;
  /// The same without a reserve: a path on which calls take longer is as good
  /// as cut, and the service as good as away.
  absl::Duration outage_response;
  /// A call is late this time after the first byte of its response: a large
  /// configuration on a slow link that carries requests as well.
  absl::Duration receive;
  /// A call is late, likewise, this time after its start if it has no
  /// connection to the configuration service yet.
  absl::Duration connect = absl::Milliseconds(500);
  /// Time without a byte after which a late call is given up, at first and at
  /// most: it grows until a call is answered, so that no path is too slow for
  /// ever.
  absl::Duration patience;
  absl::Duration max_patience;
  /// Longest pause after the first failed call.
  absl::Duration failure_pause;
  /// How often a host decides whether to read the configuration service.
  absl::Duration check_period = absl::Milliseconds(250);
  /// Hosts draw the age of peers' proofs after which they read themselves from
  /// this range, so that those which lose the same peer do not all call at the
  /// same moment: the first one informs the others.
  absl::Duration min_peer_age;
  absl::Duration max_peer_age;
  /// Hosts draw the pause after several failed calls from this range: long, so
  /// that an outage does not make a large fleet call all the time, but within
  /// the time for which a restored path may go unnoticed.
  absl::Duration min_retry_pause;
  absl::Duration max_retry_pause;
  absl::Duration behind_log;
  absl::Duration outdated_log;
  /// How long what a restored service has lost stays in force: until the bounds
  /// hold again after it.
  absl::Duration retention;

  /// @param fraction a random number in [0, 1).
  absl::Duration PeerAge(double fraction) const;
  absl::Duration RetryPause(double fraction) const;

 private:
  /// @return the longest time of a call that gets no response.
  absl::Duration LostCall() const { return min_watch + response; }
  /// @return the longest time until a host decides, later than it should.
  absl::Duration Decision() const {
    return 2 * check_period + kWithoutProcessor;
  }
};

}  // namespace cherrydyke
