#include "fakes/query_response_check.h"

#include <cmath>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr double kFractionTolerance = 0.0001;

struct MissingRanges {
  RangeSet missing;
  double span = 0;
};

MissingRanges ParseMissingRanges(const json& coverage) {
  MissingRanges missing_ranges;
  for (const json& missing : coverage.at("missing")) {
    const KeyRange range{missing.at("range").at(0).get<std::string>(),
                         missing.at("range").at(1).get<std::string>()};
    missing_ranges.missing.Add(range);
    missing_ranges.span += KeySpan(range);
  }
  return missing_ranges;
}

bool IsInMissingRange(const MissingRanges& missing_ranges,
                      const std::string& key) {
  for (const KeyRange& range : missing_ranges.missing.ranges()) {
    if (range.Contains(key)) return true;
  }
  return false;
}

std::string CheckCoverage(const json& coverage,
                          const MissingRanges& missing_ranges) {
  const bool complete = coverage.at("complete").get<bool>();
  const double fraction = coverage.at("fraction").get<double>();
  if (complete != coverage.at("missing").empty()) {
    return "expected complete to be true exactly if no range is missing";
  }
  if (complete && fraction != 1.0)
    return "complete is true, but the fraction is not 1";
  if (!complete && fraction >= 1.0)
    return "complete is false, but the fraction is at least 1";
  if (std::abs(1 - missing_ranges.span - fraction) > kFractionTolerance) {
    return absl::StrCat("fraction ", fraction,
                        " does not match the missing span ",
                        missing_ranges.span);
  }
  return "";
}

std::string CheckResults(const json& results,
                         const MissingRanges& missing_ranges,
                         const DocumentQuery& query, IndexVersion version) {
  std::set<std::string> result_keys;
  for (const json& result : results) {
    const auto key = result.at("key").get<std::string>();
    if (result.at("version").get<IndexVersion>() != version) {
      return absl::StrCat(key, " has another index version than the snapshot");
    }
    if (!result_keys.insert(key).second)
      return key + " occurs twice in the results";
  }
  std::set<std::string> expected_keys;
  for (const Document& document : FindDocuments(query, {"", ""}, version)) {
    expected_keys.insert(document.key);
    const bool is_answered = !IsInMissingRange(missing_ranges, document.key);
    if (is_answered && result_keys.count(document.key) == 0) {
      return document.key +
             " lies in a range claimed as answered but is absent";
    }
  }
  for (const std::string& key : result_keys) {
    if (expected_keys.count(key) == 0)
      return key + " is not a document that matches the query";
  }
  return "";
}

}  // namespace

std::string CheckQueryResponse(const std::string& body,
                               const DocumentQuery& query) {
  const json response = json::parse(body, nullptr, false);
  if (!response.is_object())
    return "expected a JSON object as the response body";
  try {
    const json& coverage = response.at("coverage");
    const MissingRanges missing_ranges = ParseMissingRanges(coverage);
    std::string coverage_error = CheckCoverage(coverage, missing_ranges);
    if (!coverage_error.empty()) return coverage_error;
    return CheckResults(
        response.at("results"), missing_ranges, query,
        response.at("snapshot").at("index_version").get<IndexVersion>());
  } catch (const json::exception& error) {
    return absl::StrCat("response field missing or of a wrong type: ",
                        error.what());
  }
}

}  // namespace cherrydyke
