#include "dispatch/handover_choice.h"

#include <algorithm>
#include <array>
#include <utility>

#include "membership/domain_sample.h"

namespace cherrydyke {
namespace {

/// How long an offer is valid: several rounds of questions.
constexpr absl::Duration kOfferValidity = absl::Milliseconds(1500);
/// Requests handed to one peer at the same time; more would wait for each
/// other there.
constexpr int kMaxInFlightPerPeer = 32;
/// Requests of other hosts that a host runs at the same time.
constexpr int kMaxTakenOver = 128;
/// Above this the host is short of processor time.
constexpr absl::Duration kMaxLateness = absl::Milliseconds(40);

}  // namespace

bool MayHandOver(const std::vector<ServiceName>& services,
                 const TriedTargets& tried, bool idempotent, size_t min_parts,
                 int max_attempts) {
  if (tried.empty()) return true;
  if (!idempotent) return false;
  const auto remaining = std::count_if(
      services.begin(), services.end(), [&](const ServiceName& service) {
        const auto found = tried.find(service);
        return found == tried.end() ||
               static_cast<int>(found->second.size()) < max_attempts;
      });
  return static_cast<size_t>(remaining) >= min_parts;
}

uint32_t HandoverServiceHash(const ServiceName& service) {
  return static_cast<uint32_t>(StableHash(service));
}

const char* HandoverObstacleName(HandoverObstacle obstacle) {
  switch (obstacle) {
    case HandoverObstacle::kNoOffer:
      return "no_offer";
    case HandoverObstacle::kSilent:
      return "silent";
    case HandoverObstacle::kUnavailable:
      return "unavailable";
    case HandoverObstacle::kExcluded:
      return "excluded";
    case HandoverObstacle::kBusy:
      return "busy";
    case HandoverObstacle::kOtherRegion:
      return "other_region";
    case HandoverObstacle::kLacksServices:
      return "lacks_services";
  }
  return "";
}

bool MayReceive(const RegionName& region,
                const std::vector<RegionName>& allowed_regions) {
  return allowed_regions.empty() ||
         std::find(allowed_regions.begin(), allowed_regions.end(), region) !=
             allowed_regions.end();
}

std::optional<HandoverObstacle> FindHandoverObstacle(
    const HandoverCandidate& candidate, const HandoverCriteria& criteria,
    absl::Time now) {
  if (now - candidate.offered_at > kOfferValidity) {
    return HandoverObstacle::kNoOffer;
  }
  if (candidate.is_silent) return HandoverObstacle::kSilent;
  if (!candidate.offer.available) return HandoverObstacle::kUnavailable;
  if (now < candidate.excluded_until) return HandoverObstacle::kExcluded;
  if (candidate.in_flight >= kMaxInFlightPerPeer) {
    return HandoverObstacle::kBusy;
  }
  if (!MayReceive(candidate.region, criteria.allowed_regions)) {
    return HandoverObstacle::kOtherRegion;
  }
  const auto& unreachable = candidate.offer.unreachable_services;
  const auto missing = std::count_if(
      criteria.services.begin(), criteria.services.end(),
      [&](const ServiceName& service) {
        return std::find(unreachable.begin(), unreachable.end(),
                         HandoverServiceHash(service)) != unreachable.end();
      });
  if (static_cast<size_t>(missing) > criteria.dispensable_services) {
    return HandoverObstacle::kLacksServices;
  }
  return std::nullopt;
}

bool CanTakeOver(const HandoverCandidate& candidate,
                 const HandoverCriteria& criteria, absl::Time now) {
  return !FindHandoverObstacle(candidate, criteria, now);
}

std::optional<size_t> ChooseHandoverPeer(
    const std::vector<HandoverCandidate>& candidates,
    const HandoverCriteria& criteria, absl::Time now, std::mt19937_64& random) {
  const auto rank = [&](size_t index) {
    const HandoverCandidate& candidate = candidates[index];
    return std::make_pair(
        candidate.offer.config_version < criteria.config_version,
        candidate.distance);
  };
  std::vector<size_t> nearest;
  for (size_t index = 0; index < candidates.size(); ++index) {
    if (!CanTakeOver(candidates[index], criteria, now)) continue;
    if (!nearest.empty() && rank(index) < rank(nearest.front())) {
      nearest.clear();
    }
    if (nearest.empty() || rank(index) == rank(nearest.front())) {
      nearest.push_back(index);
    }
  }
  if (nearest.empty()) return std::nullopt;
  std::shuffle(nearest.begin(), nearest.end(), random);
  const auto load = [&](size_t index) {
    return candidates[index].in_flight + candidates[index].offer.running;
  };
  if (nearest.size() > 1 && load(nearest[1]) < load(nearest[0])) {
    return nearest[1];
  }
  return nearest[0];
}

std::vector<size_t> SampleHandoverPeers(
    const std::vector<FailureDomainName>& hosts, const Locality& locality,
    size_t limit, std::mt19937_64& random) {
  std::array<std::vector<size_t>, kDistanceCount> by_distance;
  for (size_t index = 0; index < hosts.size(); ++index) {
    const Distance distance =
        locality.DistanceBetween(locality.failure_domain, hosts[index]);
    by_distance[static_cast<size_t>(distance)].push_back(index);
  }
  // Hosts at equal distance, alternating between their failure domains.
  for (std::vector<size_t>& group : by_distance) {
    std::vector<FailureDomainName> domains;
    domains.reserve(group.size());
    for (const size_t index : group) domains.push_back(hosts[index]);
    std::vector<size_t> sampled;
    for (const size_t at : SampleAcrossDomains(domains, limit, random)) {
      sampled.push_back(group[at]);
    }
    group = std::move(sampled);
  }
  std::vector<size_t> chosen;
  for (size_t round = 0; round < limit && chosen.size() < limit; ++round) {
    for (const std::vector<size_t>& group : by_distance) {
      if (round < group.size() && chosen.size() < limit) {
        chosen.push_back(group[round]);
      }
    }
  }
  return chosen;
}

bool HasRoomToTakeOver(int running, absl::Duration lateness) {
  return running < kMaxTakenOver && lateness < kMaxLateness;
}

}  // namespace cherrydyke
