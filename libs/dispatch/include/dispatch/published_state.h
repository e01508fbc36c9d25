#pragma once

#include <tuple>

#include "absl/time/time.h"

namespace cherrydyke {

/// How current a host's published items are.
struct PublishedState {
  /// Time since the items were last proven to be current; the time since the
  /// host's start if they never were.
  absl::Duration age;
  /// Time for which the host has known of newer items; zero if it knows of
  /// none.
  absl::Duration behind;
  /// Whether the items were ever proven to be current, at whatever age.
  bool was_proven = false;

  friend bool operator==(const PublishedState& a, const PublishedState& b) {
    return std::tie(a.age, a.behind, a.was_proven) ==
           std::tie(b.age, b.behind, b.was_proven);
  }
};

/// Decides whether a host may answer that a route does not exist because its
/// route table lacks it. Callers do not repeat a request after such an answer,
/// so that a host whose table may be outdated has to refuse the request
/// instead.
///
/// A host that has just started has the items of a peer, without a proof yet.
/// It denies routes for the time of the deadline, unless it knows that items
/// are missing: otherwise each start would make callers repeat requests that
/// no host can serve.
///
/// @param deadline time within which a published change must take effect.
bool MayDenyRoute(const PublishedState& state, absl::Duration deadline);

}  // namespace cherrydyke
