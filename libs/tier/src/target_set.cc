#include "tier/target_set.h"

#include <algorithm>
#include <utility>

#include "target.h"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

/// Round trips assumed until latency was learned: inside a failure domain,
/// inside a region, and between regions.
constexpr absl::Duration kDomainRoundTrip = absl::Milliseconds(1);
constexpr absl::Duration kRegionRoundTrip = absl::Milliseconds(3);
constexpr absl::Duration kRemoteRoundTrip = absl::Milliseconds(42);
/// What it costs a request to meet a failure: the time to ask another target
/// and a part of the budget.
constexpr absl::Duration kFailureCost = absl::Milliseconds(80);
/// Added for a target that seems not to answer: more than any distance.
constexpr absl::Duration kSuspectCost = absl::Seconds(2);
/// Added for a cold target, which is slow and bears little.
constexpr absl::Duration kColdCost = absl::Milliseconds(400);
/// Added for a target that may be gone.
constexpr absl::Duration kMissingCost = absl::Seconds(1);
/// Part of a target's connections that is divided among the hosts; the rest is
/// for connections that the target has not yet seen closed.
constexpr double kConnectionPart = 0.9;
/// Most connections of this host to one target: more would only queue there.
constexpr int kMaxConnections = 12;
/// How long the connections of a dropped target are kept, so that requests
/// which still run there end with their answers: longer than any request.
constexpr absl::Duration kRetireTime = absl::Seconds(10);

}  // namespace

TargetSet::TargetSet(engine::EventLoop& loop, Locality locality,
                     FleetBounds bounds, engine::ClientOptions options,
                     const HostTable& hosts, Observer& observer)
    : loop_(loop),
      locality_(std::move(locality)),
      bounds_(bounds),
      options_(std::move(options)),
      hosts_(hosts),
      observer_(observer),
      budget_(bounds) {
  budget_.SetHosts(hosts.SharingHosts(loop.Now()));
}

TargetSet::~TargetSet() = default;

RegionName TargetSet::RegionOf(const FailureDomainName& domain) const {
  const auto found = locality_.regions.find(domain);
  return found == locality_.regions.end() ? "" : found->second;
}

absl::Duration TargetSet::DistanceTo(const FailureDomainName& domain) const {
  if (domain == locality_.failure_domain) return kDomainRoundTrip;
  return RegionOf(domain) == RegionOf(locality_.failure_domain)
             ? kRegionRoundTrip
             : kRemoteRoundTrip;
}

TargetSet::Target* TargetSet::Find(const TargetId& id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : found->second.get();
}

void TargetSet::SetTargets(std::vector<TargetInfo> targets,
                           absl::Duration missing_grace) {
  const absl::Time now = loop_.Now();
  std::set<TargetId> listed;
  for (TargetInfo& info : targets) {
    listed.insert(info.id);
    Update(std::move(info), now);
  }
  for (auto& [id, target] : targets_) {
    if (listed.count(id) > 0) continue;
    if (target->gone_at == absl::InfiniteFuture()) {
      target->gone_at = now + missing_grace;
    }
  }
  DropGone(now);
  if (missing_grace > absl::ZeroDuration()) {
    loop_.RunAfter(missing_grace, [this] { DropGone(loop_.Now()); });
  }
}

void TargetSet::Update(TargetInfo info, absl::Time now) {
  Target* target = Find(info.id);
  const bool same_lifetime = target != nullptr &&
                             target->info.endpoint == info.endpoint &&
                             target->info.service == info.service &&
                             target->info.born_ms == info.born_ms;
  // A report of the same lifetime that arrives late says nothing new.
  if (same_lifetime && info.born_ms && info.sequence < target->info.sequence) {
    return;
  }
  if (!same_lifetime) {
    auto fresh =
        std::make_unique<Target>(*this, info, DistanceTo(info.failure_domain));
    std::vector<Target*>& peers = by_service_[info.service];
    if (target != nullptr) {
      std::vector<Target*>& old = by_service_[target->info.service];
      old.erase(std::remove(old.begin(), old.end(), target), old.end());
      Retire(std::move(targets_[info.id]));
    }
    target = fresh.get();
    peers.push_back(target);
    targets_[info.id] = std::move(fresh);
  }
  if (info.draining && !target->info.draining) {
    LogInfo("target drains", {{"target", info.id}, {"service", info.service}});
  }
  const bool drains = target->info.draining && same_lifetime;
  target->info = std::move(info);
  // Nobody who leaves comes back in the same lifetime.
  if (drains && target->info.born_ms) target->info.draining = true;
  target->gone_at = absl::InfiniteFuture();
  target->wrong = false;
  target->cold_until = target->info.warmup_left > absl::ZeroDuration()
                           ? now + target->info.warmup_left
                           : absl::InfinitePast();
  Divide(*target);
}

void TargetSet::DropGone(absl::Time now) {
  for (auto entry = targets_.begin(); entry != targets_.end();) {
    Target* const target = entry->second.get();
    if (now < target->gone_at) {
      ++entry;
      continue;
    }
    LogInfo("target gone",
            {{"target", target->info.id}, {"service", target->info.service}});
    std::vector<Target*>& peers = by_service_[target->info.service];
    peers.erase(std::remove(peers.begin(), peers.end(), target), peers.end());
    Retire(std::move(entry->second));
    targets_.erase(entry++);
  }
}

void TargetSet::Retire(TargetPtr target) {
  loop_.RunAfter(kRetireTime,
                 [kept = std::shared_ptr<Target>(std::move(target))] {});
}

void TargetSet::SetOrders(TargetOrders orders) {
  orders_ = std::move(orders);
  for (auto& [id, target] : targets_) Divide(*target);
}

void TargetSet::OnHostsChanged() {
  budget_.SetHosts(hosts_.SharingHosts(loop_.Now()));
  for (auto& [id, target] : targets_) Divide(*target);
}

void TargetSet::Divide(Target& target) const {
  const auto spec = orders_.services.find(target.info.service);
  if (spec == orders_.services.end()) return;
  const int hosts = hosts_.SharingHosts(loop_.Now());
  const int share =
      static_cast<int>(kConnectionPart * spec->second.max_connections / hosts);
  target.connection_limit = std::clamp(share, 1, kMaxConnections);
  target.pool->SetLimit(target.connection_limit);
  const double per_second =
      spec->second.warmup_per_s * bounds_.warmup_overage + bounds_.warmup_slack;
  target.cold_share = ColdShare(per_second, target.info.id, locality_.host,
                                hosts_.KnownHosts());
}

void TargetSet::OnRequest(const ServiceName& service) {
  budget_.OnRequest(service, loop_.Now());
}

bool TargetSet::IsExcluded(const Target& target,
                           const PlacementNeed& need) const {
  if (need.exclude != nullptr &&
      std::find(need.exclude->begin(), need.exclude->end(), target.info.id) !=
          need.exclude->end()) {
    return true;
  }
  if (need.allowed_regions == nullptr || need.allowed_regions->empty()) {
    return false;
  }
  const RegionName region = RegionOf(target.info.failure_domain);
  return std::find(need.allowed_regions->begin(), need.allowed_regions->end(),
                   region) == need.allowed_regions->end();
}

bool TargetSet::MayUse(const Target& target, const PlacementNeed& need,
                       absl::Time now) const {
  if (target.info.draining || target.wrong || now >= target.gone_at) {
    return false;
  }
  if (orders_.evacuated.count(target.info.failure_domain) > 0) return false;
  return !IsExcluded(target, need);
}

absl::Duration TargetSet::Cost(Target& target, absl::Time now) const {
  absl::Duration cost = target.health.Expected(std::max(1, target.info.slots),
                                               target.connection_limit, now);
  cost += target.health.FailureRate(now) * kFailureCost;
  if (target.health.IsSuspect(now)) cost += kSuspectCost;
  if (target.IsCold(now)) cost += kColdCost;
  if (target.gone_at != absl::InfiniteFuture()) cost += kMissingCost;
  return cost;
}

std::optional<Placed> TargetSet::Place(const PlacementNeed& need,
                                       absl::Time now) {
  const auto found = by_service_.find(need.service);
  if (found == by_service_.end()) return std::nullopt;
  Target* best = nullptr;
  absl::Duration best_cost = absl::InfiniteDuration();
  absl::Duration next_cost = absl::InfiniteDuration();
  for (Target* target : found->second) {
    if (!MayUse(*target, need, now)) continue;
    if (target->IsCold(now) && !target->cold.MaySend(target->cold_share, now)) {
      continue;
    }
    const absl::Duration cost = Cost(*target, now);
    if (need.extra == ExtraUse::kHelpful && now + cost > need.useful_until) {
      continue;
    }
    if (cost < best_cost) {
      next_cost = best_cost;
      best = target;
      best_cost = cost;
    } else {
      next_cost = std::min(next_cost, cost);
    }
  }
  if (best == nullptr) return std::nullopt;
  if (need.extra && !budget_.TryTake(need.service, *need.extra, now)) {
    return std::nullopt;
  }
  best->cold.OnSent(now);
  const Placed placed{best->info.id, best->health.OverdueAfter(now), best_cost,
                      next_cost};
  best->health.OnSent();
  return placed;
}

engine::ExchangeId TargetSet::Send(const TargetId& id,
                                   engine::PoolRequest request) {
  Target* const target = Find(id);
  return target == nullptr ? 0 : target->pool->Send(std::move(request));
}

void TargetSet::Unplace(const TargetId& id) {
  if (Target* const target = Find(id)) target->health.OnAbandoned();
}

void TargetSet::Cancel(const TargetId& id, engine::ExchangeId exchange,
                       absl::Duration grace) {
  Target* const target = Find(id);
  if (target == nullptr) return;
  target->health.OnAbandoned();
  target->pool->Cancel(exchange, grace);
}

void TargetSet::OnEnded(const TargetId& id, TargetSign sign,
                        absl::Duration latency) {
  if (Target* const target = Find(id)) {
    target->health.OnEnded(sign, latency, loop_.Now());
  }
}

void TargetSet::OnWrongTarget(const TargetId& id) {
  Target* const target = Find(id);
  if (target == nullptr) return;
  target->wrong = true;
  LogInfo("another target has the address",
          {{"target", id}, {"endpoint", target->info.endpoint}});
}

void TargetSet::OnOverdue(const TargetId& id, absl::Time sent_at) {
  if (Target* const target = Find(id)) {
    target->health.OnOverdue(sent_at, loop_.Now());
  }
}

void TargetSet::OnLoad(const TargetId& id, TargetLoad load) {
  if (Target* const target = Find(id)) {
    target->health.OnLoad(load, loop_.Now());
  }
}

void TargetSet::OnLostRequest(const TargetId& id, uint64_t fingerprint) {
  if (Target* const target = Find(id)) {
    target->lost.push_back({loop_.Now(), fingerprint});
    // A refused connection tells a crash from an answer that was lost.
    target->pool->Probe();
  }
}

int TargetSet::open_connections() const {
  int open = 0;
  for (const auto& [id, target] : targets_) {
    open += target->pool->open_connections();
  }
  return open;
}

}  // namespace cherrydyke
