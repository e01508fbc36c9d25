#include "dispatch/crash_detector.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {
namespace {

/// A connection to a process that is terminating does not stay established this
/// long, and responses that it sent before have arrived.
constexpr absl::Duration kSurvivalTime = absl::Milliseconds(150);
/// A target that has sent nothing for this long while an attempt ran is silent:
/// longer than the specified pause of targets.
constexpr absl::Duration kSilenceTime = absl::Milliseconds(300);
/// An attempt that was sent to a target which had been silent for longer than
/// this did not cause the silence.
constexpr absl::Duration kMaxPriorSilence = absl::Seconds(1);
/// Time after a refused connection at which a path that still works shows that
/// only the target refused: a partition resets all connections within it.
constexpr absl::Duration kConfirmationTime = absl::Milliseconds(100);
/// Time to decide about an attempt: the entry of a process that has ended
/// expires within it.
constexpr absl::Duration kDecisionTime = absl::Seconds(6);

}  // namespace

template <typename Predicate>
void CrashDetector::Decide(CrashVerdict verdict, Predicate predicate) {
  const auto decided = std::stable_partition(
      pending_.begin(), pending_.end(),
      [&](const Pending& entry) { return !predicate(entry); });
  std::vector<OnVerdict> callbacks;
  for (auto entry = decided; entry != pending_.end(); ++entry) {
    callbacks.push_back(std::move(entry->on_verdict));
  }
  pending_.erase(decided, pending_.end());
  for (const OnVerdict& on_verdict : callbacks) on_verdict(verdict);
}

void CrashDetector::OnUnanswered(const Attempt& attempt, absl::Time now,
                                 OnVerdict on_verdict) {
  const auto& [loss, sent_at, silent_since] = attempt;
  const absl::Time last_sign = std::max(last_response_at_, last_connected_at_);
  if (ended_at_) {
    return on_verdict(last_sign > *ended_at_ ? CrashVerdict::kSurvived
                                             : CrashVerdict::kCrashed);
  }
  if (loss == AttemptLoss::kAbandoned) {
    const bool is_silent =
        last_response_at_ <= sent_at || now - last_response_at_ >= kSilenceTime;
    if (!is_silent) return on_verdict(CrashVerdict::kSurvived);
    if (sent_at - silent_since > kMaxPriorSilence) {
      return on_verdict(CrashVerdict::kUnexplained);
    }
    if (last_timeout_at_ > sent_at && last_timeout_at_ > last_sign) {
      return on_verdict(CrashVerdict::kCrashed);
    }
  }
  pending_.push_back(
      {loss, now, false, absl::InfiniteFuture(), std::move(on_verdict)});
}

void CrashDetector::OnResponse(absl::Time now) {
  last_response_at_ = now;
  Decide(CrashVerdict::kSurvived, [&](const Pending& entry) {
    return now - entry.ended_at >= kSurvivalTime;
  });
}

void CrashDetector::OnConnected(absl::Time now) { last_connected_at_ = now; }

void CrashDetector::OnConnectFailed(bool refused, bool path_works,
                                    absl::Time now) {
  if (refused) {
    for (Pending& entry : pending_) {
      if (!entry.accepted) entry.refused_at = std::min(entry.refused_at, now);
    }
    return;
  }
  if (!path_works) return;
  last_timeout_at_ = now;
  Decide(CrashVerdict::kCrashed,
         [](const Pending& entry) { return !entry.accepted; });
}

void CrashDetector::OnInstanceEnded(bool announced, bool is_connected,
                                    absl::Time now) {
  if (!announced) {
    if (!ended_at_) ended_at_ = now;
    Decide(CrashVerdict::kCrashed, [&](const Pending& entry) {
      return !entry.accepted || is_connected;
    });
  }
  Decide(CrashVerdict::kUnexplained, [](const Pending&) { return true; });
}

void CrashDetector::OnPoll(bool is_connected, bool path_works, absl::Time now) {
  const auto is_confirmable = [&](const Pending& entry) {
    return now - entry.refused_at >= kConfirmationTime;
  };
  if (path_works) {
    // A process with a connection older than the refusal still runs.
    Decide(CrashVerdict::kCrashed, [&](const Pending& entry) {
      return is_confirmable(entry) &&
             (!is_connected || last_connected_at_ > entry.refused_at);
    });
  }
  for (Pending& entry : pending_) {
    if (is_confirmable(entry)) entry.refused_at = absl::InfiniteFuture();
    if (entry.refused_at != absl::InfiniteFuture()) continue;
    // Connections to a silent process seem established.
    const bool is_evidence = entry.loss == AttemptLoss::kConnectionLost ||
                             last_connected_at_ > entry.ended_at;
    if (is_connected && is_evidence && now - entry.ended_at >= kSurvivalTime) {
      entry.accepted = true;
    }
  }
  const auto is_over = [&](const Pending& entry) {
    return now - entry.ended_at >= kDecisionTime;
  };
  Decide(CrashVerdict::kSurvived, [&](const Pending& entry) {
    return entry.accepted && is_over(entry);
  });
  Decide(CrashVerdict::kUnexplained, is_over);
}

bool CrashDetector::NeedsProbe() const {
  return std::any_of(pending_.begin(), pending_.end(),
                     [](const Pending& entry) { return !entry.accepted; });
}

}  // namespace cherrydyke
