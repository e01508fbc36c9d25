#include "catalogue/checks.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace cherrydyke {
namespace {

constexpr char kEntry[] =
    R"({"owner":"cooperative","class":"coverage","kind":"query",
        "service":"ledger","limits":{"rate_per_s":500,"concurrency":64},
        "soft_deadline_ms":120,"hard_deadline_ms":400,"merge":"concat"})";

std::string ErrorOf(const std::string& key, const std::string& json) {
  const Result<CatalogueValue> checked = CheckValue(key, json);
  const Error* error = GetError(checked);
  return error == nullptr ? "" : error->message;
}

std::string ServiceWithRanges(const std::string& first_end,
                              const std::string& second_begin) {
  return R"({"shard_map":{"version":7,"shards":[
      {"shard":"s0","range":["00",")" +
         first_end + R"("],"replicas":["t1"]},
      {"shard":"s1","range":[")" +
         second_begin + R"(",""],"replicas":["t2"]}]},
      "index_versions":[41,40],"slots":4,"connections":100})";
}

}  // namespace

class ChecksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChecksTest);
  CPPUNIT_TEST(ReadsAnEntry);
  CPPUNIT_TEST(ErrorNamesKeyAndField);
  CPPUNIT_TEST(RefusesGapsAndOverlapsOfRanges);
  CPPUNIT_TEST(ErrorNamesFileAndLine);
  CPPUNIT_TEST(AcceptsOrRefusesAnyText);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAnEntry() {
    const auto checked = CheckValue("entries/ledger", kEntry);
    const auto& entry = std::get<Entry>(GetValue(checked));
    CPPUNIT_ASSERT_EQUAL(std::string("ledger"), entry.name);
    CPPUNIT_ASSERT(entry.entry_class == EntryClass::kCoverage);
    CPPUNIT_ASSERT(entry.hard_deadline == absl::Milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(64, entry.limits.concurrency);
  }

  void ErrorNamesKeyAndField() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("entries/x.class: expected one of latency, coverage"),
        ErrorOf("entries/x",
                R"({"owner":"o","class":"fast","service":"s",
                    "limits":{"rate_per_s":1,"concurrency":1}})"));
    CPPUNIT_ASSERT(ErrorOf("entries/x", kEntry).empty());
    CPPUNIT_ASSERT(ErrorOf("entries/x", "{").find("expected JSON") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!ErrorOf("entry/x", kEntry).empty());
  }

  void RefusesGapsAndOverlapsOfRanges() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         ErrorOf("services/s", ServiceWithRanges("80", "80")));
    CPPUNIT_ASSERT(
        !ErrorOf("services/s", ServiceWithRanges("80", "90")).empty());
    CPPUNIT_ASSERT(
        !ErrorOf("services/s", ServiceWithRanges("90", "80")).empty());
    CPPUNIT_ASSERT(
        !ErrorOf("services/s", ServiceWithRanges("xx", "xx")).empty());
  }

  void ErrorNamesFileAndLine() {
    const std::string text =
        "{\n\"entries/desk\": {\n\"owner\": \"o\",\n\"class\": \"quick\",\n"
        "\"service\": \"absent\",\n"
        "\"limits\": {\"rate_per_s\": 1, \"concurrency\": 1}\n}\n}\n";
    const std::vector<std::string> errors = CheckCatalogueFile("c.json", text);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, errors.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c.json:4: entries/desk.class: expected "
                                     "one of latency, coverage"),
                         errors[0]);
    std::string corrected = text;
    corrected.replace(corrected.find("quick"), 5, "latency");
    const auto references = CheckCatalogueFile("c.json", corrected);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, references.size());
    CPPUNIT_ASSERT(references[0].rfind("c.json:5: entries/desk.service", 0) ==
                   0);
  }

  void AcceptsOrRefusesAnyText() {
    CPPUNIT_ASSERT(rc::check("any damaged value is accepted or refused", [] {
      std::string text = ServiceWithRanges("80", "80");
      const int edits = *rc::gen::inRange(1, 6);
      for (int i = 0; i < edits; ++i) {
        const auto at = *rc::gen::inRange<size_t>(0, text.size());
        text[at] = static_cast<char>(*rc::gen::inRange(32, 127));
      }
      CheckValue("services/s", text);
      CheckCatalogueFile("f", text);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChecksTest);

}  // namespace cherrydyke
