#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "dispatch/crash_tracker.h"
#include "dispatch/target_health_report.h"
#include "membership/host_table.h"
#include "tier/published_freshness.h"
#include "tier/published_version.h"
#include "tier/transit_time.h"

namespace cherrydyke {

/// The state that one host sends to others in a gossip datagram.
struct GossipMessage {
  MembershipUpdate membership_update;
  Revision config_revision = 0;
  Revision targets_revision = 0;
  std::vector<CrashReport> crashes;
  /// The sender's recent observations of targets.
  std::vector<TargetHealthReport> reports;
  /// Version up to which the sender misses no change. Hosts of earlier versions
  /// send no era, which is then the first one; still earlier ones send neither
  /// it nor proofs, and it is then the newest of the above.
  PublishedVersion known_until;
  /// Proofs of how current its items are.
  std::vector<ReadProof> proofs;
  /// For the host to which this message is sent; hosts of earlier versions send
  /// none.
  TransitStamp stamp;

  friend bool operator==(const GossipMessage& a, const GossipMessage& b) {
    return std::tie(a.membership_update, a.config_revision, a.targets_revision,
                    a.crashes, a.reports, a.known_until, a.proofs, a.stamp) ==
           std::tie(b.membership_update, b.config_revision, b.targets_revision,
                    b.crashes, b.reports, b.known_until, b.proofs, b.stamp);
  }
};

/// @return the serialized datagram.
std::string EncodeGossipMessage(const GossipMessage& message);
/// Replaces the stamp of a serialized datagram: the rest is the same for all
/// recipients.
/// @param datagram result of `EncodeGossipMessage`.
void ReplaceStamp(const TransitStamp& stamp, std::string& datagram);
/// Decodes a message of this version, or of one whose messages lack the era, or
/// also the stamp, or also proofs.
/// @return the message, or `kInvalidInput` if the datagram is malformed.
Result<GossipMessage> DecodeGossipMessage(const std::string& datagram);

}  // namespace cherrydyke
