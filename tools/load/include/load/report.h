#pragma once

#include <map>
#include <string>
#include <vector>

#include "load/runner.h"

namespace cherrydyke {

/// Latency quantiles in milliseconds.
struct Quantiles {
  double p50 = 0;
  double p90 = 0;
  double p99 = 0;
  double p999 = 0;
};

/// @return the exact quantiles of the values; all zero if there are no values.
Quantiles QuantilesOf(std::vector<double> values_ms);

/// Results of the requests to one catalogue entry, or to all entries.
struct EntryReport {
  int64_t requests = 0;
  int64_t answered = 0;
  int64_t complete = 0;
  /// Answers that failed the check.
  int64_t wrong = 0;
  /// Requests whose connection failed or that timed out.
  int64_t no_response = 0;
  double mean_coverage = 0;
  double min_coverage = 0;
  Quantiles latency_ms;
  /// Number of requests that were not answered, by reason.
  std::map<std::string, int64_t> refusals;
};

/// Results of the requests that arrived within one second of a run.
struct SecondReport {
  int second = 0;
  int64_t answered = 0;
  int64_t complete = 0;
  int64_t refused = 0;
  double p50_ms = 0;
  double p99_ms = 0;
};

struct LoadReport {
  double seconds = 0;
  double offered_per_s = 0;
  double answered_per_s = 0;
  /// Arrivals dropped because all workers were in use.
  int64_t not_sent = 0;
  /// Ratio of sub-requests sent to sub-requests needed.
  double load_factor = 0;
  int64_t hedges = 0;
  EntryReport all;
  std::map<EntryName, EntryReport> entries;
  std::vector<SecondReport> timeline;
  /// The first errors found by the check of answers.
  std::vector<std::string> errors;
};

LoadReport MakeReport(const LoadResult& result);

/// @return the report as a human-readable table.
std::string ReportTable(const LoadReport& report);

/// @return the report as JSON.
std::string ReportJson(const LoadReport& report);

/// @return a table of two JSON reports side by side, or an error message if one
/// of them is not a JSON object.
std::string CompareReports(const std::string& a_json,
                           const std::string& b_json);

/// @return the timeline of a JSON report as an SVG image.
std::string PlotReport(const std::string& report_json);

}  // namespace cherrydyke
