#include "load/report.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

using nlohmann::ordered_json;

constexpr size_t kMaxReportedErrors = 5;

double QuantileOf(const std::vector<double>& sorted, double quantile) {
  const auto rank = static_cast<size_t>(
      std::ceil(quantile * static_cast<double>(sorted.size())));
  return sorted[std::min(sorted.size(), std::max<size_t>(rank, 1)) - 1];
}

EntryReport Summarise(const std::vector<const Sample*>& samples) {
  EntryReport report;
  report.min_coverage = samples.empty() ? 0 : 1;
  std::vector<double> latencies;
  double coverage = 0;
  for (const Sample* sample : samples) {
    ++report.requests;
    if (!sample->error.empty()) ++report.wrong;
    if (sample->refusal == "cut") ++report.no_response;
    if (sample->status != 200) {
      ++report.refusals[sample->refusal];
      continue;
    }
    ++report.answered;
    if (sample->complete) ++report.complete;
    coverage += sample->coverage;
    report.min_coverage = std::min(report.min_coverage, sample->coverage);
    latencies.push_back(absl::ToDoubleMilliseconds(sample->latency));
  }
  if (report.answered > 0) {
    report.mean_coverage = coverage / static_cast<double>(report.answered);
  } else {
    report.min_coverage = 0;
  }
  report.latency_ms = QuantilesOf(std::move(latencies));
  return report;
}

std::vector<SecondReport> MakeTimeline(const LoadResult& result) {
  const auto seconds =
      static_cast<size_t>(std::ceil(absl::ToDoubleSeconds(result.duration)));
  std::vector<SecondReport> timeline(seconds);
  std::vector<std::vector<double>> latencies(seconds);
  for (const Sample& sample : result.samples) {
    const auto index =
        std::min(seconds - 1,
                 static_cast<size_t>(absl::ToDoubleSeconds(sample.arrival)));
    SecondReport& second = timeline[index];
    if (sample.status != 200) {
      ++second.refused;
      continue;
    }
    ++second.answered;
    if (sample.complete) ++second.complete;
    latencies[index].push_back(absl::ToDoubleMilliseconds(sample.latency));
  }
  for (size_t i = 0; i < seconds; ++i) {
    const Quantiles quantiles = QuantilesOf(latencies[i]);
    timeline[i].second = static_cast<int>(i);
    timeline[i].p50_ms = quantiles.p50;
    timeline[i].p99_ms = quantiles.p99;
  }
  return timeline;
}

std::string FormatRow(const std::string& name, const EntryReport& report) {
  return absl::StrFormat(
      "%-16s %8d %8d %8d %6d %5d %8.4f %8.4f %8.2f %8.2f %8.2f %8.2f\n", name,
      report.requests, report.answered, report.complete, report.wrong,
      report.no_response, report.mean_coverage, report.min_coverage,
      report.latency_ms.p50, report.latency_ms.p90, report.latency_ms.p99,
      report.latency_ms.p999);
}

ordered_json EntryJson(const EntryReport& report) {
  return {{"requests", report.requests},
          {"answered", report.answered},
          {"complete", report.complete},
          {"wrong", report.wrong},
          {"cut", report.no_response},
          {"mean_coverage", report.mean_coverage},
          {"min_coverage", report.min_coverage},
          {"latency_ms",
           {{"p50", report.latency_ms.p50},
            {"p90", report.latency_ms.p90},
            {"p99", report.latency_ms.p99},
            {"p999", report.latency_ms.p999}}},
          {"refusals", report.refusals}};
}

}  // namespace

Quantiles QuantilesOf(std::vector<double> values_ms) {
  if (values_ms.empty()) return {};
  std::sort(values_ms.begin(), values_ms.end());
  return {QuantileOf(values_ms, 0.5), QuantileOf(values_ms, 0.9),
          QuantileOf(values_ms, 0.99), QuantileOf(values_ms, 0.999)};
}

LoadReport MakeReport(const LoadResult& result) {
  LoadReport report;
  report.seconds = absl::ToDoubleSeconds(result.duration);
  report.not_sent = result.not_sent;
  report.hedges = result.hedges;
  std::vector<const Sample*> all;
  std::map<EntryName, std::vector<const Sample*>> by_entry;
  for (const Sample& sample : result.samples) {
    all.push_back(&sample);
    by_entry[sample.entry].push_back(&sample);
    const bool is_kept =
        !sample.error.empty() && report.errors.size() < kMaxReportedErrors;
    if (is_kept) report.errors.push_back(sample.entry + ": " + sample.error);
  }
  report.all = Summarise(all);
  for (const auto& [entry, samples] : by_entry) {
    report.entries[entry] = Summarise(samples);
  }
  report.offered_per_s =
      static_cast<double>(report.all.requests + report.not_sent) /
      report.seconds;
  report.answered_per_s =
      static_cast<double>(report.all.answered) / report.seconds;
  if (result.needed_sub_requests > 0) {
    report.load_factor = static_cast<double>(result.sub_requests) /
                         static_cast<double>(result.needed_sub_requests);
  }
  report.timeline = MakeTimeline(result);
  return report;
}

std::string ReportTable(const LoadReport& report) {
  std::string table = absl::StrFormat(
      "offered %.1f/s  answered %.1f/s  not sent %d  sub-requests per "
      "needed one %.4f  hedges %d\n",
      report.offered_per_s, report.answered_per_s, report.not_sent,
      report.load_factor, report.hedges);
  absl::StrAppend(
      &table,
      absl::StrFormat("%-16s %8s %8s %8s %6s %5s %8s %8s %8s %8s %8s %8s\n",
                      "entry", "requests", "answered", "complete", "wrong",
                      "cut", "mean cov", "min cov", "p50 ms", "p90 ms",
                      "p99 ms", "p99.9 ms"));
  for (const auto& [entry, entry_report] : report.entries) {
    absl::StrAppend(&table, FormatRow(entry, entry_report));
  }
  absl::StrAppend(&table, FormatRow("all", report.all));
  for (const auto& [reason, count] : report.all.refusals) {
    absl::StrAppend(&table, "refused ", reason, ": ", count, "\n");
  }
  for (const std::string& error : report.errors) {
    absl::StrAppend(&table, "WRONG ", error, "\n");
  }
  return table;
}

std::string ReportJson(const LoadReport& report) {
  ordered_json json = {{"seconds", report.seconds},
                       {"offered_per_s", report.offered_per_s},
                       {"answered_per_s", report.answered_per_s},
                       {"not_sent", report.not_sent},
                       {"load_factor", report.load_factor},
                       {"hedges", report.hedges},
                       {"all", EntryJson(report.all)}};
  json["entries"] = ordered_json::object();
  for (const auto& [entry, entry_report] : report.entries) {
    json["entries"][entry] = EntryJson(entry_report);
  }
  json["timeline"] = ordered_json::array();
  for (const SecondReport& second : report.timeline) {
    json["timeline"].push_back({{"second", second.second},
                                {"answered", second.answered},
                                {"complete", second.complete},
                                {"refused", second.refused},
                                {"p50_ms", second.p50_ms},
                                {"p99_ms", second.p99_ms}});
  }
  json["faults"] = report.errors;
  return json.dump(2);
}

}  // namespace cherrydyke
