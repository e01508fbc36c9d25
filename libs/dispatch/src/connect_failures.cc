#include "dispatch/connect_failures.h"

#include <algorithm>

namespace cherrydyke {
namespace {

/// Targets to which connecting must have failed.
constexpr size_t kMinTargets = 3;
/// How long a failure counts: a host tries unreachable targets of services in
/// use again at least once in this time.
constexpr absl::Duration kFailureValidity = absl::Seconds(5);
/// How long an established connection shows that others can be, too.
constexpr absl::Duration kConnectedValidity = absl::Milliseconds(300);

}  // namespace

void ConnectFailures::OnFailed(uint32_t target, const FailureDomainName& domain,
                               absl::Time now) {
  std::vector<Failure>& failures = failures_[domain];
  const auto same = std::find_if(
      failures.begin(), failures.end(),
      [&](const Failure& failure) { return failure.target == target; });
  if (same != failures.end()) {
    failures.erase(same);
  } else if (failures.size() == kMinTargets) {
    failures.erase(failures.begin());
  }
  failures.push_back({target, now});
}

void ConnectFailures::OnConnected(absl::Time now) {
  failures_.clear();
  connected_at_ = now;
}

bool ConnectFailures::AreGeneral(absl::Time now) const {
  if (now - connected_at_ < kConnectedValidity) return false;
  size_t targets = 0;
  size_t domains = 0;
  for (const auto& [domain, failures] : failures_) {
    const auto valid = std::count_if(
        failures.begin(), failures.end(), [now](const Failure& failure) {
          return now - failure.failed_at <= kFailureValidity;
        });
    targets += static_cast<size_t>(valid);
    if (valid > 0) ++domains;
  }
  return targets >= kMinTargets && domains > 1;
}

}  // namespace cherrydyke
