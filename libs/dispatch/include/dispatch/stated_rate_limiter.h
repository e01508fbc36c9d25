#pragma once

#include <optional>
#include <tuple>

#include "absl/time/time.h"
#include "dispatch/sliding_window_counter.h"

namespace cherrydyke {

/// A request rate that a target instance stated in its responses, for all hosts
/// together.
struct StatedRate {
  double per_second = 0;
  /// When the request was sent whose response stated it last.
  absl::Time sent_at;

  friend bool operator==(const StatedRate& a, const StatedRate& b) {
    return std::tie(a.per_second, a.sent_at) ==
           std::tie(b.per_second, b.sent_at);
  }
};

/// Limits the requests that this host sends to one target to its share of the
/// rate that the target stated. The share is a whole number of requests in a
/// window of a few seconds: with hundreds of hosts, each has less than one
/// request per second. Hosts beyond the quota have no share and use other
/// targets.
///
/// The rate holds until a response to a later request states none. A host that
/// has not heard of it for some time may send one request to ask; the more
/// hosts there are for the rate, the less often. Pure: time and randomness are
/// arguments.
///
///     limiter.OnResponse(reply.rate, sent_at, {hosts, random_fraction}, now);
///     if (limiter.MaySend(shares.StrictShareOf(limiter.Quota(), rank), now))
///       limiter.OnSent(now);
class StatedRateLimiter {
 public:
  /// What spreads the requests by which hosts ask whether a rate still holds.
  struct Spread {
    /// Hosts that share the rate.
    int hosts = 1;
    /// A random number in [0, 1).
    double random_fraction = 0;
  };

  StatedRateLimiter();

  /// Applies what a response states.
  /// @param per_second the stated rate, or nothing if it states none.
  /// @param sent_at when the request was sent: responses may arrive out of
  /// order.
  /// @return whether a rate was set, changed or lifted.
  bool OnResponse(std::optional<double> per_second, absl::Time sent_at,
                  const Spread& spread, absl::Time now);
  /// Takes over a rate that the same instance stated before.
  void Restore(const StatedRate& rate, const Spread& spread, absl::Time now);

  const std::optional<StatedRate>& rate() const { return rate_; }
  /// @return requests that all hosts together may send in one window.
  double Quota() const;

  /// @param share this host's share of `Quota`.
  /// @return whether one more request may be sent now.
  bool MaySend(int share, absl::Time now);
  void OnSent(absl::Time now);

 private:
  std::optional<StatedRate> rate_;
  /// From when one request may be sent to ask whether the rate still holds.
  absl::Time stale_at_ = absl::InfiniteFuture();
  SlidingWindowCounter sent_in_window_;
  SlidingWindowCounter sent_in_second_;
};

}  // namespace cherrydyke
