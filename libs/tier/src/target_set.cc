#include "tier/target_set.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "dispatch/handover_choice.h"
#include "partition_monitor.h"
#include "target.h"
#include "telemetry/log.h"

namespace cherrydyke {
namespace {

/// Network round trips assumed until latencies have been measured: within a
/// failure domain, within a region, and between regions.
constexpr absl::Duration kDomainRoundTrip = absl::Milliseconds(1);
constexpr absl::Duration kRegionRoundTrip = absl::Milliseconds(3);
constexpr absl::Duration kRemoteRoundTrip = absl::Milliseconds(42);
/// Fraction of a target's connections that is divided among the hosts; the rest
/// covers connections whose close has not yet reached the target.
constexpr double kSharedConnectionRatio = 0.9;
/// Fraction of a target's connections that hosts may keep open without using
/// them. If all hosts fail at once, the target holds their connections until
/// they time out, and until then rejects new ones beyond its limit.
constexpr double kIdleConnectionRatio = 0.5;
/// Connections of this host to one target; requests on more of them would only
/// queue at the target.
constexpr int kMaxConnectionsPerHost = 12;
/// How long the connections of a removed target are kept, so that running
/// requests can still get their responses: longer than any request takes.
constexpr absl::Duration kRetirementTime = absl::Seconds(10);

/// How long a borrowed connection is kept after its last request: in a large
/// fleet, a host sends a request to each service only once in several seconds.
constexpr absl::Duration kBorrowedConnectionTime = absl::Seconds(10);

/// How often connections are opened for services in use, and how long a service
/// counts as in use after its last request.
constexpr absl::Duration kKeepWarmPeriod = absl::Milliseconds(500);
constexpr absl::Duration kServiceInUseTime = absl::Seconds(5);

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
      retry_budget_(bounds, loop.Now(), policy),
      random_(NewIncarnation()),
      partition_monitor_(std::make_unique<PartitionMonitor>(
          loop, PartitionMonitor::Callbacks{
                    [this](size_t limit) { return ChooseProbes(limit); },
                    [this] {
                      if (on_suspected_) on_suspected_();
                    },
                    [this] {
                      if (on_partitioned_) on_partitioned_();
                    },
                    [this](absl::Time lost_at) { OnPathRestored(lost_at); }})) {
  shares_.Refresh(loop.Now());
  retry_budget_.SetHostCount(shares_.hosts());
  timers_.Every(kKeepWarmPeriod, [this] { KeepConnectionsWarm(); });
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
    // A restored service may list the process before for a while.
    const Target* const known = Find(info.id);
    const bool is_of_earlier_process =
        known != nullptr && info.start_time_ms && known->info.start_time_ms &&
        *info.start_time_ms < *known->info.start_time_ms;
    if (is_of_earlier_process && missing_grace > absl::ZeroDuration()) continue;
    Update(std::move(info), now);
  }
  for (auto& [id, target] : targets_) {
    if (listed.count(id) > 0) continue;
    if (target->expires_at == absl::InfiniteFuture()) {
      target->expires_at = now + missing_grace;
    }
  }
  RemoveExpired(now);
  WithdrawQueued();
  if (missing_grace > absl::ZeroDuration()) {
    timers_.RunAfter(missing_grace, [this] {
      RemoveExpired(loop_.Now());
      ReportWithdrawals();
    });
  }
}

void TargetSet::Update(TargetInfo info, absl::Time now) {
  Target* target = Find(info.id);
  const bool same_process = target != nullptr &&
                            target->info.endpoint == info.endpoint &&
                            target->info.service == info.service &&
                            target->info.start_time_ms == info.start_time_ms;
  // Region, distance and shares are those of the failure domain.
  const bool same_instance =
      same_process && target->info.failure_domain == info.failure_domain;
  // Ignore entries of the same process that arrive out of order.
  if (same_process && info.start_time_ms &&
      info.sequence < target->info.sequence) {
    return;
  }
  const bool was_draining = same_process && target->info.draining;
  if (!same_instance) {
    const Distance distance = locality_.DistanceBetween(
        locality_.failure_domain, info.failure_domain);
    auto added =
        std::make_unique<Target>(*this, info, distance, RoundTrip(distance));
    std::vector<Target*>& service_targets = targets_by_service_[info.service];
    if (target != nullptr) {
      std::vector<Target*>& old_service_targets =
          targets_by_service_[target->info.service];
      old_service_targets.erase(std::remove(old_service_targets.begin(),
                                            old_service_targets.end(), target),
                                old_service_targets.end());
      Retire(std::move(targets_[info.id]));
    }
    target = added.get();
    service_targets.push_back(target);
    targets_by_hash_[target->id_hash] = target;
    targets_[info.id] = std::move(added);
  }
  if (info.draining && !target->info.draining) {
    LogInfo("target draining",
            {{"target", info.id}, {"service", info.service}});
  }
  target->info = std::move(info);
  if (!same_instance) {
    target->leaving = notices_.IsLeaving(target->instance());
    target->backoff_until = notices_.BackoffUntil(target->instance());
    if (const auto rate = notices_.RateOf(target->instance())) {
      target->stated_rate.Restore(*rate, {shares_.hosts(), 0}, now);
    }
  }
  // A process that has begun to drain never serves again.
  if (was_draining && target->info.start_time_ms) target->info.draining = true;
  target->expires_at = absl::InfiniteFuture();
  if (std::exchange(target->has_wrong_address, false)) target->OnListedAgain();
  target->cold_until = target->info.warmup_left > absl::ZeroDuration()
                           ? now + target->info.warmup_left
                           : absl::InfinitePast();
  if (!same_instance) UpdateLimits(*target);
}

void TargetSet::RemoveExpired(absl::Time now) {
  for (auto entry = targets_.begin(); entry != targets_.end();) {
    Target* const target = entry->second.get();
    if (now < target->expires_at) {
      ++entry;
      continue;
    }
    LogInfo("target removed",
            {{"target", target->info.id}, {"service", target->info.service}});
    std::vector<Target*>& service_targets =
        targets_by_service_[target->info.service];
    service_targets.erase(
        std::remove(service_targets.begin(), service_targets.end(), target),
        service_targets.end());
    Retire(std::move(entry->second));
    targets_.erase(entry++);
  }
}

void TargetSet::Retire(TargetPtr target) {
  const auto hashed = targets_by_hash_.find(target->id_hash);
  if (hashed != targets_by_hash_.end() && hashed->second == target.get()) {
    targets_by_hash_.erase(hashed);
  }
  target->OnInstanceEnded();
  NoteWithdrawal(*target, ExclusionReason::kGone);
  // Its address may belong to another target by now, also in another region.
  target->pool->FailQueued();
  const TargetId id = target->info.id;
  retired_targets_[id].push_back(std::move(target));
  timers_.RunAfter(kRetirementTime, [this, id] {
    std::vector<TargetPtr>& retired = retired_targets_[id];
    retired.erase(retired.begin());
    if (retired.empty()) retired_targets_.erase(id);
  });
}

void TargetSet::SetConfig(TargetConfig config) {
  config_ = std::move(config);
  UpdateAllLimits();
  WithdrawQueued();
}

void TargetSet::SetEvacuated(std::set<FailureDomainName> evacuated) {
  config_.evacuated = std::move(evacuated);
  WithdrawQueued();
}

void TargetSet::WithdrawQueued() {
  const absl::Time now = loop_.Now();
  for (auto& [id, target] : targets_) {
    const std::optional<ExclusionReason> reason =
        WithdrawalReason(*target, now);
    NoteWithdrawal(*target, reason);
    if (reason) target->pool->WithdrawQueued();
  }
  ReportWithdrawals();
}

void TargetSet::NoteWithdrawal(Target& target,
                               std::optional<ExclusionReason> reason) {
  if (target.is_withdrawn == reason.has_value()) return;
  target.is_withdrawn = reason.has_value();
  withdrawal_notices_.push_back({target.info.id, target.instance_hash,
                                 reason ? ExclusionReasonName(*reason) : ""});
}

void TargetSet::ReportWithdrawals() {
  const std::vector<WithdrawalNotice> notices =
      std::exchange(withdrawal_notices_, {});
  if (!notices.empty() && on_withdrawals_) on_withdrawals_(notices);
}

void TargetSet::OnHostsChanged() {
  shares_.Refresh(loop_.Now());
  retry_budget_.SetHostCount(shares_.hosts());
  UpdateAllLimits();
}

void TargetSet::UpdateAllLimits() {
  for (auto& [id, target] : targets_) UpdateLimits(*target);
}

void TargetSet::UpdateLimits(Target& target) {
  const auto spec = config_.services.find(target.info.service);
  if (spec == config_.services.end()) return;
  shares_.Update(target.rank, target.info.id, target.info.failure_domain);
  const double connections =
      kSharedConnectionRatio * spec->second.max_connections;
  target.connection_limit = std::min(shares_.ShareOf(connections, target.rank),
                                     kMaxConnectionsPerHost);
  if (target.connection_limit == 0 && loop_.Now() < target.borrowed_until) {
    target.connection_limit = 1;
  }
  target.may_keep_idle =
      shares_.WorstCaseRank(target.rank) <
      static_cast<size_t>(kIdleConnectionRatio * spec->second.max_connections);
  target.pool->SetLimit(target.connection_limit);
  target.concurrency.SetConnections(target.connection_limit);
  const double per_second =
      spec->second.warmup_per_s * bounds_.warmup_overage + bounds_.warmup_slack;
  // A service without a rate for cold targets does not limit them.
  target.cold_share_per_s = spec->second.warmup_per_s > 0
                                ? shares_.StrictShareOf(per_second, target.rank)
                                : std::numeric_limits<int>::max();
}

void TargetSet::OnRequest(const ServiceName& service) {
  retry_budget_.OnRequest(service, loop_.Now());
  MarkInUse(service);
}

void TargetSet::Prewarm(const std::vector<ServiceName>& services) {
  const absl::Time now = loop_.Now();
  for (const ServiceName& service : services) {
    last_used_at_.try_emplace(service, now);
  }
  KeepConnectionsWarm();
}

void TargetSet::KeepConnectionsWarm() {
  const absl::Time now = loop_.Now();
  ReturnBorrowed(now);
  for (const auto& [service, last_used_at] : last_used_at_) {
    const auto found = targets_by_service_.find(service);
    if (now - last_used_at > kServiceInUseTime ||
        found == targets_by_service_.end())
      continue;
    std::vector<std::pair<absl::Duration, Target*>> ranked;
    if (std::none_of(
            found->second.begin(), found->second.end(),
            [&](const Target* target) { return CanServe(*target, now); })) {
      Borrow(found->second, {}, now);
    }
    for (Target* target : found->second) {
      if (!IsUsable(*target, {}, now) || target->IsCold(now)) continue;
      ranked.emplace_back(ReplicaCost(StateOf(*target, now), now), target);
    }
    const size_t kept =
        std::min(ranked.size(), static_cast<size_t>(policy_.warm_targets));
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end());
    for (size_t index = 0; index < kept; ++index) {
      if (index > 0 && !ranked[index].second->may_keep_idle) continue;
      engine::ConnectionPool& pool = *ranked[index].second->pool;
      if (pool.connection_count() == 0 && !pool.is_backing_off()) pool.Probe();
    }
  }
}

bool TargetSet::WasTried(const Target& target,
                         const SelectionCriteria& criteria) {
  return criteria.exclude != nullptr &&
         std::find(criteria.exclude->begin(), criteria.exclude->end(),
                   target.info.id) != criteria.exclude->end();
}

bool TargetSet::IsInAllowedRegion(const Target& target,
                                  const SelectionCriteria& criteria) const {
  return criteria.regions == nullptr ||
         criteria.regions->Allows(
             locality_.RegionOf(target.info.failure_domain));
}

std::optional<ExclusionReason> TargetSet::WithdrawalReason(
    const Target& target, absl::Time now) const {
  if (target.info.draining || target.leaving) return ExclusionReason::kLeaving;
  if (now >= target.expires_at) return ExclusionReason::kGone;
  if (target.has_wrong_address) return ExclusionReason::kWrongAddress;
  if (config_.evacuated.count(target.info.failure_domain) > 0) {
    return ExclusionReason::kEvacuated;
  }
  return std::nullopt;
}

std::optional<ExclusionReason> TargetSet::ExclusionReasonFor(
    const Target& target, const SelectionCriteria& criteria,
    absl::Time now) const {
  if (const auto reason = WithdrawalReason(target, now)) return reason;
  if (now < target.backoff_until) return ExclusionReason::kBackoff;
  if (!IsInAllowedRegion(target, criteria))
    return ExclusionReason::kOtherRegion;
  if (WasTried(target, criteria)) return ExclusionReason::kAlreadyTried;
  if (target.connection_limit == 0) return ExclusionReason::kNoConnection;
  return std::nullopt;
}

bool TargetSet::IsUsable(const Target& target,
                         const SelectionCriteria& criteria,
                         absl::Time now) const {
  return !ExclusionReasonFor(target, criteria, now);
}

bool TargetSet::CanServe(const Target& target, absl::Time now) const {
  return IsUsable(target, {}, now) && !target.health.IsUnresponsive(now);
}

std::optional<ExclusionReason> TargetSet::LimitReached(
    Target& target, const SelectionCriteria& criteria, absl::Time now) const {
  if (target.IsCold(now) &&
      !target.cold_limiter.MaySend(target.cold_share_per_s, now)) {
    return ExclusionReason::kCold;
  }
  if (policy_.limit_concurrency && !criteria.is_last_chance &&
      !target.concurrency.HasRoom(target.health.outstanding())) {
    return ExclusionReason::kNoRoom;
  }
  if (target.stated_rate.rate() &&
      !target.stated_rate.MaySend(ShareOfStatedRate(target), now)) {
    return ExclusionReason::kStatedRate;
  }
  return std::nullopt;
}

int TargetSet::ShareOfStatedRate(const Target& target) const {
  return shares_.StrictShareOf(target.stated_rate.Quota(), target.rank);
}

ReplicaState TargetSet::StateOf(const Target& target, absl::Time now) const {
  ReplicaState state;
  state.health = &target.health;
  state.slots = target.info.slots;
  state.connections = target.connection_limit;
  state.round_trip = target.round_trip;
  state.connected = target.pool->connection_count() > 0;
  state.cold = target.IsCold(now);
  state.missing = target.expires_at != absl::InfiniteFuture();
  state.reported_backoff = now < target.peer_backoff_until;
  state.failure_cost = policy_.failure_cost;
  state.prefer_near = policy_.prefer_near;
  return state;
}

std::optional<SelectedTarget> TargetSet::Select(
    const SelectionCriteria& criteria, absl::Time now) {
  const auto found = targets_by_service_.find(criteria.service);
  if (found == targets_by_service_.end()) return std::nullopt;
  if (IsPartitioned()) {
    counts_.passed_over.Add(ExclusionReason::kUnresponsive,
                            found->second.size());
    return std::nullopt;
  }
  std::vector<Target*> usable;
  std::vector<ReplicaState> states;
  bool may_borrow = false;
  for (Target* target : found->second) {
    std::optional<ExclusionReason> exclusion =
        ExclusionReasonFor(*target, criteria, now);
    if (!exclusion) exclusion = LimitReached(*target, criteria, now);
    if (exclusion) {
      counts_.passed_over.Add(*exclusion);
      may_borrow = may_borrow || exclusion == ExclusionReason::kNoConnection;
      continue;
    }
    usable.push_back(target);
    states.push_back(StateOf(*target, now));
  }
  std::optional<ReplicaChoice> choice = ChooseReplica(states, now);
  if (may_borrow && (!choice || states[choice->index].health->IsSuspect(now))) {
    if (Target* const borrow_target = Borrow(found->second, criteria, now)) {
      usable.push_back(borrow_target);
      states.push_back(StateOf(*borrow_target, now));
      choice = ChooseReplica(states, now);
    }
  }
  if (!choice) {
    // All remaining targets are unresponsive.
    counts_.passed_over.Add(ExclusionReason::kUnresponsive, usable.size());
    return std::nullopt;
  }
  if (criteria.retry_priority == RetryPriority::kOptional &&
      now + choice->cost > criteria.answer_needed_by) {
    return std::nullopt;
  }
  Target* const best = usable[choice->index];
  if (criteria.retry_priority &&
      !retry_budget_.TryAcquire(criteria.service, *criteria.retry_priority,
                                now)) {
    ++counts_.over_budget;
    return std::nullopt;
  }
  if (best->borrowed_until != absl::InfinitePast()) {
    best->borrowed_until = now + kBorrowedConnectionTime;
  }
  CountSend(*best, criteria.retry_priority.has_value(), now);
  best->cold_limiter.OnSent(now);
  best->stated_rate.OnSent(now);
  const SelectedTarget selected{
      best->info.id, best->health.OverdueAfter(now, policy_.hedge_deviations),
      choice->cost, choice->next_cost};
  best->health.OnSent();
  return selected;
}

TargetSet::Target* TargetSet::FindBorrowTarget(
    const std::vector<Target*>& targets, const SelectionCriteria& criteria,
    absl::Time now) const {
  std::vector<Target*> usable;
  std::vector<BorrowCandidate> candidates;
  bool any_wanted = false;
  for (Target* target : targets) {
    const std::optional<ExclusionReason> exclusion =
        ExclusionReasonFor(*target, {}, now);
    const bool has_no_connection = exclusion == ExclusionReason::kNoConnection;
    if (exclusion && !has_no_connection) continue;
    if (target->health.IsUnresponsive(now)) continue;
    const bool is_wanted =
        has_no_connection && IsInAllowedRegion(*target, criteria) &&
        !WasTried(*target, criteria) && !LimitReached(*target, criteria, now);
    usable.push_back(target);
    candidates.push_back(
        {target->info.id, target->info.failure_domain, is_wanted});
    any_wanted = any_wanted || is_wanted;
  }
  if (!any_wanted) return nullptr;
  const auto spec = config_.services.find(usable.front()->info.service);
  if (spec == config_.services.end()) return nullptr;
  const std::optional<size_t> borrow_target = shares_.ChooseBorrowTarget(
      candidates, kSharedConnectionRatio * spec->second.max_connections);
  return borrow_target ? usable[*borrow_target] : nullptr;
}

TargetSet::Target* TargetSet::Borrow(const std::vector<Target*>& targets,
                                     const SelectionCriteria& criteria,
                                     absl::Time now) {
  Target* const borrow_target = FindBorrowTarget(targets, criteria, now);
  if (borrow_target == nullptr) return nullptr;
  borrow_target->borrowed_until = now + kBorrowedConnectionTime;
  UpdateLimits(*borrow_target);
  ++counts_.borrowed;
  if (log_rate_limiter_.TryAcquire("borrowed", policy_.log_lines, now)) {
    LogInfo("connection borrowed", {{"target", borrow_target->info.id},
                                    {"service", borrow_target->info.service}});
  }
  return borrow_target;
}

void TargetSet::ReturnBorrowed(absl::Time now) {
  for (auto& [id, target] : targets_) {
    if (target->borrowed_until == absl::InfinitePast()) continue;
    if (now < target->borrowed_until || target->health.outstanding() > 0) {
      continue;
    }
    target->borrowed_until = absl::InfinitePast();
    UpdateLimits(*target);
  }
}

void TargetSet::CountSend(const Target& target, bool extra, absl::Time now) {
  ++counts_.by_distance[static_cast<size_t>(target.distance)];
  if (extra) ++counts_.extra;
  if (target.health.IsSuspect(now)) ++counts_.suspect;
  if (target.IsCold(now)) ++counts_.cold;
  partition_monitor_->OnSent(target.id_hash);
}

std::vector<uint32_t> TargetSet::UnreachableServices() const {
  const absl::Time now = loop_.Now();
  const bool cannot_connect = connect_failures_.AreGeneral(now);
  std::vector<uint32_t> unreachable;
  for (const auto& [service, targets] : targets_by_service_) {
    const auto used = last_used_at_.find(service);
    const bool is_in_use =
        used != last_used_at_.end() && now - used->second <= kServiceInUseTime;
    if ((is_in_use || cannot_connect) && !CanReach(service)) {
      unreachable.push_back(HandoverServiceHash(service));
    }
  }
  return unreachable;
}

uint32_t TargetSet::InstanceHash(const TargetId& id) const {
  const Target* const target = Find(id);
  return target == nullptr ? 0 : target->instance_hash;
}

bool TargetSet::IsCurrentInstance(const TargetId& id,
                                  absl::Time sent_at) const {
  return FindInstance(id, sent_at) != nullptr;
}

bool TargetSet::MayReceive(const TargetId& id, absl::Time sent_at) const {
  const Target* const target = FindInstance(id, sent_at);
  return target != nullptr && !WithdrawalReason(*target, loop_.Now());
}

RegionName TargetSet::RegionOf(const TargetId& id) const {
  const Target* const target = Find(id);
  return target == nullptr ? ""
                           : locality_.RegionOf(target->info.failure_domain);
}

engine::ExchangeId TargetSet::Send(const TargetId& id,
                                   engine::PoolRequest request) {
  Target* const target = Find(id);
  return target == nullptr ? 0 : target->pool->Send(std::move(request));
}

void TargetSet::FailQueued() {
  for (auto& [id, target] : targets_) target->pool->FailQueued();
}

void TargetSet::ReleaseSelection(const TargetId& id) {
  if (Target* const target = Find(id)) target->health.OnSendCancelled();
}

bool TargetSet::Cancel(const TargetId& id, absl::Time sent_at,
                       engine::ExchangeId exchange, absl::Duration grace) {
  Target* const target = FindCurrentOrRetired(id, sent_at);
  return target != nullptr && target->pool->Cancel(exchange, grace);
}

void TargetSet::OnEnded(const TargetId& id, TargetOutcome outcome,
                        absl::Duration latency, absl::Duration useful_latency) {
  Target* const target = Find(id);
  if (target == nullptr) return;
  const absl::Time now = loop_.Now();
  target->health.OnEnded(outcome, latency, now);
  report_collector_.RecordOutcome(target->id_hash, outcome);
  if (outcome == TargetOutcome::kLost) {
    partition_monitor_->OnUnanswered(target->id_hash);
  }
  if (outcome == TargetOutcome::kAnswered) {
    target->concurrency.OnAnswered(latency, useful_latency, now);
  } else if (outcome == TargetOutcome::kCancelled ||
             outcome == TargetOutcome::kNotSent) {
    target->concurrency.OnCancelled(latency, useful_latency, now);
  }
}

std::vector<TargetHealthReport> TargetSet::TakeHealthReports(size_t limit) {
  const absl::Time now = loop_.Now();
  const auto is_failing = [&](uint32_t target) {
    const auto found = targets_by_hash_.find(target);
    return found != targets_by_hash_.end() &&
           found->second->health.HasElevatedFailureRate(now);
  };
  auto reports = report_collector_.TakeReports(limit, is_failing, now);
  // Failures of the own path say nothing about the targets.
  if (!partition_monitor_->IsPathTrusted()) return {};
  counts_.health_reports += static_cast<int64_t>(reports.size());
  return reports;
}

void TargetSet::OnHealthReports(
    const std::vector<TargetHealthReport>& reports) {
  const absl::Time now = loop_.Now();
  for (const TargetHealthReport& report : reports) {
    const auto found = targets_by_hash_.find(report.target);
    if (found == targets_by_hash_.end()) continue;
    Target& target = *found->second;
    target.health.OnPeerReport(report.answers, report.failures, now);
    if (report.backoff_ds == 0) continue;
    if (now >= target.peer_backoff_until &&
        log_rate_limiter_.TryAcquire("closed elsewhere", policy_.log_lines,
                                     now)) {
      LogInfo("target asked another host for back-off",
              {{"target", target.info.id},
               {"for_ms", absl::ToInt64Milliseconds(report.backoff())}});
    }
    target.peer_backoff_until =
        std::max(target.peer_backoff_until, now + report.backoff());
  }
}

void TargetSet::OnWrongTarget(const TargetId& id) {
  Target* const target = Find(id);
  if (target == nullptr) return;
  target->has_wrong_address = true;
  target->OnInstanceEnded();
  LogInfo("another target responded at the address of target",
          {{"target", id}, {"endpoint", target->info.endpoint}});
}

void TargetSet::OnOverdue(const TargetId& id, absl::Time sent_at) {
  Target* const target = Find(id);
  if (target == nullptr) return;
  target->health.OnOverdue(sent_at, loop_.Now());
  if (target->health.unresponsive_since() != absl::InfiniteFuture()) {
    partition_monitor_->OnUnanswered(target->id_hash);
  }
}

void TargetSet::OnLoad(const TargetId& id, TargetLoad load) {
  if (Target* const target = Find(id)) {
    target->health.OnLoad(load, loop_.Now());
  }
}

TargetSet::Target* TargetSet::FindInstance(const TargetId& id,
                                           absl::Time sent_at) const {
  Target* const target = Find(id);
  return target == nullptr || sent_at < target->first_listed_at ? nullptr
                                                                : target;
}

TargetSet::Target* TargetSet::FindCurrentOrRetired(const TargetId& id,
                                                   absl::Time sent_at) const {
  if (Target* const target = FindInstance(id, sent_at)) return target;
  const auto retired = retired_targets_.find(id);
  if (retired == retired_targets_.end()) return nullptr;
  const auto instance =
      std::find_if(retired->second.rbegin(), retired->second.rend(),
                   [&](const TargetPtr& target) {
                     return sent_at >= target->first_listed_at;
                   });
  return instance == retired->second.rend() ? nullptr : instance->get();
}

bool TargetSet::HasRecentResponse(const FailureDomainName& domain) const {
  const auto found = responded_at_.find(domain);
  return found != responded_at_.end() &&
         loop_.Now() - found->second < options_.connect_timeout;
}

void TargetSet::OnResponse(const TargetId& id, absl::Time sent_at) {
  Target* const target = FindCurrentOrRetired(id, sent_at);
  if (target == nullptr) return;
  responded_at_[target->info.failure_domain] = loop_.Now();
  partition_monitor_->OnResponse();
  target->OnResponse();
}

bool TargetSet::OnLeaving(const TargetId& id, absl::Time sent_at) {
  Target* const target = FindInstance(id, sent_at);
  if (target == nullptr) return false;
  if (!notices_.OnLeaving(target->instance(), loop_.Now())) return false;
  target->leaving = true;
  NoteWithdrawal(*target, ExclusionReason::kLeaving);
  ReportWithdrawals();
  report_collector_.RecordBackoff(target->id_hash, absl::InfiniteFuture());
  target->pool->FailQueued();
  return true;
}

std::optional<absl::Time> TargetSet::OnBackoff(const TargetId& id,
                                               absl::Time sent_at,
                                               absl::Duration backoff,
                                               double random_fraction) {
  Target* const target = FindInstance(id, sent_at);
  if (target == nullptr) return std::nullopt;
  target->backoff_until = notices_.OnBackoff(target->instance(), backoff,
                                             random_fraction, loop_.Now());
  report_collector_.RecordBackoff(target->id_hash, target->backoff_until);
  target->concurrency.ResetToMinimum();
  target->pool->FailQueued();
  return target->backoff_until;
}

bool TargetSet::OnStatedRate(const TargetId& id, absl::Time sent_at,
                             std::optional<double> per_second,
                             double random_fraction) {
  Target* const target = FindInstance(id, sent_at);
  if (target == nullptr) return false;
  const absl::Time now = loop_.Now();
  const bool had_rate = target->stated_rate.rate().has_value();
  const bool changed = target->stated_rate.OnResponse(
      per_second, sent_at, {shares_.hosts(), random_fraction}, now);
  if (had_rate || changed) {
    notices_.OnRate(target->instance(), target->stated_rate.rate(), now);
  }
  if (changed && log_rate_limiter_.TryAcquire("rate", policy_.log_lines, now)) {
    LogInfo(per_second ? "target stated a request rate"
                       : "target lifted its request rate",
            {{"target", id},
             {"per_second", per_second.value_or(0)},
             {"share", ShareOfStatedRate(*target)},
             {"hosts", shares_.hosts()}});
  }
  return changed;
}

absl::Time TargetSet::EarliestBackoffEnd(const ServiceName& service) const {
  const auto found = targets_by_service_.find(service);
  if (found == targets_by_service_.end()) return absl::InfinitePast();
  const absl::Time now = loop_.Now();
  absl::Time earliest = absl::InfiniteFuture();
  for (const Target* target : found->second) {
    // Skip targets that could not be used even after their backoff.
    if (IsUsable(*target, {}, std::max(now, target->backoff_until))) {
      earliest = std::min(earliest, target->backoff_until);
    }
  }
  return earliest > now && earliest < absl::InfiniteFuture()
             ? earliest
             : absl::InfinitePast();
}

void TargetSet::OnUnanswered(const TargetId& id, absl::Time sent_at,
                             AttemptLoss loss,
                             CrashDetector::OnVerdict on_verdict) {
  if (Target* const target = FindCurrentOrRetired(id, sent_at)) {
    target->OnUnanswered(loss, sent_at, std::move(on_verdict));
  }
}

ServiceCounts TargetSet::CountServices() const {
  const absl::Time now = loop_.Now();
  ServiceCounts counts;
  for (const auto& [service, last_used_at] : last_used_at_) {
    const auto found = targets_by_service_.find(service);
    if (now - last_used_at > kServiceInUseTime ||
        found == targets_by_service_.end())
      continue;
    ++counts.in_use;
    auto usable = std::count_if(
        found->second.begin(), found->second.end(),
        [&](const Target* target) { return CanServe(*target, now); });
    if (FindBorrowTarget(found->second, {}, now) != nullptr) ++usable;
    if (usable < 2) ++counts.without_alternative;
  }
  return counts;
}

int TargetSet::open_connections() const {
  int open = 0;
  for (const auto& [id, target] : targets_) {
    open += target->pool->connection_count();
  }
  return open;
}

}  // namespace cherrydyke
