#include "dispatch/concurrency_limit.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// An answer within this part of its time leaves room for more: queues may
/// double before anything is late.
constexpr double kRoomPart = 0.5;
/// What is kept of the limit when answers are late. From 0.7 to 0.85 the load
/// model gave the same goodput within 0.01.
constexpr double kKept = 0.8;
/// One request is always allowed, so that a recovery is seen.
constexpr double kLeast = 1;
/// Requests that may wait for each connection, so that none is ever idle for
/// want of the next, and those that may wait anyway, for bursts.
constexpr int kWaitingPerConnection = 1;
constexpr int kWaitingAnyway = 2;

double MostFor(int connections) {
  return connections +
         std::max(kWaitingPerConnection * connections, kWaitingAnyway);
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(int connections)
    : most_(MostFor(connections)), limit_(most_) {}

void ConcurrencyLimit::SetConnections(int connections) {
  const double most = MostFor(connections);
  // A limit that nothing has lowered follows.
  limit_ = limit_ >= most_ ? most : std::min(limit_, most);
  most_ = most;
}

void ConcurrencyLimit::ResetToMinimum() { limit_ = std::min(kLeast, most_); }

void ConcurrencyLimit::OnAnswered(absl::Duration spent, absl::Duration useful,
                                  absl::Time now) {
  if (spent > useful) return OnCancelled(spent, useful, now);
  if (spent > useful * kRoomPart) return;
  limit_ = std::min(limit_ + 1 / limit_, most_);
}

void ConcurrencyLimit::OnCancelled(absl::Duration spent, absl::Duration useful,
                                   absl::Time now) {
  // What was sent before the last reduction says nothing of it.
  if (spent <= useful || now - reduced_at_ < useful) return;
  reduced_at_ = now;
  limit_ = std::max(limit_ * kKept, kLeast);
}

}  // namespace cherrydyke
