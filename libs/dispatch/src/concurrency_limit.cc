#include "dispatch/concurrency_limit.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// The limit rises only if an answer took at most this fraction of the maximum
/// latency: queues may then double before answers are late.
constexpr double kIncreaseThreshold = 0.5;
/// Factor of the multiplicative decrease. Goodput is not sensitive to it: from
/// 0.7 to 0.85 the load model differs by less than 0.01.
constexpr double kDecreaseFactor = 0.8;
/// One request is always allowed, so that a recovery is detected.
constexpr double kMinLimit = 1;
/// Requests that may queue for each connection, so that it never idles between
/// two requests, and at least for all connections together, for bursts.
constexpr int kQueuedPerConnection = 1;
constexpr int kMinQueued = 2;

double MaxLimitFor(int connections) {
  return connections + std::max(kQueuedPerConnection * connections, kMinQueued);
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(int connections)
    : max_limit_(MaxLimitFor(connections)), limit_(max_limit_) {}

void ConcurrencyLimit::SetConnections(int connections) {
  const double max_limit = MaxLimitFor(connections);
  // A limit that has not been lowered stays at the maximum.
  limit_ = limit_ >= max_limit_ ? max_limit : std::min(limit_, max_limit);
  max_limit_ = max_limit;
}

void ConcurrencyLimit::ResetToMinimum() {
  limit_ = std::min(kMinLimit, max_limit_);
}

void ConcurrencyLimit::OnAnswered(absl::Duration latency,
                                  absl::Duration max_latency, absl::Time now) {
  if (latency > max_latency) return OnCancelled(latency, max_latency, now);
  if (latency > max_latency * kIncreaseThreshold) return;
  limit_ = std::min(limit_ + 1 / limit_, max_limit_);
}

void ConcurrencyLimit::OnCancelled(absl::Duration latency,
                                   absl::Duration max_latency, absl::Time now) {
  // Requests sent before the last decrease do not reflect it.
  if (latency <= max_latency || now - decreased_at_ < max_latency) return;
  decreased_at_ = now;
  limit_ = std::max(limit_ * kDecreaseFactor, kMinLimit);
}

}  // namespace cherrydyke
