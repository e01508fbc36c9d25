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

/// @return exact quantiles of the values, zero if there are none.
Quantiles QuantilesOf(std::vector<double> values_ms);

/// Figures of one entry, or of all together.
struct EntryReport {
  int64_t requests = 0;
  int64_t answered = 0;
  int64_t complete = 0;
  int64_t wrong = 0;
  int64_t no_response = 0;
  double mean_coverage = 0;
  double min_coverage = 0;
  Quantiles latency_ms;
  std::map<std::string, int64_t> refusals;
};

/// Figures of one second of a run.
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
  int64_t not_sent = 0;
  /// Sub-requests sent for each one needed.
  double load_factor = 0;
  int64_t hedges = 0;
  EntryReport all;
  std::map<EntryName, EntryReport> entries;
  std::vector<SecondReport> timeline;
  /// Some of what was found wrong in answers.
  std::vector<std::string> errors;
};

LoadReport MakeReport(const LoadResult& result);

/// @return the report as a table for people.
std::string ReportTable(const LoadReport& report);

/// @return the report as JSON.
std::string ReportJson(const LoadReport& report);

/// @return two JSON reports side by side, or what is wrong with them.
std::string CompareReports(const std::string& a_json,
                           const std::string& b_json);

/// @return the timeline of a JSON report as an SVG picture.
std::string PlotReport(const std::string& report_json);

}  // namespace cherrydyke
