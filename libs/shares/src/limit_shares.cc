#include "shares/limit_shares.h"

#include <algorithm>

#include "base/invariant.h"
#include "membership/rendezvous.h"

namespace cherrydyke {
namespace {

// Divides the units equally among the members. The remainder goes, one unit
// each, to the first members in the rendezvous order of the entry, so every
// host computes the same division.
int AssignedUnits(const HostId& self, const EntryName& entry, int units,
                  const std::vector<HostId>& members) {
  const std::vector<HostId> ranked = RankByRendezvous(entry, members);
  const auto found = std::find(ranked.begin(), ranked.end(), self);
  if (found == ranked.end()) return 0;
  const auto rank = static_cast<int>(found - ranked.begin());
  const auto count = static_cast<int>(ranked.size());
  return units / count + (rank < units % count ? 1 : 0);
}

}  // namespace

void LimitShares::SetMembers(std::vector<HostId> members, absl::Time now) {
  std::sort(members.begin(), members.end());
  if (members == members_) return;
  members_ = std::move(members);
  members_changed_at_ = now;
  for (auto& [entry, share] : shares_) ReassignUnits(entry, share, now);
}

void LimitShares::Configure(const EntryName& entry, const EntryLimits& limits,
                            absl::Time now) {
  const auto [found, added] = shares_.try_emplace(entry);
  Share& share = found->second;
  if (added) share.tokens_updated_at = now;
  if (!added && share.limits == limits) return;
  share.limits = limits;
  ReassignUnits(entry, share, now);
}

void LimitShares::ReassignUnits(const EntryName& entry, Share& share,
                                absl::Time now) {
  Refresh(share, now);
  share.pending_units =
      AssignedUnits(self_, entry, share.limits.concurrency, members_);
  share.own_units = std::min(share.own_units, share.pending_units);
  share.pending_from = members_changed_at_ + options_.increase_delay;
  Refresh(share, now);
}

void LimitShares::Retain(const std::set<EntryName>& entries, absl::Time now) {
  for (auto it = shares_.begin(); it != shares_.end();) {
    Share& share = it->second;
    Refresh(share, now);
    const bool idle =
        share.own_in_use == 0 && share.lent.empty() && share.borrowed.empty();
    const bool keep = entries.count(it->first) > 0 || !idle;
    it = keep ? std::next(it) : shares_.erase(it);
  }
}

void LimitShares::Refresh(Share& share, absl::Time now) {
  if (now >= share.pending_from) {
    share.own_units = share.pending_units;
    share.pending_from = absl::InfiniteFuture();
  }
  share.lent.erase(std::remove_if(share.lent.begin(), share.lent.end(),
                                  [now](const Loan& loan) {
                                    return loan.expires_at <= now;
                                  }),
                   share.lent.end());
  for (auto it = share.borrowed.begin(); it != share.borrowed.end();) {
    const bool expired = it->second.expires_at <= now && it->second.in_use == 0;
    it = expired ? share.borrowed.erase(it) : std::next(it);
  }
  for (auto it = share.requests_sent.begin();
       it != share.requests_sent.end();) {
    const bool expired = it->second + options_.lease <= now;
    it = expired ? share.requests_sent.erase(it) : std::next(it);
  }
}

int LimitShares::LentUnits(const Share& share) const {
  int units = 0;
  for (const Loan& loan : share.lent) units += loan.units;
  return units;
}

bool LimitShares::LendsLastUnit(const Share& share,
                                const BorrowRequest& request,
                                absl::Time now) const {
  return now - share.last_used_at >= options_.use_time ||
         AssignedUnits(request.borrower, request.entry,
                       share.limits.concurrency, members_) == 0;
}

bool LimitShares::TakeToken(Share& share, absl::Time now) {
  int units = share.own_units - LentUnits(share);
  for (const auto& [id, loan] : share.borrowed) {
    if (loan.expires_at > now) units += loan.units;
  }
  const double rate = share.limits.rate_per_s * std::max(units, 0) /
                      std::max(share.limits.concurrency, 1);
  const double bucket_capacity =
      std::max(1.0, rate * absl::ToDoubleSeconds(options_.burst));
  const double added_tokens =
      rate * absl::ToDoubleSeconds(now - share.tokens_updated_at);
  share.tokens = std::min(bucket_capacity, share.tokens + added_tokens);
  share.tokens_updated_at = now;
  if (share.tokens < 1) return false;
  share.tokens -= 1;
  return true;
}

std::variant<LimitShares::Unit, LimitShares::Refusal> LimitShares::TryAcquire(
    const EntryName& entry, absl::Duration hard_deadline, absl::Time now) {
  const auto found = shares_.find(entry);
  if (found == shares_.end()) return Refusal::kUnknownEntry;
  Share& share = found->second;
  Refresh(share, now);
  share.last_used_at = now;
  const bool own_free = share.own_in_use < share.own_units - LentUnits(share);
  uint64_t loan_id = 0;
  if (!own_free) {
    for (const auto& [id, loan] : share.borrowed) {
      const bool covers_deadline = now + hard_deadline <= loan.expires_at;
      if (covers_deadline && loan.in_use < loan.units) loan_id = id;
    }
    if (loan_id == 0) return Refusal::kConcurrency;
  }
  if (!TakeToken(share, now)) return Refusal::kRate;
  if (loan_id == 0) {
    ++share.own_in_use;
  } else {
    ++share.borrowed[loan_id].in_use;
  }
  return Unit{loan_id};
}

void LimitShares::Release(const EntryName& entry, Unit unit) {
  const auto found = shares_.find(entry);
  CHERRYDYKE_INVARIANT(found != shares_.end(),
                       "a unit is released for a known entry");
  Share& share = found->second;
  if (unit.loan_id == 0) {
    CHERRYDYKE_INVARIANT(share.own_in_use > 0, "a unit is released only once");
    --share.own_in_use;
    return;
  }
  const auto loan = share.borrowed.find(unit.loan_id);
  if (loan != share.borrowed.end()) --loan->second.in_use;
}

std::optional<BorrowRequest> LimitShares::MakeBorrowRequest(
    const EntryName& entry, absl::Time now) {
  const auto found = shares_.find(entry);
  if (found == shares_.end()) return std::nullopt;
  Share& share = found->second;
  Refresh(share, now);
  const uint64_t request = ++last_request_id_;
  share.requests_sent[request] = now;
  const int requested_units = std::max(1, share.limits.concurrency / 8);
  return BorrowRequest{self_, request, entry, requested_units};
}

std::optional<BorrowGrant> LimitShares::OnBorrowRequest(
    const BorrowRequest& request, absl::Time now) {
  const auto found = shares_.find(request.entry);
  if (found == shares_.end()) return std::nullopt;
  Share& share = found->second;
  Refresh(share, now);
  const int usable_units = share.own_units - LentUnits(share);
  const int spare_units = usable_units - share.own_in_use;
  // Lends at most half of the spare units, rounded up, so that two processes do
  // not take each other's last units in turn; a single spare unit is lent.
  const int units = std::min(request.units, (spare_units + 1) / 2);
  if (units <= 0) return std::nullopt;
  if (units == usable_units && !LendsLastUnit(share, request, now))
    return std::nullopt;
  share.lent.push_back({units, 0, now + options_.lease + options_.margin});
  CHERRYDYKE_INVARIANT(
      share.own_in_use + LentUnits(share) <= share.own_units,
      "units in use and lent stay within the share of this host");
  return BorrowGrant{request.request_id, request.entry, units,
                     absl::ToInt64Microseconds(options_.lease)};
}

void LimitShares::OnBorrowGrant(const BorrowGrant& grant, absl::Time now) {
  const auto found = shares_.find(grant.entry);
  if (found == shares_.end()) return;
  Share& share = found->second;
  Refresh(share, now);
  const auto pending_request = share.requests_sent.find(grant.request_id);
  if (pending_request == share.requests_sent.end()) return;
  const absl::Time expires_at =
      pending_request->second + absl::Microseconds(grant.lease_us);
  share.requests_sent.erase(pending_request);
  if (expires_at > now)
    share.borrowed[grant.request_id] = {grant.units, 0, expires_at};
}

int LimitShares::UsableUnits(const EntryName& entry, absl::Time now) {
  const auto found = shares_.find(entry);
  if (found == shares_.end()) return 0;
  Share& share = found->second;
  Refresh(share, now);
  int units = share.own_units - LentUnits(share);
  for (const auto& [id, loan] : share.borrowed) {
    if (loan.expires_at > now) units += loan.units;
  }
  return units;
}

int LimitShares::InUse(const EntryName& entry) const {
  const auto found = shares_.find(entry);
  if (found == shares_.end()) return 0;
  int in_use = found->second.own_in_use;
  for (const auto& [id, loan] : found->second.borrowed) in_use += loan.in_use;
  return in_use;
}

}  // namespace cherrydyke
