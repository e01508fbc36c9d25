#include "adapters/caller_json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace cherrydyke {
namespace {

std::string ParseErrorMessage(const std::string& body) {
  const Result<QueryCall> call = ParseQueryCall(body);
  const Error* error = GetError(call);
  return error == nullptr ? "" : error->message;
}

}  // namespace

class CallerJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerJsonTest);
  CPPUNIT_TEST(ParsesQuery);
  CPPUNIT_TEST(ErrorNamesKeyAndExpectedValue);
  CPPUNIT_TEST(RejectsDeepNesting);
  CPPUNIT_TEST(ParsesOrRejectsAnyBody);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesQuery() {
    const auto call = ParseQueryCall(
        R"({"entry":"desk","query":{"term":"a"},"timeout_ms":180})");
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"term":"a"})"),
                         GetValue(call).query_json);
    CPPUNIT_ASSERT(GetValue(call).timeout == absl::Milliseconds(180));
  }

  void ErrorNamesKeyAndExpectedValue() {
    CPPUNIT_ASSERT_EQUAL(std::string("body: expected a JSON object"),
                         ParseErrorMessage("[1]"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("entry: expected a string that is not empty"),
        ParseErrorMessage(R"({"entry":7,"query":{}})"));
    CPPUNIT_ASSERT_EQUAL(std::string("query: expected an object"),
                         ParseErrorMessage(R"({"entry":"a","query":"x"})"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("timeout_ms: expected an integer from 1 to 60000"),
        ParseErrorMessage(R"({"entry":"a","query":{},"timeout_ms":-1})"));
  }

  void RejectsDeepNesting() {
    const std::string deep(100'000, '[');
    CPPUNIT_ASSERT(
        !ParseErrorMessage(R"({"entry":"a","query":)" + deep).empty());
  }

  void ParsesOrRejectsAnyBody() {
    CPPUNIT_ASSERT(rc::check("any body is parsed or rejected", [] {
      const auto body = *rc::gen::arbitrary<std::string>();
      ParseQueryCall(body);
      ParseTicketCall(body);
      ParseActionCall(body);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerJsonTest);

}  // namespace cherrydyke
