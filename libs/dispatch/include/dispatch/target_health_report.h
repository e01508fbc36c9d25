#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/target_health.h"

namespace cherrydyke {

/// Outcomes of requests to one target on one host since its last report.
struct TargetHealthReport {
  /// Hash of the target's id.
  uint32_t target = 0;
  uint8_t answers = 0;
  /// Requests that were rejected, failed or got no valid answer.
  uint8_t failures = 0;
  /// Remaining time for which the target asked the reporting host to back off,
  /// in units of 100 ms; the maximum value for a target that is leaving.
  uint8_t backoff_ds = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, answers, failures, backoff_ds);
  }

  /// @return the remaining backoff.
  absl::Duration backoff() const {
    return absl::Milliseconds(backoff_ds * 100);
  }

  friend bool operator==(const TargetHealthReport& a,
                         const TargetHealthReport& b) {
    return std::tie(a.target, a.answers, a.failures, a.backoff_ds) ==
           std::tie(b.target, b.answers, b.failures, b.backoff_ds);
  }
};

/// Collects health reports of targets to gossip to the hosts of the same
/// failure domain. In a large fleet a single host sends too few requests to a
/// target to detect its failures by itself. Pure: time is an argument.
class HealthReportCollector {
 public:
  void RecordOutcome(uint32_t target, TargetOutcome outcome);
  /// Records that the target asked for no requests until then, or without end
  /// if it is leaving.
  void RecordBackoff(uint32_t target, absl::Time until);

  /// Takes the reports that are worth sending: those with failures or a
  /// backoff, and those of targets with an elevated failure rate. Other counts
  /// are discarded.
  /// @param limit maximum number of reports.
  /// @param has_elevated_failure_rate whether the target is known to fail at
  /// times, so that its answers are reported even if there were no failures.
  /// @return the reports, longest backoff first, then most failures first.
  /// Those beyond `limit` are kept for the next call.
  std::vector<TargetHealthReport> TakeReports(
      size_t limit,
      const std::function<bool(uint32_t target)>& has_elevated_failure_rate,
      absl::Time now);

 private:
  struct Entry {
    uint32_t answers = 0;
    uint32_t failures = 0;
    absl::Time backoff_until = absl::InfinitePast();
  };
  std::map<uint32_t, Entry> pending_;
};

}  // namespace cherrydyke
