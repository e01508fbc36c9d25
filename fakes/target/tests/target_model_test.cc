#include "target_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "absl/time/clock.h"
#include "nlohmann/json.hpp"

namespace cherrydyke {
namespace {

using nlohmann::json;

/// Long enough to change the shards during a search, also on a loaded machine.
constexpr int kServiceMs = 400;
constexpr absl::Duration kPollInterval = absl::Milliseconds(5);

json MakeShards(const char* begin, const char* end) {
  return json::array(
      {{{"shard", "s1"}, {"range", {begin, end}}, {"index_versions", {41}}}});
}

HttpRequest MakeSearchRequest(const char* range) {
  HttpRequest request;
  request.headers = {{"x-attempt-id", "1-1"},
                     {"x-shard", "s1"},
                     {"x-shard-range", range},
                     {"x-index-version", "41"},
                     {"x-deadline-ms", "5000"}};
  request.body = R"({"query":{"term":"a","every":1}})";
  return request;
}

HttpRequest MakeFaultRequest(const json& faults) {
  HttpRequest request;
  request.body = faults.dump();
  return request;
}

}  // namespace

class TargetModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetModelTest);
  CPPUNIT_TEST(SearchUsesRangeFromAdmission);
  CPPUNIT_TEST(SearchCompletesAfterShardIsRemoved);
  CPPUNIT_TEST(MismatchedRangeIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a search that uses a range changed after its admission. Its
  // response would claim the requested range but hold the new range's
  // documents, and nothing in it would show that a part is missing.
  void SearchUsesRangeFromAdmission() {
    TargetModel target("t1", Settings());
    const HttpResponse response =
        SearchDuringShardChange(target, MakeShards("6000", "8000"));
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    const json results = json::parse(response.body).at("results");
    CPPUNIT_ASSERT_EQUAL(
        FindDocuments({"a", 1, 256}, {"3000", "8000"}, 41).size(),
        results.size());
  }

  void SearchCompletesAfterShardIsRemoved() {
    TargetModel target("t1", Settings());
    const HttpResponse response =
        SearchDuringShardChange(target, json::array());
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    const json results = json::parse(response.body).at("results");
    CPPUNIT_ASSERT_EQUAL(
        FindDocuments({"a", 1, 256}, {"3000", "8000"}, 41).size(),
        results.size());
    CPPUNIT_ASSERT_EQUAL(409,
                         target.Search(MakeSearchRequest("3000-8000")).status);
  }

  void MismatchedRangeIsRejected() {
    TargetModel target("t1", Settings());
    CPPUNIT_ASSERT_EQUAL(409,
                         target.Search(MakeSearchRequest("6000-8000")).status);
  }

 private:
  static json Settings() {
    return {{"service_ms", kServiceMs},
            {"jitter_ms", 0},
            {"documents", 256},
            {"shards", MakeShards("3000", "8000")}};
  }

  // Searches 3000 to 8000 and changes the shards once the search is in flight.
  static HttpResponse SearchDuringShardChange(TargetModel& target,
                                              const json& shards) {
    HttpResponse response;
    std::thread search(
        [&] { response = target.Search(MakeSearchRequest("3000-8000")); });
    while (json::parse(target.Stats().body).at("in_flight") == 0) {
      absl::SleepFor(kPollInterval);
    }
    target.SetFaults(MakeFaultRequest({{"shards", shards}}));
    search.join();
    return response;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetModelTest);

}  // namespace cherrydyke
