#include "tier/settings_file.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"

namespace cherrydyke {
namespace {

constexpr char kSettings[] = R"([host]
id = "front-a-1"
failure_domain = "a"
address = "10.1.0.39"
[regions]
"a" = "north"
"b" = "south"
[listen]
callers = "10.1.0.39:8226"
readiness = "10.1.0.39:8227"
metrics = "10.1.0.39:9464"
[fleet]
port = 7740
seeds = ["10.1.0.39:8224","10.2.0.33:8224"]
[platform]
address = "10.200.1.7:8229"
[limits]
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
warmup_overage = 1.5
warmup_slack = 5
[shutdown]
grace_s = 6
)";

std::string ReplaceLine(const std::string& line,
                        const std::string& replacement) {
  CPPUNIT_ASSERT(absl::StrContains(kSettings, line));
  return absl::StrReplaceAll(kSettings, {{line, replacement}});
}

SettingsErrors ErrorsOf(const std::string& text) {
  const auto read = ParseTierSettings(text, "t.toml");
  const auto* errors = std::get_if<SettingsErrors>(&read);
  return errors == nullptr ? SettingsErrors() : *errors;
}

TierSettingsFile SettingsOf(const std::string& text) {
  const auto read = ParseTierSettings(text, "t.toml");
  const auto* settings = std::get_if<TierSettingsFile>(&read);
  CPPUNIT_ASSERT_MESSAGE(text, settings != nullptr);
  return *settings;
}

}  // namespace

class SettingsFileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsFileTest);
  CPPUNIT_TEST(ReadsEveryKey);
  CPPUNIT_TEST(TightestChangeDeadlineCounts);
  CPPUNIT_TEST(ReadsWhatTheMachineGives);
  CPPUNIT_TEST(EveryMissingKeyIsAnError);
  CPPUNIT_TEST(ErrorsNameLineKeyAndExpectation);
  CPPUNIT_TEST(MalformedAndMissingFilesAreErrors);
  CPPUNIT_TEST(NamesEachChangedSettingThatIsNotInForce);
  CPPUNIT_TEST(TemplateGivesTheSameSettings);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsEveryKey() {
    const auto read = ParseTierSettings(kSettings, "t.toml");
    const auto* settings = std::get_if<TierSettingsFile>(&read);
    CPPUNIT_ASSERT(settings != nullptr);
    TierSettingsFile expected;
    expected.host_name = "front-a-1";
    expected.store_endpoint = "10.200.1.7:8229";
    TierSettings& tier = expected.tier;
    tier.locality = {"10.1.0.39", "a", {{"a", "north"}, {"b", "south"}}};
    tier.caller_endpoint = "10.1.0.39:8226";
    tier.ready_endpoint = "10.1.0.39:8227";
    tier.metrics_endpoint = "10.1.0.39:9464";
    tier.fleet_port = 7740;
    tier.seeds = {"10.1.0.39", "10.2.0.33"};
    tier.bounds = {0.2, absl::Seconds(10), 54, 1.5, 5};
    tier.shutdown_grace = absl::Seconds(6);
    CPPUNIT_ASSERT(*settings == expected);
  }

  void TightestChangeDeadlineCounts() {
    const auto deadline = [](const std::string& lines) {
      const auto read = ParseTierSettings(
          absl::StrCat(kSettings, "[change_deadlines]\n", lines), "t.toml");
      const auto* settings = std::get_if<TierSettingsFile>(&read);
      CPPUNIT_ASSERT(settings != nullptr);
      return settings->tier.change_deadline;
    };
    CPPUNIT_ASSERT(deadline("") == absl::Seconds(4));
    CPPUNIT_ASSERT(deadline("config_ms = 8000\n") == absl::Seconds(8));
    CPPUNIT_ASSERT(deadline("config_ms = 8000\ndrain_ms = 6000\n"
                            "evacuate_ms = 5000\n") == absl::Seconds(5));
  }

  void EveryMissingKeyIsAnError() {
    const std::string text = kSettings;
    size_t begin = 0;
    for (size_t end = 0; (end = text.find('\n', begin)) != std::string::npos;
         begin = end + 1) {
      const std::string line = text.substr(begin, end - begin);
      const size_t equals = line.find(" = ");
      // The keys of the regions table are names, none of which is required.
      if (equals == std::string::npos || line[0] == '"') continue;
      const SettingsErrors errors = ErrorsOf(ReplaceLine(line + "\n", ""));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(line, size_t{1}, errors.size());
      CPPUNIT_ASSERT_MESSAGE(
          errors.front(),
          absl::StrContains(errors.front(),
                            "." + line.substr(0, equals) + ": expected"));
    }
  }

  void ErrorsNameLineKeyAndExpectation() {
    const std::map<std::string, std::pair<std::string, std::string>> cases = {
        {"port = 7740",
         {"port = 70000",
          "t.toml:13: fleet.port: expected an integer from 1 to 65535"}},
        {R"(["10.1.0.39:8224","10.2.0.33:8224"])",
         {"[1, 2]", "t.toml:14: fleet.seeds: expected a list of strings"}},
        {R"("a" = "north")",
         {R"("a" = 1)",
          "t.toml:6: regions.a: expected a string that is not empty"}},
        {"grace_s = 6",
         {"grace_s = 6\nspare = 1", "t.toml:25: shutdown.spare: unknown key"}},
        {"retry_slack = 54",
         {"retry_slack = -1",
          "t.toml:20: limits.retry_slack: expected a number from 0 to 1e+06"}}};
    for (const auto& [line, expected] : cases) {
      const auto& [replacement, error] = expected;
      CPPUNIT_ASSERT(ErrorsOf(ReplaceLine(line, replacement)) ==
                     SettingsErrors{error});
    }
    // All errors are reported together.
    CPPUNIT_ASSERT(ErrorsOf("").size() > 10);
  }

  void MalformedAndMissingFilesAreErrors() {
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ErrorsOf("x = [").size());
    const auto absent = ReadTierSettings("/nowhere/t.toml");
    CPPUNIT_ASSERT(std::get<SettingsErrors>(absent) ==
                   SettingsErrors{"/nowhere/t.toml: cannot be read"});
  }

  void ReadsWhatTheMachineGives() {
    const auto machine_of = [](const std::string& keys) {
      const auto read = ParseTierSettings(
          absl::StrCat(kSettings, "[machine]\n", keys), "t.toml");
      const auto* settings = std::get_if<TierSettingsFile>(&read);
      CPPUNIT_ASSERT(settings != nullptr);
      return settings->tier.machine;
    };
    CPPUNIT_ASSERT(machine_of("") == MachineResources());
    CPPUNIT_ASSERT((machine_of("memory_mb = 260\ndescriptors = 4100\n") ==
                    MachineResources{size_t{260} << 20U, 4100}));
    for (const char* invalid : {"memory_mb = 0", "descriptors = 0",
                                "memory_mb = \"260\"", "disk_mb = 1"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          invalid, size_t{1},
          ErrorsOf(absl::StrCat(kSettings, "[machine]\n", invalid, "\n"))
              .size());
    }
  }

  void NamesEachChangedSettingThatIsNotInForce() {
    const std::string text =
        absl::StrCat(kSettings,
                     "[change_deadlines]\nconfig_ms = 4000\n"
                     "[machine]\nmemory_mb = 260\ndescriptors = 4100\n");
    const TierSettingsFile in_force = SettingsOf(text);
    CPPUNIT_ASSERT(SettingsNotInForce(in_force, in_force).empty());
    std::string section;
    for (const absl::string_view line : absl::StrSplit(text, '\n')) {
      if (absl::StartsWith(line, "[")) {
        section = absl::StrCat(line.substr(1, line.size() - 2));
      }
      const std::vector<std::string> parts = absl::StrSplit(line, " = ");
      if (parts.size() != 2) continue;
      const std::string& key = parts[0];
      const std::string& value = parts[1];
      const std::string changed_value = absl::StartsWith(value, "[") ? "[]"
                                        : absl::StartsWith(value, "\"")
                                            ? "\"10.9.9.9:1\""
                                            : "7";
      const TierSettingsFile changed = SettingsOf(absl::StrReplaceAll(
          text, {{line, absl::StrCat(key, " = ", changed_value)}}));
      CPPUNIT_ASSERT_MESSAGE(std::string(line), !(changed == in_force));
      std::vector<std::string> expected = {absl::StrCat(section, ".", key)};
      if (section == "regions" || section == "change_deadlines") {
        expected = {section};
      }
      if (expected.front() == "fleet.seeds") expected.clear();
      CPPUNIT_ASSERT_MESSAGE(std::string(line),
                             SettingsNotInForce(in_force, changed) == expected);
    }
  }

  // Expands the template as the platform does.
  void TemplateGivesTheSameSettings() {
    const auto text =
        ReadSettingsFile(CHERRYDYKE_DEPLOY_DIR "/tier.toml.template");
    const std::string filled = absl::StrReplaceAll(
        std::get<std::string>(text),
        {{"{{#bounds.configApplyMs}}\n"
          "config_ms = {{bounds.configApplyMs}}\n"
          "{{/bounds.configApplyMs}}",
          "config_ms = 4000"},
         {"{{#bounds.drainMs}}\n"
          "drain_ms = {{bounds.drainMs}}\n"
          "{{/bounds.drainMs}}",
          "drain_ms = 4000"},
         {"{{#bounds.evacuateMs}}\n"
          "evacuate_ms = {{bounds.evacuateMs}}\n"
          "{{/bounds.evacuateMs}}",
          "evacuate_ms = 5000"},
         {"{{#limits.memoryMb}}\n"
          "memory_mb = {{limits.memoryMb}}\n"
          "{{/limits.memoryMb}}",
          "memory_mb = 260"},
         {"{{#limits.maxFds}}\n"
          "descriptors = {{limits.maxFds}}\n"
          "{{/limits.maxFds}}",
          "descriptors = 4100"},
         {"{{#zones}}\n\"{{@}}\" = {{.|json}}\n{{/zones}}",
          "\"a\" = \"north\"\n\"b\" = \"south\""},
         {"{{node|json}}", "\"front-a-1\""},
         {"{{zone|json}}", "\"a\""},
         {"{{ip|json}}", "\"10.1.0.39\""},
         {"{{ip}}", "10.1.0.39"},
         {"{{listen.front|json}}", "\"10.1.0.39:8226\""},
         {"{{listen.ready|json}}", "\"10.1.0.39:8227\""},
         {"{{internalPorts.0}}", "7740"},
         {"{{seeds|json}}", R"(["10.1.0.39:8224","10.2.0.33:8224"])"},
         {"{{platform.address|json}}", "\"10.200.1.7:8229\""},
         {"{{bounds.retryBudgetRatio}}", "0.2"},
         {"{{bounds.retryWindowS}}", "10"},
         {"{{bounds.retrySlack}}", "54"},
         {"{{bounds.warmupOverage}}", "1.5"},
         {"{{bounds.warmupSlack}}", "5"},
         {"{{bounds.graceS}}", "6"}});
    CPPUNIT_ASSERT(!absl::StrContains(filled, "{{"));
    CPPUNIT_ASSERT(
        ParseTierSettings(filled, "t.toml") ==
        ParseTierSettings(
            absl::StrCat(kSettings,
                         "[machine]\nmemory_mb = 260\ndescriptors = 4100\n"),
            "t.toml"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsFileTest);

}  // namespace cherrydyke
