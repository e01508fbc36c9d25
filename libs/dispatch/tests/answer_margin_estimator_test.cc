#include "dispatch/answer_margin_estimator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace cherrydyke {
namespace {

constexpr absl::Duration kUnknownWay = absl::Milliseconds(12);
constexpr absl::Duration kSpare = absl::Milliseconds(1);
constexpr int kAnswers = 20'000;

struct Callers {
  absl::Duration round_trip;
  double fresh = 0.5;
};

// What a host takes to give an answer that is due.
struct HostSpeed {
  absl::Duration usual;
  absl::Duration spread;
};

struct Result {
  int late = 0;
  absl::Duration unused;
};

Result Play(const Callers& callers, const HostSpeed& speed, bool learns) {
  AnswerMarginEstimator timing(kUnknownWay, kSpare);
  std::mt19937 random(7);
  std::exponential_distribution<double> delay(1);
  std::uniform_real_distribution<double> draw(0, 1);
  Result result;
  for (int i = 0; i < kAnswers; ++i) {
    const bool is_fresh = draw(random) < callers.fresh;
    const absl::Duration margin =
        learns ? timing.Margin(callers.round_trip, is_fresh) : kUnknownWay;
    const absl::Duration took = speed.usual + speed.spread * delay(random);
    if (learns) timing.OnAnswerSent(took);
    const absl::Duration left =
        margin - took - callers.round_trip * (is_fresh ? 2 : 1);
    if (left < absl::ZeroDuration()) ++result.late;
    result.unused += std::max(left, absl::ZeroDuration()) / kAnswers;
  }
  return result;
}

}  // namespace

/// Plays callers near and far, on new and kept connections, at hosts of any
/// speed.
class AnswerMarginEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerMarginEstimatorTest);
  CPPUNIT_TEST(FewerThanOneInAHundredAnswersAreLate);
  CPPUNIT_TEST(AnswersDoNotWaitForNothing);
  CPPUNIT_TEST(OneMarginForAllIsLateForFreshFarCallers);
  CPPUNIT_TEST(StalledHostsDoNotMakeAnswersHasty);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FewerThanOneInAHundredAnswersAreLate() {
    for (const int trip_ms : {1, 2, 6, 12}) {
      for (const HostSpeed& speed :
           {HostSpeed{absl::Milliseconds(0.3), absl::Milliseconds(0.2)},
            HostSpeed{absl::Milliseconds(1), absl::Milliseconds(0.7)},
            HostSpeed{absl::Milliseconds(5), absl::Milliseconds(3)}}) {
        const Result result = Play({absl::Milliseconds(trip_ms)}, speed, true);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(result.late),
                               result.late < kAnswers / 100);
      }
    }
  }

  void AnswersDoNotWaitForNothing() {
    const Result result =
        Play({absl::Milliseconds(2)},
             {absl::Milliseconds(0.5), absl::Milliseconds(0.4)}, true);
    CPPUNIT_ASSERT(result.unused < absl::Milliseconds(4));
  }

  void OneMarginForAllIsLateForFreshFarCallers() {
    // The large deployment: three milliseconds to callers, hosts of an eighth
    // of a core.
    const Callers callers{absl::Milliseconds(6.2)};
    const HostSpeed speed{absl::Milliseconds(0.7), absl::Milliseconds(0.5)};
    CPPUNIT_ASSERT(Play(callers, speed, false).late > kAnswers / 10);
    CPPUNIT_ASSERT(Play(callers, speed, true).late < kAnswers / 100);
  }

  void StalledHostsDoNotMakeAnswersHasty() {
    AnswerMarginEstimator timing(kUnknownWay, kSpare);
    for (int i = 0; i < 100; ++i) timing.OnAnswerSent(absl::Seconds(3));
    CPPUNIT_ASSERT(timing.Margin(absl::Milliseconds(2), false) <
                   absl::Milliseconds(50));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerMarginEstimatorTest);

}  // namespace cherrydyke
