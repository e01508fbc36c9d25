#pragma once

#include <string>
#include <tuple>

#include "absl/time/time.h"
#include "tier/published_items.h"

namespace cherrydyke {

/// What a call to the configuration service asks for.
enum class SourceCallKind { kPage, kWatch };

/// How a call to the configuration service ended.
enum class SourceCallEnd {
  kAnswered,
  /// No connection was established in time.
  kConnect,
  /// The response did not begin in time.
  kFirstByte,
  /// No further part of the response arrived in time.
  kStall,
  /// The response was not complete in time.
  kReceive,
  /// Refused, lost, or answered with an error.
  kFailed,
};

/// @return the name in log lines and metrics.
const char* ToString(SourceCallKind kind);
const char* ToString(SourceCallEnd end);

/// A call to the configuration service that has ended.
struct SourceCall {
  SourceCallKind kind = SourceCallKind::kPage;
  SourceCallEnd end = SourceCallEnd::kAnswered;
  absl::Duration elapsed;
  /// How long the service was to hold the call while nothing changes.
  absl::Duration wait;
  /// Description of the failure; empty for a call that was answered.
  std::string error;
  /// Version up to which the caller had read before.
  PublishedVersion as_of;

  bool is_answered() const { return end == SourceCallEnd::kAnswered; }

  friend bool operator==(const SourceCall& a, const SourceCall& b) {
    return a.Key() == b.Key();
  }
  friend bool operator!=(const SourceCall& a, const SourceCall& b) {
    return !(a == b);
  }

 private:
  std::tuple<SourceCallKind, SourceCallEnd, absl::Duration, absl::Duration,
             std::string, PublishedVersion>
  Key() const {
    return {kind, end, elapsed, wait, error, as_of};
  }
};

}  // namespace cherrydyke
