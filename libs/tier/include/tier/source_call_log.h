#pragma once

#include <array>
#include <string>

#include "absl/time/time.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "tier/call_durations.h"
#include "tier/source_call.h"

namespace cherrydyke {

/// Logs and measures the calls to the configuration service: when they begin to
/// fail, while they fail, when they are answered again, and when they become
/// slow or fast again.
///
/// Pure but for the log: time is an argument.
class SourceCallLog {
 public:
  /// Time between two lines of an outage that goes on.
  static constexpr absl::Duration kOutagePeriod = absl::Seconds(10);

  /// How current and how punctual the host is.
  struct HostState {
    /// Time since it was proven to have every published change.
    absl::Duration published_age;
    /// How late its timers are: long without processor time.
    absl::Duration lateness;
  };

  explicit SourceCallLog(Metrics& metrics) : metrics_(metrics) {}

  /// A call has ended.
  void OnCall(const SourceCall& call, const HostState& host, absl::Time now);

 private:
  static constexpr size_t kEnds = 6;

  void Measure(const SourceCall& call, const CallDuration& duration);
  void OnAnswer(const SourceCall& call, const HostState& host, absl::Time now);
  void OnFailure(const SourceCall& call, const HostState& host, absl::Time now);
  /// @return the fields that all lines have.
  Fields CommonFields(const SourceCall& call, const HostState& host) const;
  /// @return the failures of the streak by how they ended.
  std::string FailuresByEnd() const;

  Metrics& metrics_;
  CallDurations durations_;
  /// Calls in a row that were not answered, and those by how they ended.
  int failures_ = 0;
  std::array<int, kEnds> failures_by_end_{};
  absl::Time failing_since_;
  absl::Time last_failure_line_at_;
};

}  // namespace cherrydyke
