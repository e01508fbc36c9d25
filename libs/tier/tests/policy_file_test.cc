#include "tier/policy_file.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {

class PolicyFileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicyFileTest);
  CPPUNIT_TEST(EmptyFileGivesTheDefaults);
  CPPUNIT_TEST(DeployedFileListsTheDefaults);
  CPPUNIT_TEST(ReadsValues);
  CPPUNIT_TEST(ErrorsNameFileLineKeyAndExpectation);
  CPPUNIT_TEST(MalformedAndMissingFilesAreErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EmptyFileGivesTheDefaults() {
    CPPUNIT_ASSERT(std::get<Policy>(ParsePolicy("", "p.toml")) == Policy());
  }

  void DeployedFileListsTheDefaults() {
    const auto read = ReadPolicy(CHERRYDYKE_DEPLOY_DIR "/policy.toml");
    CPPUNIT_ASSERT(std::get<Policy>(read) == Policy());
  }

  void ReadsValues() {
    const auto read = ParsePolicy(
        "[answers]\nwait_for_parts = false\nanswer_margin_ms = 7.5\n"
        "[extra_sends]\nhedges = false\nhedge_deviations = 2\n"
        "[placement]\nwarm_targets = 0\nprefer_near = false\n",
        "p.toml");
    const auto& policy = std::get<Policy>(read);
    CPPUNIT_ASSERT(!policy.wait_for_parts && !policy.hedges);
    CPPUNIT_ASSERT(policy.answer_margin == absl::Microseconds(7500));
    CPPUNIT_ASSERT_EQUAL(2.0, policy.hedge_deviations);
    CPPUNIT_ASSERT_EQUAL(0, policy.warm_targets);
    CPPUNIT_ASSERT(!policy.prefer_near);
  }

  void ErrorsNameFileLineKeyAndExpectation() {
    const auto read = ParsePolicy(
        "[refusals]\nretry_after_ms = 1\n[extra_sends]\nbudget_part = 1.5\n"
        "hedges = 1\nhedge = true\n",
        "p.toml");
    const SettingsErrors expected = {
        "p.toml:2: refusals.retry_after_ms: expected a number from 10 to 60000",
        "p.toml:5: extra_sends.hedges: expected true or false",
        "p.toml:4: extra_sends.budget_part: expected a number from 0 to 0.95",
        "p.toml:6: extra_sends.hedge: unknown key"};
    CPPUNIT_ASSERT(std::get<SettingsErrors>(read) == expected);
  }

  void MalformedAndMissingFilesAreErrors() {
    const auto malformed = ParsePolicy("[answers\n", "p.toml");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, std::get<SettingsErrors>(malformed).size());
    const auto missing = ReadPolicy("no/such/file");
    CPPUNIT_ASSERT_EQUAL(std::string("no/such/file: cannot be read"),
                         std::get<SettingsErrors>(missing).front());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyFileTest);

}  // namespace cherrydyke
