#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// A catalogue entry and the weight of its share of the requests.
struct WeightedEntry {
  EntryName entry;
  double weight = 1;
};

struct LoadPlan {
  std::vector<Endpoint> entries;
  std::vector<WeightedEntry> mix;
  double rate_per_s = 100;
  absl::Duration duration = absl::Seconds(10);
  /// Maximum number of requests queued or in flight; further arrivals are
  /// counted as not sent.
  int workers = 256;
  /// Timeout sent with each query; 0 leaves it to the entry.
  int timeout_ms = 0;
  /// Each query matches one document in this many.
  int every = 16;
  /// Number of documents held by the fake targets.
  int documents = 256;
  /// Number of distinct queries; with few, entries can skip canary requests for
  /// queries that succeeded before.
  int distinct_queries = 1'000'000'000;
  /// Age of the readiness information that the balancer uses; zero sends to
  /// all entries in turn.
  absl::Duration balancer_lag;
  uint64_t seed = 1;
  /// Called once a second with a human-readable line.
  std::function<void(const std::string&)> progress;
};

/// Result of one request.
struct Sample {
  EntryName entry;
  /// Planned arrival, relative to the start of the run.
  absl::Duration arrival;
  /// From the planned arrival to the complete response.
  absl::Duration latency;
  /// HTTP status; 0 if no response was received.
  int status = 0;
  double coverage = 0;
  bool complete = false;
  /// Reason given in an error response, "unreadable" if it has none, or "cut"
  /// if no response was received.
  std::string refusal;
  /// Error found by the check of the answer, or "".
  std::string error;
};

struct LoadResult {
  absl::Duration duration;
  std::vector<Sample> samples;
  int64_t not_sent = 0;
  /// Sub-requests sent, and the number needed if each were sent only once.
  int64_t sub_requests = 0;
  int64_t needed_sub_requests = 0;
  int64_t hedges = 0;
};

/// Generates open-loop load: arrivals follow a Poisson process and do not wait
/// for responses. Each answer is checked against the documents of the fake
/// targets. Blocks until all requests have ended.
LoadResult RunLoad(const LoadPlan& plan);

}  // namespace cherrydyke
