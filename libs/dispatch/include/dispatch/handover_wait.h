#pragma once

#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/handover_choice.h"

namespace cherrydyke {

/// A request that a host without a path to targets has not begun, and that no
/// peer can take over now.
struct UnplacedRequest {
  HandoverCriteria criteria;
  absl::Time received_at;
  absl::Time deadline;
};

/// Decides how long a request waits for a peer before it is handled anew.
///
/// Hosts that took requests over until a moment ago and have fallen silent may
/// be back in time: they are frozen or restart. A request waits for them only
/// as long as its caller can still use a refusal, and no longer than until a
/// peer that answers may be asked again. Peers that answer and take nothing
/// over are not waited for. A host that hears from none is cut off itself, and
/// its callers are better served elsewhere.
/// @param heard_at when a message of any host last arrived.
/// @return until when it may wait; nothing if it is to be refused at once.
std::optional<absl::Time> HandoverWaitEnd(
    const std::vector<HandoverCandidate>& candidates,
    const UnplacedRequest& request, absl::Time heard_at, absl::Time now);

/// @return whether a peer took requests over until a moment ago and does not
/// answer, or has only just begun to answer again.
bool IsExpectedBack(const HandoverCandidate& candidate, absl::Time now);

}  // namespace cherrydyke
