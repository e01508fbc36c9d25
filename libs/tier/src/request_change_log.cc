#include "tier/request_change_log.h"

#include <utility>

namespace cherrydyke {
namespace {

Fields ChangeFields(const RouteChange& change, absl::Time now) {
  return {{"changed_by", change.version},
          {"version_before", change.version_before},
          {"changed_ms",
           absl::ToInt64Milliseconds(now - change.lines.changed_at())}};
}

Fields WithdrawalFields(const Withdrawal& withdrawal, absl::Time now) {
  return {{"withdrawn", withdrawal.target},
          {"withdrawn_reason", withdrawal.reason},
          {"withdrawn_ms",
           absl::ToInt64Milliseconds(now - withdrawal.lines.changed_at())}};
}

void Append(Fields added, Fields& fields) {
  for (Field& field : added) fields.push_back(std::move(field));
}

}  // namespace

RouteChange* RequestChangeLog::FindChange(const HandledRequest& request) {
  return routes_.Find(request.host, request.path, request.matched_prefix,
                      request.ended_at);
}

bool RequestChangeLog::OnEnded(const HandledRequest& request, Fields& fields) {
  bool is_due = false;
  if (RouteChange* const change = FindChange(request)) {
    is_due = change->lines.Take(request.ended_at);
    Append(ChangeFields(*change, request.ended_at), fields);
  }
  for (const uint32_t target : request.targets) {
    Withdrawal* const withdrawal = targets_.Find(target, request.ended_at);
    if (withdrawal == nullptr) continue;
    is_due = withdrawal->lines.Take(request.ended_at) || is_due;
    Append(WithdrawalFields(*withdrawal, request.ended_at), fields);
    break;
  }
  return is_due && limiter_.TryAcquire("done after a change", kDoneLines,
                                       request.ended_at);
}

bool RequestChangeLog::OnRefused(const HandledRequest& request,
                                 Fields& fields) {
  RouteChange* const change = FindChange(request);
  if (change == nullptr) return false;
  Append(ChangeFields(*change, request.ended_at), fields);
  return limiter_.TryAcquire("refused after a change", kRefusedLines,
                             request.ended_at);
}

void RequestChangeLog::OnRoutes(const RouteTable* before,
                                const RouteTable& table, absl::Time now) {
  routes_.OnRoutes(before, table, now);
  // Requests before the first configuration have no route of another version.
  if (before == nullptr) return;
  std::map<const RouteChange*, int> numbers;
  const auto change_of = [&](const HandledRequest& request) {
    const RouteChange* const change =
        routes_.Find(request.host, request.path, request.matched_prefix, now);
    if (change == nullptr || change->version != table.version()) {
      return RequestTrail::kNoChange;
    }
    return numbers.emplace(change, numbers.size()).first->second;
  };
  for (const HandledRequest* const request :
       trail_.TakeConcerned(change_of, now)) {
    NoteBefore(*request,
               {{"changed_by", table.version()},
                {"version_before", before->version()}},
               now);
  }
}

void RequestChangeLog::OnNotices(const std::vector<WithdrawalNotice>& notices,
                                 absl::Time now) {
  targets_.OnNotices(notices, now);
  std::map<uint32_t, int> numbers;
  for (const WithdrawalNotice& notice : notices) {
    if (notice.reason.empty()) continue;
    numbers.emplace(notice.instance_hash, numbers.size());
  }
  if (numbers.empty()) return;
  const auto change_of = [&](const HandledRequest& request) {
    for (const uint32_t target : request.targets) {
      const auto found = numbers.find(target);
      if (found != numbers.end()) return found->second;
    }
    return RequestTrail::kNoChange;
  };
  for (const HandledRequest* const request :
       trail_.TakeConcerned(change_of, now)) {
    Fields fields;
    for (const uint32_t target : request->targets) {
      if (numbers.count(target) == 0) continue;
      if (const Withdrawal* const found = targets_.Find(target, now)) {
        fields = {{"withdrawn", found->target},
                  {"withdrawn_reason", found->reason}};
      }
      break;
    }
    NoteBefore(*request, std::move(fields), now);
  }
}

void RequestChangeLog::NoteBefore(const HandledRequest& request, Fields fields,
                                  absl::Time now) {
  if (before_.size() == kMaxWaitingLines) {
    ++dropped_before_;
    return;
  }
  Append(
      {{"request", request.id},
       {"path", request.path},
       {"config_version", request.config_version},
       {"outcome", request.outcome},
       {"ms",
        absl::ToInt64Milliseconds(request.ended_at - request.received_at)},
       {"ended_ms_before", absl::ToInt64Milliseconds(now - request.ended_at)},
       {"published_age_ms", absl::ToInt64Milliseconds(request.state.age)},
       {"behind_ms", absl::ToInt64Milliseconds(request.state.behind)}},
      fields);
  before_.push_back(std::move(fields));
}

void RequestChangeLog::LogBefore() {
  for (size_t i = 0; i < kBeforeLines && !before_.empty(); ++i) {
    LogInfo("request before a change", before_.front());
    before_.pop_front();
  }
}

std::map<std::string, int> RequestChangeLog::TakeDroppedLines() {
  std::map<std::string, int> dropped = limiter_.TakeDroppedCounts();
  if (const int before = std::exchange(dropped_before_, 0)) {
    dropped["before a change"] = before;
  }
  return dropped;
}

void RequestChangeLog::OnSent(const std::string& request,
                              uint32_t instance_hash, absl::Time selected_at,
                              absl::Time now) {
  const Withdrawal* const withdrawal = targets_.Find(instance_hash, now);
  if (withdrawal == nullptr) return;
  if (!limiter_.TryAcquire("sent after a withdrawal", kDoneLines, now)) return;
  Fields fields = WithdrawalFields(*withdrawal, now);
  Append({{"request", request},
          {"selected_ms", absl::ToInt64Milliseconds(now - selected_at)}},
         fields);
  LogWarning("request sent to a withdrawn target", fields);
}

}  // namespace cherrydyke
