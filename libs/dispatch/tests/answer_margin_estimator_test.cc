#include "dispatch/answer_margin_estimator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace cherrydyke {
namespace {

constexpr absl::Duration kDefaultRoundTrip = absl::Milliseconds(12);
constexpr absl::Duration kSafetyMargin = absl::Milliseconds(1);
constexpr int kAnswers = 20'000;

struct Callers {
  absl::Duration round_trip;
  double new_connection_rate = 0.5;
};

// Distribution of the delay between the due time of an answer and its sending.
struct HostDelay {
  absl::Duration minimum;
  absl::Duration mean_excess;
};

struct Result {
  int late = 0;
  absl::Duration mean_time_left;
};

Result Simulate(const Callers& callers, const HostDelay& host_delay,
                bool adaptive) {
  AnswerMarginEstimator estimator(kDefaultRoundTrip, kSafetyMargin);
  std::mt19937 random(7);
  std::exponential_distribution<double> delay(1);
  std::uniform_real_distribution<double> draw(0, 1);
  Result result;
  for (int i = 0; i < kAnswers; ++i) {
    const bool is_new_connection = draw(random) < callers.new_connection_rate;
    const absl::Duration margin =
        adaptive ? estimator.Margin(callers.round_trip, is_new_connection)
                 : kDefaultRoundTrip;
    const absl::Duration host_delay_sample =
        host_delay.minimum + host_delay.mean_excess * delay(random);
    if (adaptive) estimator.OnAnswerSent(host_delay_sample);
    const absl::Duration time_left =
        margin - host_delay_sample -
        callers.round_trip * (is_new_connection ? 2 : 1);
    if (time_left < absl::ZeroDuration()) ++result.late;
    result.mean_time_left +=
        std::max(time_left, absl::ZeroDuration()) / kAnswers;
  }
  return result;
}

}  // namespace

/// Simulates near and far callers on new and reused connections, and fast and
/// slow hosts.
class AnswerMarginEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerMarginEstimatorTest);
  CPPUNIT_TEST(FewerThanOneInAHundredAnswersAreLate);
  CPPUNIT_TEST(MarginIsNotTooLarge);
  CPPUNIT_TEST(FixedMarginIsTooShortForFarCallersOnNewConnections);
  CPPUNIT_TEST(StalledHostDoesNotInflateTheMargin);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FewerThanOneInAHundredAnswersAreLate() {
    for (const int round_trip_ms : {1, 2, 6, 12}) {
      for (const HostDelay& host_delay :
           {HostDelay{absl::Milliseconds(0.3), absl::Milliseconds(0.2)},
            HostDelay{absl::Milliseconds(1), absl::Milliseconds(0.7)},
            HostDelay{absl::Milliseconds(5), absl::Milliseconds(3)}}) {
        const Result result =
            Simulate({absl::Milliseconds(round_trip_ms)}, host_delay, true);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(result.late),
                               result.late < kAnswers / 100);
      }
    }
  }

  void MarginIsNotTooLarge() {
    const Result result =
        Simulate({absl::Milliseconds(2)},
                 {absl::Milliseconds(0.5), absl::Milliseconds(0.4)}, true);
    CPPUNIT_ASSERT(result.mean_time_left < absl::Milliseconds(4));
  }

  void FixedMarginIsTooShortForFarCallersOnNewConnections() {
    // Large deployment: 3 ms one way to callers, hosts with 1/8 of a core.
    const Callers callers{absl::Milliseconds(6.2)};
    const HostDelay host_delay{absl::Milliseconds(0.7),
                               absl::Milliseconds(0.5)};
    CPPUNIT_ASSERT(Simulate(callers, host_delay, false).late > kAnswers / 10);
    CPPUNIT_ASSERT(Simulate(callers, host_delay, true).late < kAnswers / 100);
  }

  void StalledHostDoesNotInflateTheMargin() {
    AnswerMarginEstimator estimator(kDefaultRoundTrip, kSafetyMargin);
    for (int i = 0; i < 100; ++i) estimator.OnAnswerSent(absl::Seconds(3));
    CPPUNIT_ASSERT(estimator.Margin(absl::Milliseconds(2), false) <
                   absl::Milliseconds(50));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerMarginEstimatorTest);

}  // namespace cherrydyke
