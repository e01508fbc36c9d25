#include "tier/hedged_calls.h"

#include <algorithm>

#include "base/invariant.h"

namespace cherrydyke {
namespace {

constexpr size_t kMaxCalls = 2;
/// Bounds the memory of a long outage. The oldest and the youngest ones tell
/// how long it was.
constexpr size_t kMaxUnresolved = 16;

}  // namespace

std::optional<HedgedCalls::CallNumber> HedgedCalls::MakeRoom() {
  if (calls_.size() < kMaxCalls) return std::nullopt;
  const Call cancelled = calls_.back();
  calls_.pop_back();
  if (cancelled.is_late) AddUnresolved(cancelled.started_at);
  return cancelled.number;
}

HedgedCalls::CallNumber HedgedCalls::OnStarted(absl::Time now) {
  CHERRYDYKE_INVARIANT(calls_.size() < kMaxCalls, "a third call was made");
  calls_.push_back({++last_number_, now, false});
  return last_number_;
}

void HedgedCalls::OnLate(CallNumber call) { Find(call)->is_late = true; }

HedgedCalls::Failure HedgedCalls::OnFailed(CallNumber call) {
  const auto found = Find(call);
  const Failure failure = {found->started_at, found->is_late};
  calls_.erase(found);
  return failure;
}

HedgedCalls::Failure HedgedCalls::OnGivenUp(CallNumber call) {
  patience_ = std::min(2 * patience_, options_.max_patience);
  return OnFailed(call);
}

HedgedCalls::Answer HedgedCalls::OnAnswered(CallNumber call) {
  Answer answer;
  answer.started_at = OnFailed(call).started_at;
  for (const Call& other : calls_) {
    if (other.is_late) AddUnresolved(other.started_at);
    answer.useless.push_back(other.number);
  }
  std::sort(unresolved_.begin(), unresolved_.end());
  const auto later = std::lower_bound(unresolved_.begin(), unresolved_.end(),
                                      answer.started_at);
  answer.lost.assign(unresolved_.begin(), later);
  answer.overtaken.assign(later, unresolved_.end());
  calls_.clear();
  unresolved_.clear();
  patience_ = options_.patience;
  return answer;
}

std::vector<HedgedCalls::Call>::iterator HedgedCalls::Find(CallNumber number) {
  const auto found =
      std::find_if(calls_.begin(), calls_.end(),
                   [&](const Call& call) { return call.number == number; });
  CHERRYDYKE_INVARIANT(found != calls_.end(), "unknown call");
  return found;
}

void HedgedCalls::AddUnresolved(absl::Time started_at) {
  if (unresolved_.size() == kMaxUnresolved) {
    unresolved_.erase(unresolved_.begin() + 1);
  }
  unresolved_.push_back(started_at);
}

}  // namespace cherrydyke
