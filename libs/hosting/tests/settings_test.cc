#include "hosting/settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cherrydyke {
namespace {

constexpr char kValid[] =
    "[host]\nid = \"sofia-1\"\nfailure_domain = \"Sofia\"\n"
    "address = \"127.10.1.1\"\n[platform]\naddress = \"127.10.0.1:7000\"\n";

std::string FirstError(const std::string& text) {
  const auto parsed = ParseSettings("s.toml", text);
  const auto* errors = std::get_if<SettingsErrors>(&parsed);
  return errors == nullptr ? "" : errors->front();
}

}  // namespace

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsDefaults);
  CPPUNIT_TEST(NamesLineAndKey);
  CPPUNIT_TEST(ReportsEveryError);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsDefaults() {
    const auto parsed = ParseSettings("s.toml", kValid);
    const auto& settings = std::get<DaemonSettings>(parsed);
    CPPUNIT_ASSERT_EQUAL(std::string("sofia-1"), settings.host_id);
    CPPUNIT_ASSERT_EQUAL(7410, settings.ports.gate_link);
    CPPUNIT_ASSERT(!settings.allow_faults);
  }

  void NamesLineAndKey() {
    const std::string valid = kValid;
    CPPUNIT_ASSERT_EQUAL(
        std::string("s.toml:8: ports.gate_link: expected an integer from 1 to "
                    "65535"),
        FirstError(valid + "[ports]\ngate_link = 70000\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("s.toml:8: ports.gate_lnk: unknown key"),
                         FirstError(valid + "[ports]\ngate_lnk = 70\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("s.toml:7: prots: unknown key"),
                         FirstError(valid + "[prots]\n"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("s.toml:8: routing.hedge_ratio: expected a number from 0 "
                    "to 1"),
        FirstError(valid + "[routing]\nhedge_ratio = \"many\"\n"));
    CPPUNIT_ASSERT(FirstError("[host\n").rfind("s.toml:1: expected TOML", 0) ==
                   0);
    CPPUNIT_ASSERT_EQUAL(
        std::string("s.toml:8: log.level: expected one of debug error info "
                    "warning"),
        FirstError(valid + "[log]\nlevel = \"loud\"\n"));
  }

  void ReportsEveryError() {
    const auto parsed = ParseSettings("s.toml", "[host]\nid = 7\n");
    const auto& errors = std::get<SettingsErrors>(parsed);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, errors.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace cherrydyke
