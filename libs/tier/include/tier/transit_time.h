#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// What a message tells of the time of its sending, and of earlier messages in
/// the other direction.
struct TransitStamp {
  /// Of the sender's process, whose clock may have another origin than the one
  /// before; 0 in messages of earlier versions, which have no stamp.
  uint32_t incarnation = 0;
  /// By the sender's clock.
  absl::Time sent_at = absl::UnixEpoch();
  /// The recipient's incarnation from which the sender has messages; 0 if it
  /// has none.
  uint32_t echoed_incarnation = 0;
  /// The least difference of the sender's clock at the arrival of one of these
  /// and the recipient's clock at its sending.
  absl::Duration echoed_difference;

  friend bool operator==(const TransitStamp& a, const TransitStamp& b) {
    return std::tie(a.incarnation, a.sent_at, a.echoed_incarnation,
                    a.echoed_difference) == std::tie(b.incarnation, b.sent_at,
                                                     b.echoed_incarnation,
                                                     b.echoed_difference);
  }
};

/// The time that a message was on its way.
struct TransitTime {
  /// None if it is one of the first messages of its sender and nothing is known
  /// of it yet.
  std::optional<absl::Duration> time;
  /// Whether it was on its way for no longer, as messages in both directions
  /// show. Otherwise the time is the excess over the fastest message of the
  /// sender, which does not show a lateness that all of them had.
  bool is_bounded = false;

  friend bool operator==(const TransitTime& a, const TransitTime& b) {
    return std::tie(a.time, a.is_bounded) == std::tie(b.time, b.is_bounded);
  }
};

/// Bounds the time that peers' messages were on their way, including the time
/// that they waited in the buffer of a host that was frozen.
///
/// Clocks of two hosts differ by an unknown offset. It cancels out in the sum
/// of the difference of clocks at a message's arrival and sending, and the same
/// of an earlier message in the other direction: this sum is the time that both
/// were on their way. Differences are forgotten after some minutes, because the
/// rates of clocks differ as well.
///
/// Pure: time is an argument.
class TransitTimes {
 public:
  /// Peers of which differences are kept.
  static constexpr size_t kMaxPeers = 4096;
  /// Differences are kept for this time at least, and three times as long at
  /// most.
  static constexpr absl::Duration kWindow = absl::Minutes(5);
  /// Within this time of its first message a peer that can be reached sends one
  /// that is bounded.
  static constexpr absl::Duration kEchoTime = absl::Seconds(3);

  /// @param incarnation of this process, not 0.
  explicit TransitTimes(uint32_t incarnation) : incarnation_(incarnation) {}

  /// @return the stamp of a message that is sent to a peer now.
  TransitStamp StampFor(const HostId& peer, absl::Time now) const;

  /// A peer's message has arrived.
  TransitTime OnMessage(const HostId& peer, const TransitStamp& stamp,
                        absl::Time now);

  /// @return peers of which differences are kept.
  size_t size() const { return peers_.size(); }

 private:
  /// The least difference of messages of one incarnation.
  struct LeastDifference {
    uint32_t incarnation = 0;
    absl::Time first_heard_at;
    absl::Time window_started_at;
    absl::Duration in_window = absl::InfiniteDuration();
    absl::Duration in_window_before = absl::InfiniteDuration();
    absl::Time heard_at;

    void Add(absl::Duration difference, absl::Time now);
    absl::Duration Get() const;
  };
  /// The incarnations last heard of, the latest first: messages of the one
  /// before may arrive after a restart.
  using Peer = std::vector<LeastDifference>;

  LeastDifference& Find(const HostId& peer, uint32_t incarnation,
                        absl::Time now);
  void DropUnheardPeers(absl::Time now);
  void MakeRoom();

  const uint32_t incarnation_;
  std::map<HostId, Peer> peers_;
  absl::Time dropped_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
