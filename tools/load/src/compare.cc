#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "load/report.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

using nlohmann::json;

struct Metric {
  const char* name;
  const char* pointer;
};

constexpr Metric kMetrics[] = {
    {"offered/s", "/offered_per_s"},
    {"answered/s", "/answered_per_s"},
    {"sub-requests per needed one", "/load_factor"},
    {"wrong answers", "/all/wrong"},
    {"requests without response", "/all/cut"},
    {"mean coverage", "/all/mean_coverage"},
    {"min coverage", "/all/min_coverage"},
    {"p50 ms", "/all/latency_ms/p50"},
    {"p90 ms", "/all/latency_ms/p90"},
    {"p99 ms", "/all/latency_ms/p99"},
    {"p99.9 ms", "/all/latency_ms/p999"},
};

}  // namespace

std::string CompareReports(const std::string& a_json,
                           const std::string& b_json) {
  const json a = json::parse(a_json, nullptr, false);
  const json b = json::parse(b_json, nullptr, false);
  if (!a.is_object()) return "the first report is not a JSON object\n";
  if (!b.is_object()) return "the second report is not a JSON object\n";
  std::string table =
      absl::StrFormat("%-30s %12s %12s %9s\n", "", "first", "second", "ratio");
  for (const Metric& metric : kMetrics) {
    const double a_value = a.value(json::json_pointer(metric.pointer), 0.0);
    const double b_value = b.value(json::json_pointer(metric.pointer), 0.0);
    const std::string ratio =
        a_value == 0 ? "-" : absl::StrFormat("%.3f", b_value / a_value);
    absl::StrAppend(&table,
                    absl::StrFormat("%-30s %12.4f %12.4f %9s\n", metric.name,
                                    a_value, b_value, ratio));
  }
  return table;
}

}  // namespace cherrydyke
