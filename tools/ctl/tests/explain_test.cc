#include "ctl/explain.h"

#include <cppunit/extensions/HelperMacros.h>

#include "ctl/fleet.h"

namespace cherrydyke {

class ExplainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainTest);
  CPPUNIT_TEST(IndentsChildrenUnderParents);
  CPPUNIT_TEST(UnreachableDaemonIsListed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IndentsChildrenUnderParents() {
    const auto span = [](const char* id, const char* parent, const char* name,
                         int64_t start) {
      return nlohmann::json{
          {"span_id", id},      {"parent_span_id", parent},
          {"name", name},       {"start_unix_us", start},
          {"duration_us", 500}, {"attributes", {{"at", "sofia-1"}}}};
    };
    const std::string tree = SpanTree(nlohmann::json::array(
        {span("c", "b", "target.attempt", 3000), span("a", "x", "entry", 1000),
         span("b", "a", "gate", 2000)}));
    const size_t entry = tree.find("  entry  at=sofia-1");
    const size_t gate = tree.find("    gate");
    const size_t target = tree.find("      target.attempt");
    CPPUNIT_ASSERT(entry < gate && gate < target);
    CPPUNIT_ASSERT(target != std::string::npos);
  }

  void UnreachableDaemonIsListed() {
    const std::string table =
        RevisionTable(nlohmann::json::array({{{"host", "sofia-1"},
                                              {"failure_domain", "Sofia"},
                                              {"kind", "gate"},
                                              {"reachable", false},
                                              {"status", nullptr}}}));
    CPPUNIT_ASSERT(table.find("sofia-1/gate") != std::string::npos);
    CPPUNIT_ASSERT(table.find("unreachable") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

}  // namespace cherrydyke
