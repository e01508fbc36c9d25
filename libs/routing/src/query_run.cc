#include "routing/query_run.h"

#include <algorithm>
#include <iterator>

#include "base/invariant.h"

namespace cherrydyke {
namespace {

/// Lost connections after which a shard is not tried again, so that a request
/// that crashes targets does not take down every replica.
/// A query over no more shards than this has no canary.
constexpr int kMaxCrashes = 2;
/// Fraction of the time to the deadline after which the other shards are
/// queried even if the canary has not answered.
constexpr double kCanaryTimeoutFraction = 0.25;
constexpr absl::Duration kInitialBackoff = absl::Milliseconds(5);
constexpr absl::Duration kMaxBackoff = absl::Milliseconds(80);
constexpr int kMaxBackoffDoublings = 4;

/// Whether the same replica would fail again for the same snapshot.
bool IsPermanentFailure(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kWrongVersion ||
         outcome == AttemptOutcome::kWrongShard;
}

bool IsCrash(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kConnectionLost;
}

absl::Duration Backoff(int retry_rounds, std::mt19937_64& random) {
  const int doublings = std::min(retry_rounds, kMaxBackoffDoublings);
  const absl::Duration full =
      std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
  // Half of the backoff is random, so that queries refused at the same time do
  // not retry at the same time.
  const double jitter = static_cast<double>(random() % 1000) / 1000;
  return full * 0.5 + full * 0.5 * jitter;
}

}  // namespace

QueryRun::QueryRun(QueryPlan plan, QueryEnvironment environment, uint64_t seed)
    : plan_(std::move(plan)),
      environment_(std::move(environment)),
      random_(seed),
      shards_(plan_.shard_map.shards.size()),
      coverage_(plan_.shard_map),
      pending_shards_(shards_.size()) {}

QueryActions QueryRun::Start(absl::Time now) {
  QueryActions actions;
  if (plan_.canary == CanaryMode::kAlways && shards_.size() > kMaxCrashes) {
    canary_phase_ = true;
    canary_deadline_ = now + (plan_.deadline() - now) * kCanaryTimeoutFraction;
    StartShard(random_() % shards_.size(), now, actions);
  } else {
    StartRemaining(now, actions);
  }
  FinishIfNoShardPending(actions);
  return actions;
}

void QueryRun::StartRemaining(absl::Time now, QueryActions& actions) {
  canary_phase_ = false;
  canary_deadline_ = absl::InfiniteFuture();
  for (size_t i = 0; i < shards_.size(); ++i) {
    if (!shards_[i].started) StartShard(i, now, actions);
  }
}

void QueryRun::StartShard(size_t index, absl::Time now, QueryActions& actions) {
  shards_[index].started = true;
  environment_.hedge_budget.RecordPrimary();
  environment_.retry_budget.RecordPrimary();
  if (SendAttempt(index, false, now, actions)) return;
  coverage_.SetMissingReason(index, "no_replica");
  shards_[index].retry_at = now + Backoff(0, random_);
}

std::vector<ReplicaView> QueryRun::Candidates(size_t index) const {
  std::vector<ReplicaView> candidates;
  for (const TargetId& target : plan_.shard_map.shards[index].replicas) {
    if (shards_[index].tried_targets.count(target) > 0) continue;
    ReplicaView view = environment_.directory.View(target);
    if (view.reachable) candidates.push_back(std::move(view));
  }
  return candidates;
}

bool QueryRun::SendAttempt(size_t index, bool hedge, absl::Time now,
                           QueryActions& actions) {
  const std::vector<ReplicaView> candidates = Candidates(index);
  if (candidates.empty()) return false;
  const TargetId& target =
      candidates[environment_.picker.Pick(candidates, random_)].target;
  ShardProgress& shard = shards_[index];
  const AttemptId attempt = environment_.next_attempt();
  shard.tried_targets.insert(target);
  shard.running_attempts[attempt] = target;
  shard.hedge_at = now + environment_.hedge_delay;
  shard.retry_at = absl::InfiniteFuture();
  shard_by_attempt_[attempt] = index;
  ++attempts_sent_;
  actions.send.push_back({attempt, index, target, hedge});
  return true;
}

QueryActions QueryRun::OnAnswer(const SubRequestReply& answer, absl::Time now) {
  QueryActions actions;
  const auto found = shard_by_attempt_.find(answer.attempt);
  if (done_ || found == shard_by_attempt_.end()) {
    ++dropped_answers_;
    return actions;
  }
  const size_t index = found->second;
  shard_by_attempt_.erase(found);
  shards_[index].running_attempts.erase(answer.attempt);
  if (answer.not_run) ++attempts_not_run_;
  if (shards_[index].answered) return actions;
  const AttemptOutcome outcome = ValidateAnswer(answer, index);
  if (outcome != AttemptOutcome::kDone) {
    OnFailure(outcome, index, now, actions);
  } else if (answer.complete) {
    OnSuccess(answer, index, now, actions);
  } else {
    OnTruncated(answer, index, now, actions);
  }
  FinishIfNoShardPending(actions);
  return actions;
}

// An answer is valid only if it is for this shard and snapshot and every hit is
// in the shard's key range: keys outside of it show that the target serves
// another range since a repartitioning.
AttemptOutcome QueryRun::ValidateAnswer(const SubRequestReply& answer,
                                        size_t index) const {
  if (answer.outcome != AttemptOutcome::kDone) return answer.outcome;
  const Shard& shard = plan_.shard_map.shards[index];
  if (answer.shard != shard.id) return AttemptOutcome::kWrongShard;
  if (answer.index_version != plan_.snapshot.index_version) {
    return AttemptOutcome::kWrongVersion;
  }
  const bool inside = std::all_of(
      answer.hits.begin(), answer.hits.end(),
      [&](const SearchHit& hit) { return shard.range.Contains(hit.key); });
  return inside ? AttemptOutcome::kDone : AttemptOutcome::kWrongShard;
}

void QueryRun::OnSuccess(const SubRequestReply& answer, size_t index,
                         absl::Time now, QueryActions& actions) {
  ShardProgress& shard = shards_[index];
  CHERRYDYKE_INVARIANT(
      answer.index_version == plan_.snapshot.index_version,
      "every shard answer has the index version of the snapshot");
  shard.answered = true;
  shard.hedge_at = absl::InfiniteFuture();
  shard.retry_at = absl::InfiniteFuture();
  coverage_.MarkAnswered(index);
  hits_.insert(hits_.end(), answer.hits.begin(), answer.hits.end());
  for (const auto& [attempt, target] : shard.running_attempts) {
    actions.cancel.push_back(attempt);
    shard_by_attempt_.erase(attempt);
  }
  shard.running_attempts.clear();
  --pending_shards_;
  if (IsCanaryPhase()) StartRemaining(now, actions);
}

void QueryRun::OnTruncated(const SubRequestReply& answer, size_t index,
                           absl::Time now, QueryActions& actions) {
  if (answer.hits.size() > shards_[index].truncated_hits.size()) {
    shards_[index].truncated_hits = answer.hits;
  }
  coverage_.SetMissingReason(index, "truncated");
  ++shards_[index].permanent_failures;
  Retry(index, now, actions);
  if (IsCanaryPhase()) StartRemaining(now, actions);
}

void QueryRun::OnFailure(AttemptOutcome outcome, size_t index, absl::Time now,
                         QueryActions& actions) {
  ShardProgress& shard = shards_[index];
  // An expired attempt does not show why the shard is missing, so it keeps an
  // earlier reason.
  const bool has_new_reason =
      outcome != AttemptOutcome::kDeadlineExceeded || !shard.has_reason;
  if (shard.truncated_hits.empty() && has_new_reason) {
    coverage_.SetMissingReason(index, ToString(outcome));
    shard.has_reason = true;
  }
  if (outcome == AttemptOutcome::kWrongVersion) version_gone_ = true;
  if (outcome == AttemptOutcome::kQuarantined && IsCanaryPhase()) {
    quarantined_ = true;
    Finish(actions);
    return;
  }
  if (IsCrash(outcome) && ++shard.crashes >= kMaxCrashes) {
    coverage_.SetMissingReason(index, "quarantined");
    quarantined_ = quarantined_ || IsCanaryPhase();
    if (quarantined_) {
      Finish(actions);
      return;
    }
    if (shard.running_attempts.empty()) GiveUp(index);
    return;
  }
  if (IsPermanentFailure(outcome)) ++shard.permanent_failures;
  Retry(index, now, actions);
}

void QueryRun::Retry(size_t index, absl::Time now, QueryActions& actions) {
  ShardProgress& shard = shards_[index];
  if (!shard.running_attempts.empty()) return;
  shard.hedge_at = absl::InfiniteFuture();
  const bool has_candidate = !Candidates(index).empty();
  if (has_candidate && environment_.retry_budget.TryTake() &&
      SendAttempt(index, false, now, actions)) {
    return;
  }
  if (shard.permanent_failures >=
      plan_.shard_map.shards[index].replicas.size()) {
    GiveUp(index);
    return;
  }
  // Every replica was tried, or the retry budget is exhausted: retry after a
  // backoff.
  if (!has_candidate) shard.tried_targets.clear();
  shard.retry_at = now + Backoff(shard.retry_rounds++, random_);
}

void QueryRun::SendDueAttempts(absl::Time now, QueryActions& actions) {
  for (size_t i = 0; i < shards_.size(); ++i) {
    ShardProgress& shard = shards_[i];
    if (shard.answered || shard.given_up) continue;
    if (now >= shard.retry_at) {
      shard.retry_at = absl::InfiniteFuture();
      const bool sent = environment_.retry_budget.TryTake() &&
                        SendAttempt(i, false, now, actions);
      if (!sent) shard.retry_at = now + Backoff(shard.retry_rounds++, random_);
    }
    if (now < shard.hedge_at) continue;
    shard.hedge_at = absl::InfiniteFuture();
    const bool may_hedge =
        shard.running_attempts.size() == 1 && shard.crashes == 0;
    if (may_hedge && !Candidates(i).empty() &&
        environment_.hedge_budget.TryTake()) {
      SendAttempt(i, true, now, actions);
      shard.hedge_at = absl::InfiniteFuture();
    }
  }
}

void QueryRun::GiveUp(size_t index) {
  ShardProgress& shard = shards_[index];
  shard.given_up = true;
  shard.hedge_at = absl::InfiniteFuture();
  shard.retry_at = absl::InfiniteFuture();
  --pending_shards_;
}

QueryActions QueryRun::OnTimer(absl::Time now) {
  QueryActions actions;
  if (done_) return actions;
  if (now >= plan_.deadline()) {
    Finish(actions);
    return actions;
  }
  SendDueAttempts(now, actions);
  if (IsCanaryPhase() && now >= canary_deadline_) StartRemaining(now, actions);
  FinishIfNoShardPending(actions);
  return actions;
}

absl::Time QueryRun::NextTimer() const {
  absl::Time next = std::min(plan_.deadline(), canary_deadline_);
  for (const ShardProgress& shard : shards_) {
    if (shard.answered || shard.given_up) continue;
    next = std::min({next, shard.hedge_at, shard.retry_at});
  }
  return next;
}

void QueryRun::FinishIfNoShardPending(QueryActions& actions) {
  if (!done_ && pending_shards_ == 0) Finish(actions);
}

void QueryRun::Finish(QueryActions& actions) {
  done_ = true;
  for (const auto& [attempt, index] : shard_by_attempt_) {
    actions.cancel.push_back(attempt);
  }
  shard_by_attempt_.clear();
}

QueryResult QueryRun::TakeResult() {
  QueryResult result;
  result.snapshot = plan_.snapshot;
  result.coverage = coverage_.Compute();
  result.hits = std::move(hits_);
  for (ShardProgress& shard : shards_) {
    if (shard.answered) continue;
    std::move(shard.truncated_hits.begin(), shard.truncated_hits.end(),
              std::back_inserter(result.hits));
  }
  result.quarantined = quarantined_;
  result.version_gone = version_gone_ && !result.coverage.complete;
  result.attempts = attempts_sent_;
  result.proved_not_run = attempts_not_run_ == attempts_sent_;
  return result;
}

}  // namespace cherrydyke
