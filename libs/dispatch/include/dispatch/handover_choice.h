#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "membership/locality.h"

namespace cherrydyke {

/// Targets that have run or may have run a request, by service.
using TriedTargets = std::map<ServiceName, std::vector<TargetId>>;

/// Decides whether a request that may already have run at some targets may be
/// handed to another host, which would send it to further targets.
/// @param services of the request, one for each part of the answer.
/// @param min_parts minimum number of parts of an answer.
/// @param max_attempts maximum number of targets of each service.
bool MayHandOver(const std::vector<ServiceName>& services,
                 const TriedTargets& tried, bool idempotent, size_t min_parts,
                 int max_attempts);

/// What a host says about itself when it is asked whether it takes requests
/// over.
struct HandoverOffer {
  /// Whether it accepts requests and reaches targets.
  bool available = false;
  int64_t config_version = 0;
  /// Hashes of the services in use of which it reaches no target.
  std::vector<uint32_t> unreachable_services;
  /// Requests of other hosts that it is running.
  int running = 0;

  friend bool operator==(const HandoverOffer& a, const HandoverOffer& b) {
    return std::tie(a.available, a.config_version, a.unreachable_services,
                    a.running) == std::tie(b.available, b.config_version,
                                           b.unreachable_services, b.running);
  }
};

/// @return the hash of a service in a `HandoverOffer`.
uint32_t HandoverServiceHash(const ServiceName& service);

/// A host to which requests may be handed over, as known to this host.
struct HandoverCandidate {
  RegionName region;
  Distance distance = Distance::kOtherRegion;
  HandoverOffer offer;
  /// When the offer arrived.
  absl::Time offered_at = absl::InfinitePast();
  /// When it last offered to take requests over.
  absl::Time available_at = absl::InfinitePast();
  /// Whether it did not answer when it was last asked or sent a request, and
  /// when that was last so.
  bool is_silent = false;
  absl::Time silent_at = absl::InfinitePast();
  /// Until when it gets nothing, because it rejected a request.
  absl::Time excluded_until = absl::InfinitePast();
  /// Requests that this host has handed to it and that have not ended.
  int in_flight = 0;
};

/// Requirements of one request that is to be handed over.
struct HandoverCriteria {
  /// The configuration by which it was accepted: a host with an older one might
  /// run what is no longer allowed, and rejects it.
  int64_t config_version = 0;
  std::vector<ServiceName> services;
  /// How many of the services may be out of the peer's reach.
  size_t dispensable_services = 0;
  /// Regions that may receive the request; empty for all.
  std::vector<RegionName> allowed_regions;
};

/// Why a candidate cannot run a request.
enum class HandoverObstacle {
  kNoOffer,
  kSilent,
  kUnavailable,
  kExcluded,
  kBusy,
  kOtherRegion,
  kLacksServices,
};

/// @return the name of an obstacle in log lines.
const char* HandoverObstacleName(HandoverObstacle obstacle);

/// @return whether a request may be sent to a host in the region.
/// @param allowed_regions empty for all.
bool MayReceive(const RegionName& region,
                const std::vector<RegionName>& allowed_regions);

/// @return the first obstacle found to the candidate's running the request, as
/// far as known; nothing if it can. An older configuration in its offer is
/// none, as it may have a newer one by now.
std::optional<HandoverObstacle> FindHandoverObstacle(
    const HandoverCandidate& candidate, const HandoverCriteria& criteria,
    absl::Time now);

/// @return whether there is no obstacle.
bool CanTakeOver(const HandoverCandidate& candidate,
                 const HandoverCriteria& criteria, absl::Time now);

/// Chooses the peer that a request is handed to: one of the nearest that can
/// run it, preferably one known to have a configuration that is not older; of
/// two random ones that with fewer requests, so that the peers share the load
/// even if their offers are a little old.
/// @return the index of the candidate, or nothing if none can run it.
std::optional<size_t> ChooseHandoverPeer(
    const std::vector<HandoverCandidate>& candidates,
    const HandoverCriteria& criteria, absl::Time now, std::mt19937_64& random);

/// Chooses hosts to ask for offers: some near, some in other failure domains
/// and regions, as the hosts of a whole failure domain may be partitioned.
/// @param hosts failure domain of each host.
/// @return indices of at most `limit` hosts.
std::vector<size_t> SampleHandoverPeers(
    const std::vector<FailureDomainName>& hosts, const Locality& locality,
    size_t limit, std::mt19937_64& random);

/// Decides whether a host takes over a request, so that its own callers are not
/// starved: while it keeps up with its events it has room.
/// @param running requests of other hosts that it is running.
/// @param lateness how late its timers fire.
bool HasRoomToTakeOver(int running, absl::Duration lateness);

}  // namespace cherrydyke
