#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// One catalogue entry's part of the load.
struct WeightedEntry {
  EntryName entry;
  double weight = 1;
};

struct LoadPlan {
  std::vector<Endpoint> entries;
  std::vector<WeightedEntry> mix;
  double rate_per_s = 100;
  absl::Duration duration = absl::Seconds(10);
  /// Requests that may wait for an answer at once; arrivals beyond are counted
  /// as not sent.
  int workers = 256;
  int timeout_ms = 0;
  /// One document in so many matches a query.
  int every = 16;
  /// Documents that the stand-ins hold.
  int documents = 256;
  /// Distinct queries; a small number lets canaries be saved.
  int distinct_queries = 1'000'000'000;
  /// Age of the balancer's knowledge; zero sends to all entries in turn.
  absl::Duration balancer_lag;
  uint64_t seed = 1;
  /// Called once a second with a line for people.
  std::function<void(const std::string&)> progress;
};

/// What came of one request.
struct Sample {
  EntryName entry;
  /// Since the start of the run.
  absl::Duration arrival;
  /// From the planned arrival to the whole answer.
  absl::Duration latency;
  /// 0 if the connection was cut or nothing came.
  int status = 0;
  double coverage = 0;
  bool complete = false;
  /// Reason of a refusal, or "cut".
  std::string refusal;
  /// What the check of the answer found wrong, or "".
  std::string error;
};

struct LoadResult {
  absl::Duration duration;
  std::vector<Sample> samples;
  int64_t not_sent = 0;
  /// Sub-requests sent, and those needed if each were sent once.
  int64_t sub_requests = 0;
  int64_t needed_sub_requests = 0;
  int64_t hedges = 0;
};

/// Offers open-loop load: arrivals follow their own schedule and do not wait
/// for answers. Each answer is checked against what the stand-ins hold.
LoadResult RunLoad(const LoadPlan& plan);

}  // namespace cherrydyke
