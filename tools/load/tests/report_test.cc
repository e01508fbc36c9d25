#include "load/report.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fakes/query_response_check.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

using nlohmann::json;

// A complete answer that matches the documents of the fake targets.
json CorrectAnswer() {
  json answer = {
      {"snapshot", {{"index_version", 41}}},
      {"coverage",
       {{"complete", true}, {"fraction", 1.0}, {"missing", json::array()}}},
      {"results", json::array()}};
  for (const Document& d : FindDocuments({"a", 4}, {"", ""}, 41)) {
    answer["results"].push_back({{"key", d.key}, {"version", d.version}});
  }
  return answer;
}

std::string Check(const json& answer) {
  return CheckQueryResponse(answer.dump(), {"a", 4});
}

}  // namespace

class ReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportTest);
  CPPUNIT_TEST(QuantilesAreExact);
  CPPUNIT_TEST(ReportsCompareAndPlot);
  CPPUNIT_TEST(CheckFindsEveryError);
  CPPUNIT_TEST_SUITE_END();

 public:
  void QuantilesAreExact() {
    std::vector<double> values;
    for (int i = 1000; i >= 1; --i) values.push_back(i);
    const Quantiles quantiles = QuantilesOf(values);
    CPPUNIT_ASSERT_EQUAL(500.0, quantiles.p50);
    CPPUNIT_ASSERT_EQUAL(990.0, quantiles.p99);
    CPPUNIT_ASSERT_EQUAL(999.0, quantiles.p999);
  }

  void ReportsCompareAndPlot() {
    LoadResult result;
    result.duration = absl::Seconds(2);
    result.samples = {{"desk", absl::Seconds(1), absl::Milliseconds(5), 200,
                       1.0, true, "", ""},
                      {"desk", absl::Seconds(1), absl::Milliseconds(5), 429, 0,
                       false, "rate_limit", ""}};
    const LoadReport report = MakeReport(result);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, report.all.complete);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, report.all.refusals.at("rate_limit"));
    const std::string text = ReportJson(report);
    CPPUNIT_ASSERT(CompareReports(text, text).find("1.000") !=
                   std::string::npos);
    CPPUNIT_ASSERT(PlotReport(text).find("<polyline") != std::string::npos);
    CPPUNIT_ASSERT(CompareReports("x", text).find("first") == 4);
  }

  void CheckFindsEveryError() {
    CPPUNIT_ASSERT_EQUAL(std::string(), Check(CorrectAnswer()));
    json missing_document = CorrectAnswer();
    missing_document["results"].erase(missing_document["results"].begin());
    CPPUNIT_ASSERT(!Check(missing_document).empty());
    json mixed_versions = CorrectAnswer();
    mixed_versions["results"][0]["version"] = 40;
    CPPUNIT_ASSERT(!Check(mixed_versions).empty());
    json duplicate_document = CorrectAnswer();
    duplicate_document["results"].push_back(duplicate_document["results"][0]);
    CPPUNIT_ASSERT(!Check(duplicate_document).empty());
    json unrelated_document = CorrectAnswer();
    unrelated_document["results"].push_back({{"key", "0001"}, {"version", 41}});
    CPPUNIT_ASSERT(!Check(unrelated_document).empty());
    json inconsistent_coverage = CorrectAnswer();
    inconsistent_coverage["coverage"]["missing"].push_back(
        {{"shard", "s"}, {"range", {"00", "80"}}, {"reason", "deadline"}});
    CPPUNIT_ASSERT(!Check(inconsistent_coverage).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportTest);

}  // namespace cherrydyke
