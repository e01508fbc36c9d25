#include "tier/target_set.h"

#include <algorithm>
#include <limits>
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
/// Part of a target's connections that is divided among the hosts; the rest is
/// for connections that the target has not yet seen closed.
constexpr double kConnectionPart = 0.9;
/// Part of a target's connections that hosts may keep open beside those in use.
/// Were all hosts lost at once, the target would hold their connections until
/// it times them out, and turn the new ones away as far as they find no room.
constexpr double kSparePart = 0.5;
/// Most connections of this host to one target: more would only queue there.
constexpr int kMaxConnections = 12;
/// How long the connections of a dropped target are kept, so that requests
/// which still run there end with their answers: longer than any request.
constexpr absl::Duration kRetireTime = absl::Seconds(10);

/// How long a borrowed connection is kept after its last request: a host of a
/// large fleet asks each service once in some seconds.
constexpr absl::Duration kBorrowTime = absl::Seconds(10);

/// How often, and for how long after its last request, a service has open
/// connections kept.
constexpr absl::Duration kWarmPeriod = absl::Milliseconds(500);
constexpr absl::Duration kWarmTime = absl::Seconds(5);

absl::Duration RoundTrip(Distance distance) {
  switch (distance) {
    case Distance::kSameDomain:
      return kDomainRoundTrip;
    case Distance::kSameRegion:
      return kRegionRoundTrip;
    case Distance::kOtherRegion:
      return kRemoteRoundTrip;
  }
  return kRemoteRoundTrip;
}

}  // namespace

TargetSet::TargetSet(engine::EventLoop& loop, Locality locality,
                     FleetLimits bounds, engine::ClientOptions options,
                     const HostTable& hosts, Policy policy)
    : loop_(loop),
      locality_(std::move(locality)),
      bounds_(bounds),
      policy_(policy),
      options_(std::move(options)),
      shares_(locality_, hosts),
      budget_(bounds, loop.Now(), policy) {
  shares_.Refresh(loop.Now());
  budget_.SetHostCount(shares_.hosts());
  timers_.Every(kWarmPeriod, [this] { KeepWarm(); });
}

TargetSet::~TargetSet() = default;

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
    timers_.RunAfter(missing_grace, [this] { DropGone(loop_.Now()); });
  }
}

void TargetSet::Update(TargetInfo info, absl::Time now) {
  Target* target = Find(info.id);
  const bool same_lifetime = target != nullptr &&
                             target->info.endpoint == info.endpoint &&
                             target->info.service == info.service &&
                             target->info.start_time_ms == info.start_time_ms;
  // A report of the same lifetime that arrives late says nothing new.
  if (same_lifetime && info.start_time_ms &&
      info.sequence < target->info.sequence) {
    return;
  }
  if (!same_lifetime) {
    const Distance distance = locality_.DistanceBetween(
        locality_.failure_domain, info.failure_domain);
    auto fresh =
        std::make_unique<Target>(*this, info, distance, RoundTrip(distance));
    std::vector<Target*>& peers = by_service_[info.service];
    if (target != nullptr) {
      std::vector<Target*>& old = by_service_[target->info.service];
      old.erase(std::remove(old.begin(), old.end(), target), old.end());
      Retire(std::move(targets_[info.id]));
    }
    target = fresh.get();
    peers.push_back(target);
    by_hash_[target->hash] = target;
    targets_[info.id] = std::move(fresh);
  }
  if (info.draining && !target->info.draining) {
    LogInfo("target drains", {{"target", info.id}, {"service", info.service}});
  }
  const bool drains = target->info.draining && same_lifetime;
  target->info = std::move(info);
  if (!same_lifetime) {
    target->leaving = notices_.IsLeaving(target->lifetime());
    target->opens_at = notices_.BackoffUntil(target->lifetime());
  }
  // Nobody who leaves comes back in the same lifetime.
  if (drains && target->info.start_time_ms) target->info.draining = true;
  target->gone_at = absl::InfiniteFuture();
  target->wrong = false;
  target->cold_until = target->info.warmup_left > absl::ZeroDuration()
                           ? now + target->info.warmup_left
                           : absl::InfinitePast();
  if (!same_lifetime) Divide(*target);
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
  const auto hashed = by_hash_.find(target->hash);
  if (hashed != by_hash_.end() && hashed->second == target.get()) {
    by_hash_.erase(hashed);
  }
  loop_.RunAfter(kRetireTime,
                 [kept = std::shared_ptr<Target>(std::move(target))] {});
}

void TargetSet::SetOrders(TargetOrders orders) {
  orders_ = std::move(orders);
  DivideAll();
}

void TargetSet::OnHostsChanged() {
  shares_.Refresh(loop_.Now());
  budget_.SetHostCount(shares_.hosts());
  DivideAll();
}

void TargetSet::DivideAll() {
  for (auto& [id, target] : targets_) Divide(*target);
}

void TargetSet::Divide(Target& target) {
  const auto spec = orders_.services.find(target.info.service);
  if (spec == orders_.services.end()) return;
  shares_.Update(target.rank, target.info.id, target.info.failure_domain);
  const double connections = kConnectionPart * spec->second.max_connections;
  target.connection_limit =
      std::min(shares_.ShareOf(connections, target.rank), kMaxConnections);
  if (target.connection_limit == 0 && loop_.Now() < target.borrowed_until) {
    target.connection_limit = 1;
  }
  target.may_keep_spare =
      shares_.LastPlace(target.rank) <
      static_cast<size_t>(kSparePart * spec->second.max_connections);
  target.pool->SetLimit(target.connection_limit);
  target.concurrency.SetConnections(target.connection_limit);
  const double per_second =
      spec->second.warmup_per_s * bounds_.warmup_overage + bounds_.warmup_slack;
  // A service that states no rate for cold targets does not limit them.
  target.cold_share = spec->second.warmup_per_s > 0
                          ? shares_.StrictShareOf(per_second, target.rank)
                          : std::numeric_limits<int>::max();
}

void TargetSet::OnRequest(const ServiceName& service) {
  const absl::Time now = loop_.Now();
  budget_.OnRequest(service, now);
  used_at_[service] = now;
}

void TargetSet::Expect(const std::vector<ServiceName>& services) {
  const absl::Time now = loop_.Now();
  for (const ServiceName& service : services) {
    used_at_.try_emplace(service, now);
  }
  KeepWarm();
}

void TargetSet::KeepWarm() {
  const absl::Time now = loop_.Now();
  ReturnBorrowed(now);
  for (const auto& [service, used_at] : used_at_) {
    const auto found = by_service_.find(service);
    if (now - used_at > kWarmTime || found == by_service_.end()) continue;
    std::vector<std::pair<absl::Duration, Target*>> ranked;
    if (std::none_of(
            found->second.begin(), found->second.end(),
            [&](const Target* target) { return CanServe(*target, now); })) {
      Borrow(found->second, {}, now);
    }
    for (Target* target : found->second) {
      if (!MayUse(*target, {}, now) || target->IsCold(now)) continue;
      ranked.emplace_back(ReplicaCost(StateOf(*target, now), now), target);
    }
    const size_t kept =
        std::min(ranked.size(), static_cast<size_t>(policy_.warm_targets));
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end());
    for (size_t index = 0; index < kept; ++index) {
      if (index > 0 && !ranked[index].second->may_keep_spare) continue;
      engine::ConnectionPool& pool = *ranked[index].second->pool;
      if (pool.open_connections() == 0 && !pool.is_paused()) pool.Probe();
    }
  }
}

bool TargetSet::WasTried(const Target& target, const SelectionCriteria& need) {
  return need.exclude != nullptr &&
         std::find(need.exclude->begin(), need.exclude->end(),
                   target.info.id) != need.exclude->end();
}

bool TargetSet::IsInAllowedRegion(const Target& target,
                                  const SelectionCriteria& need) const {
  if (need.allowed_regions == nullptr || need.allowed_regions->empty()) {
    return true;
  }
  const RegionName region = locality_.RegionOf(target.info.failure_domain);
  return std::find(need.allowed_regions->begin(), need.allowed_regions->end(),
                   region) != need.allowed_regions->end();
}

std::optional<ExclusionReason> TargetSet::ObstacleTo(
    const Target& target, const SelectionCriteria& need, absl::Time now) const {
  if (target.info.draining || target.leaving) return ExclusionReason::kLeaving;
  if (now >= target.gone_at) return ExclusionReason::kGone;
  if (target.wrong) return ExclusionReason::kWrongAddress;
  if (now < target.opens_at) return ExclusionReason::kBackoff;
  if (orders_.evacuated.count(target.info.failure_domain) > 0) {
    return ExclusionReason::kEvacuated;
  }
  if (!IsInAllowedRegion(target, need)) return ExclusionReason::kOtherRegion;
  if (WasTried(target, need)) return ExclusionReason::kAlreadyTried;
  if (target.connection_limit == 0) return ExclusionReason::kNoConnection;
  return std::nullopt;
}

bool TargetSet::MayUse(const Target& target, const SelectionCriteria& need,
                       absl::Time now) const {
  return !ObstacleTo(target, need, now);
}

bool TargetSet::CanServe(const Target& target, absl::Time now) const {
  return MayUse(target, {}, now) && !target.health.IsUnresponsive(now);
}

std::optional<ExclusionReason> TargetSet::LimitOf(Target& target,
                                                  const SelectionCriteria& need,
                                                  absl::Time now) const {
  if (target.IsCold(now) && !target.cold.MaySend(target.cold_share, now)) {
    return ExclusionReason::kCold;
  }
  if (policy_.limit_concurrency && !need.is_last_chance &&
      !target.concurrency.HasRoom(target.health.outstanding())) {
    return ExclusionReason::kNoRoom;
  }
  return std::nullopt;
}

ReplicaState TargetSet::StateOf(const Target& target, absl::Time now) const {
  ReplicaState state;
  state.health = &target.health;
  state.slots = target.info.slots;
  state.connections = target.connection_limit;
  state.round_trip = target.round_trip;
  state.connected = target.pool->open_connections() > 0;
  state.cold = target.IsCold(now);
  state.missing = target.gone_at != absl::InfiniteFuture();
  state.reported_backoff = now < target.closed_elsewhere_until;
  state.failure_cost = policy_.failure_cost;
  state.prefer_near = policy_.prefer_near;
  return state;
}

std::optional<SelectedTarget> TargetSet::Select(const SelectionCriteria& need,
                                                absl::Time now) {
  const auto found = by_service_.find(need.service);
  if (found == by_service_.end()) return std::nullopt;
  std::vector<Target*> usable;
  std::vector<ReplicaState> states;
  bool may_borrow = false;
  for (Target* target : found->second) {
    std::optional<ExclusionReason> obstacle = ObstacleTo(*target, need, now);
    if (!obstacle) obstacle = LimitOf(*target, need, now);
    if (obstacle) {
      counts_.passed_over.Add(*obstacle);
      may_borrow = may_borrow || obstacle == ExclusionReason::kNoConnection;
      continue;
    }
    usable.push_back(target);
    states.push_back(StateOf(*target, now));
  }
  std::optional<ReplicaChoice> choice = ChooseReplica(states, now);
  if (may_borrow && (!choice || states[choice->index].health->IsSuspect(now))) {
    if (Target* const lender = Borrow(found->second, need, now)) {
      usable.push_back(lender);
      states.push_back(StateOf(*lender, now));
      choice = ChooseReplica(states, now);
    }
  }
  if (!choice) {
    // All that is left is silent.
    counts_.passed_over.Add(ExclusionReason::kUnresponsive, usable.size());
    return std::nullopt;
  }
  if (need.retry_priority == RetryPriority::kOptional &&
      now + choice->cost > need.answer_needed_by) {
    return std::nullopt;
  }
  Target* const best = usable[choice->index];
  if (need.retry_priority &&
      !budget_.TryAcquire(need.service, *need.retry_priority, now)) {
    ++counts_.over_budget;
    return std::nullopt;
  }
  if (best->borrowed_until != absl::InfinitePast()) {
    best->borrowed_until = now + kBorrowTime;
  }
  Count(*best, need.retry_priority.has_value(), now);
  best->cold.OnSent(now);
  const SelectedTarget placed{
      best->info.id, best->health.OverdueAfter(now, policy_.hedge_deviations),
      choice->cost, choice->next_cost};
  best->health.OnSent();
  return placed;
}

TargetSet::Target* TargetSet::FindLender(const std::vector<Target*>& targets,
                                         const SelectionCriteria& need,
                                         absl::Time now) const {
  std::vector<Target*> usable;
  std::vector<Lender> lenders;
  bool any = false;
  for (Target* target : targets) {
    const std::optional<ExclusionReason> obstacle =
        ObstacleTo(*target, {}, now);
    const bool lacks_connection = obstacle == ExclusionReason::kNoConnection;
    if (obstacle && !lacks_connection) continue;
    if (target->health.IsUnresponsive(now)) continue;
    const bool is_wanted =
        lacks_connection && IsInAllowedRegion(*target, need) &&
        !WasTried(*target, need) && !LimitOf(*target, need, now);
    usable.push_back(target);
    lenders.push_back(
        {target->info.id, target->info.failure_domain, is_wanted});
    any = any || is_wanted;
  }
  if (!any) return nullptr;
  const auto spec = orders_.services.find(usable.front()->info.service);
  if (spec == orders_.services.end()) return nullptr;
  const std::optional<size_t> lender = shares_.ChooseLender(
      lenders, kConnectionPart * spec->second.max_connections);
  return lender ? usable[*lender] : nullptr;
}

TargetSet::Target* TargetSet::Borrow(const std::vector<Target*>& targets,
                                     const SelectionCriteria& need,
                                     absl::Time now) {
  Target* const lender = FindLender(targets, need, now);
  if (lender == nullptr) return nullptr;
  lender->borrowed_until = now + kBorrowTime;
  Divide(*lender);
  ++counts_.borrowed;
  if (log_budget_.Take("borrowed", policy_.log_lines, now)) {
    LogInfo("connection borrowed",
            {{"target", lender->info.id}, {"service", lender->info.service}});
  }
  return lender;
}

void TargetSet::ReturnBorrowed(absl::Time now) {
  for (auto& [id, target] : targets_) {
    if (target->borrowed_until == absl::InfinitePast()) continue;
    if (now < target->borrowed_until || target->health.outstanding() > 0) {
      continue;
    }
    target->borrowed_until = absl::InfinitePast();
    Divide(*target);
  }
}

void TargetSet::Count(const Target& target, bool extra, absl::Time now) {
  ++counts_.by_distance[static_cast<size_t>(target.distance)];
  if (extra) ++counts_.extra;
  if (target.health.IsSuspect(now)) ++counts_.suspect;
  if (target.IsCold(now)) ++counts_.cold;
}

engine::ExchangeId TargetSet::Send(const TargetId& id,
                                   engine::PoolRequest request) {
  Target* const target = Find(id);
  return target == nullptr ? 0 : target->pool->Send(std::move(request));
}

void TargetSet::Unplace(const TargetId& id) {
  if (Target* const target = Find(id)) target->health.OnSendCancelled();
}

void TargetSet::Cancel(const TargetId& id, engine::ExchangeId exchange,
                       absl::Duration grace) {
  if (Target* const target = Find(id)) target->pool->Cancel(exchange, grace);
}

void TargetSet::OnEnded(const TargetId& id, TargetOutcome sign,
                        absl::Duration latency, absl::Duration useful) {
  Target* const target = Find(id);
  if (target == nullptr) return;
  const absl::Time now = loop_.Now();
  target->health.OnEnded(sign, latency, now);
  evidence_.RecordOutcome(target->hash, sign);
  if (sign == TargetOutcome::kAnswered) {
    target->concurrency.OnAnswered(latency, useful, now);
  } else if (sign == TargetOutcome::kCancelled ||
             sign == TargetOutcome::kNotSent) {
    target->concurrency.OnCancelled(latency, useful, now);
  }
}

std::vector<TargetHealthReport> TargetSet::TakeEvidence(size_t limit) {
  const absl::Time now = loop_.Now();
  const auto is_doubtful = [&](uint32_t target) {
    const auto found = by_hash_.find(target);
    return found != by_hash_.end() &&
           found->second->health.HasElevatedFailureRate(now);
  };
  return evidence_.TakeReports(limit, is_doubtful, now);
}

void TargetSet::OnEvidence(const std::vector<TargetHealthReport>& evidence) {
  const absl::Time now = loop_.Now();
  for (const TargetHealthReport& told : evidence) {
    const auto found = by_hash_.find(told.target);
    if (found == by_hash_.end()) continue;
    Target& target = *found->second;
    target.health.OnPeerReport(told.answers, told.failures, now);
    if (told.backoff_ds == 0) continue;
    if (now >= target.closed_elsewhere_until &&
        log_budget_.Take("closed elsewhere", policy_.log_lines, now)) {
      LogInfo("target closed for another host",
              {{"target", target.info.id},
               {"for_ms", absl::ToInt64Milliseconds(told.backoff())}});
    }
    target.closed_elsewhere_until =
        std::max(target.closed_elsewhere_until, now + told.backoff());
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

TargetSet::Target* TargetSet::FindAsOf(const TargetId& id,
                                       absl::Time sent_at) const {
  Target* const target = Find(id);
  return target == nullptr || sent_at < target->listed_at ? nullptr : target;
}

bool TargetSet::OnLeaving(const TargetId& id, absl::Time sent_at) {
  Target* const target = FindAsOf(id, sent_at);
  if (target == nullptr) return false;
  if (!notices_.OnLeaving(target->lifetime(), loop_.Now())) return false;
  target->leaving = true;
  evidence_.RecordBackoff(target->hash, absl::InfiniteFuture());
  target->pool->FailWaiting();
  return true;
}

std::optional<absl::Time> TargetSet::OnClosed(const TargetId& id,
                                              absl::Time sent_at,
                                              absl::Duration wait,
                                              double draw) {
  Target* const target = FindAsOf(id, sent_at);
  if (target == nullptr) return std::nullopt;
  target->opens_at =
      notices_.OnBackoff(target->lifetime(), wait, draw, loop_.Now());
  evidence_.RecordBackoff(target->hash, target->opens_at);
  target->concurrency.ResetToMinimum();
  target->pool->FailWaiting();
  return target->opens_at;
}

absl::Time TargetSet::OpensAt(const ServiceName& service) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return absl::InfinitePast();
  const absl::Time now = loop_.Now();
  absl::Time earliest = absl::InfiniteFuture();
  for (const Target* target : found->second) {
    // What would keep it from use even then does not count.
    if (MayUse(*target, {}, std::max(now, target->opens_at))) {
      earliest = std::min(earliest, target->opens_at);
    }
  }
  return earliest > now && earliest < absl::InfiniteFuture()
             ? earliest
             : absl::InfinitePast();
}

void TargetSet::OnLostRequest(const TargetId& id,
                              std::function<void()> on_crash) {
  if (Target* const target = Find(id)) {
    target->OnLostRequest(std::move(on_crash));
  }
}

ServiceCounts TargetSet::CountServices() const {
  const absl::Time now = loop_.Now();
  ServiceCounts counts;
  for (const auto& [service, used_at] : used_at_) {
    const auto found = by_service_.find(service);
    if (now - used_at > kWarmTime || found == by_service_.end()) continue;
    ++counts.in_use;
    auto usable = std::count_if(
        found->second.begin(), found->second.end(),
        [&](const Target* target) { return CanServe(*target, now); });
    if (FindLender(found->second, {}, now) != nullptr) ++usable;
    if (usable < 2) ++counts.without_alternative;
  }
  return counts;
}

int TargetSet::open_connections() const {
  int open = 0;
  for (const auto& [id, target] : targets_) {
    open += target->pool->open_connections();
  }
  return open;
}

}  // namespace cherrydyke
