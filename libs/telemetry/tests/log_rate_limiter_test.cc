#include "telemetry/log_rate_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include "telemetry/log.h"

namespace cherrydyke {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

}  // namespace

class LogRateLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogRateLimiterTest);
  CPPUNIT_TEST(LimitsKindsIndependently);
  CPPUNIT_TEST(CountsDroppedLines);
  CPPUNIT_TEST(LimitsLinesOfOneMessage);
  CPPUNIT_TEST(FormatsFieldsAsJson);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LimitsKindsIndependently() {
    LogRateLimiter limiter;
    CPPUNIT_ASSERT(limiter.TryAcquire("answered", 2, kNow));
    CPPUNIT_ASSERT(limiter.TryAcquire("answered", 2, kNow));
    CPPUNIT_ASSERT(!limiter.TryAcquire("answered", 2, kNow));
    CPPUNIT_ASSERT(limiter.TryAcquire("refused", 1, kNow));
    CPPUNIT_ASSERT(limiter.TryAcquire("answered", 2, kNow + absl::Seconds(1)));
  }

  void CountsDroppedLines() {
    LogRateLimiter limiter;
    for (int i = 0; i < 4; ++i) limiter.TryAcquire("answered", 2, kNow);
    limiter.TryAcquire("refused", 1, kNow);
    const std::map<std::string, int> dropped = limiter.TakeDroppedCounts();
    CPPUNIT_ASSERT((dropped == std::map<std::string, int>{{"answered", 2}}));
    CPPUNIT_ASSERT(limiter.TakeDroppedCounts().empty());
  }

  void LimitsLinesOfOneMessage() {
    LimitLogRate(5);
    for (int i = 0; i < 50; ++i) LogWarning("datagram ignored");
    // The lines may be split between two windows of one second.
    CPPUNIT_ASSERT(TakeDroppedLines() >= 40);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, TakeDroppedLines());
  }

  void FormatsFieldsAsJson() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"text":"a \"b\"\n)"
            "\xef\xbf\xbd"  // Replacement character for an invalid byte.
            R"(","ms":1.25,"n":-7,"on":true,"none":null})"),
        FieldsToJson({{"text", "a \"b\"\n\xff"},
                      {"ms", 1.25},
                      {"n", -7},
                      {"on", true},
                      {"none", std::numeric_limits<double>::infinity()}}));
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), FieldsToJson({}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogRateLimiterTest);

}  // namespace cherrydyke
