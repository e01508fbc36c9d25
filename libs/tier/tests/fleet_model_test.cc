#include "fleet_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

namespace cherrydyke {
namespace {

constexpr uint32_t kSeed = 20261204;
constexpr int64_t kStepsInCi = 200'000;

int64_t FromEnvironment(const char* name, int64_t fallback) {
  const char* const text = std::getenv(name);
  return text == nullptr ? fallback : std::atoll(text);
}

std::string PlayFleet(FleetModel::Options options) {
  FleetModel model(options, static_cast<uint32_t>(FromEnvironment(
                                "CHERRYDYKE_MODEL_SEED", kSeed)));
  const int64_t steps = FromEnvironment("CHERRYDYKE_MODEL_STEPS", kStepsInCi);
  const std::string broken = model.Play(steps);
  std::cerr << steps << " steps, " << model.lifetimes() << " lifetimes, "
            << model.cold_sends() << " cold sends, " << model.extra_sends()
            << " extra sends\n";
  return broken;
}

}  // namespace

/// What hosts do together keeps the bounds of the whole fleet, though none asks
/// another. By hand: CHERRYDYKE_MODEL_STEPS=1000000, CHERRYDYKE_MODEL_SEED.
class FleetModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetModelTest);
  CPPUNIT_TEST(CalmFleet);
  CPPUNIT_TEST(LossAndFreezes);
  CPPUNIT_TEST(Restarts);
  CPPUNIT_TEST(Cuts);
  CPPUNIT_TEST(EverythingAtOnce);
  CPPUNIT_TEST(ManyHosts);
  CPPUNIT_TEST(AllRestartInsideACut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CalmFleet() {
    CPPUNIT_ASSERT_EQUAL(std::string(), PlayFleet(With(false, false, false)));
  }
  void LossAndFreezes() {
    CPPUNIT_ASSERT_EQUAL(std::string(), PlayFleet(With(false, false, true)));
  }
  void Restarts() {
    CPPUNIT_ASSERT_EQUAL(std::string(), PlayFleet(With(true, false, false)));
  }
  void Cuts() {
    CPPUNIT_ASSERT_EQUAL(std::string(), PlayFleet(With(false, true, false)));
  }
  void EverythingAtOnce() {
    CPPUNIT_ASSERT_EQUAL(std::string(), PlayFleet(With(true, true, true)));
  }
  void ManyHosts() {
    FleetModel::Options options;
    options.hosts_per_domain = 28;
    CPPUNIT_ASSERT_EQUAL(std::string(), PlayFleet(options));
  }
  // Found by hand: hosts that settle inside a cut know some of those beyond it.
  void AllRestartInsideACut() {
    constexpr uint32_t kFoundSeed = 2;
    constexpr int64_t kFoundSteps = 230'000;
    FleetModel model(With(true, true, true), kFoundSeed);
    CPPUNIT_ASSERT_EQUAL(std::string(), model.Play(kFoundSteps));
  }

 private:
  static FleetModel::Options With(bool kills, bool cuts, bool freezes) {
    FleetModel::Options options;
    options.kills = kills;
    options.cuts = cuts;
    options.freezes = freezes;
    return options;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetModelTest);

}  // namespace cherrydyke
