#include "tier/source_call_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "absl/strings/match.h"
#include "support/log_capture.h"

namespace cherrydyke {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kWait = absl::Milliseconds(1200);
constexpr SourceCallLog::HostState kHost = {absl::Milliseconds(1700),
                                            absl::Milliseconds(3)};

SourceCall Watch(SourceCallEnd end, absl::Duration beyond_wait) {
  SourceCall call;
  call.kind = SourceCallKind::kWatch;
  call.end = end;
  call.elapsed = kWait + beyond_wait;
  call.wait = kWait;
  call.as_of = {{}, 7};
  if (!call.is_answered()) call.error = "no response";
  return call;
}

}  // namespace

class SourceCallLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SourceCallLogTest);
  CPPUNIT_TEST(FailureNamesTheLimitAndTheLastDurations);
  CPPUNIT_TEST(OutageThatGoesOnIsLoggedEveryPeriod);
  CPPUNIT_TEST(AnswerThatEndsAStreakNamesItsFailures);
  CPPUNIT_TEST(AnswersWithoutFailuresAreNotLogged);
  CPPUNIT_TEST(SlowCallsAreLoggedOnceAndWhenTheyAreFastAgain);
  CPPUNIT_TEST(DurationsAndFailuresAreMeasured);
  CPPUNIT_TEST_SUITE_END();

 public:
  // All fixtures exist from the start of the program.
  void setUp() override { capture_.emplace(); }
  void tearDown() override { capture_.reset(); }

  void FailureNamesTheLimitAndTheLastDurations() {
    Answer(absl::Milliseconds(42));
    Fail(SourceCallEnd::kFirstByte, absl::Milliseconds(600));
    const auto lines = capture_->LinesOf("store does not answer");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lines.size());
    CPPUNIT_ASSERT(lines[0].at("end") == "first_byte");
    CPPUNIT_ASSERT(lines[0].at("call") == "watch");
    CPPUNIT_ASSERT(lines[0].at("error") == "no response");
    CPPUNIT_ASSERT(lines[0].at("ms") == 1800);
    CPPUNIT_ASSERT(lines[0].at("wait_ms") == 1200);
    CPPUNIT_ASSERT(lines[0].at("last_ms") == "42 600+");
    CPPUNIT_ASSERT(lines[0].at("published_age_ms") == 1700);
    CPPUNIT_ASSERT(lines[0].at("lateness_ms") == 3);
  }

  // Guards against the silence of hosts whose calls fail for good.
  void OutageThatGoesOnIsLoggedEveryPeriod() {
    constexpr int kSeconds = 60;
    for (int i = 0; i <= kSeconds; ++i) {
      Fail(SourceCallEnd::kConnect, absl::ZeroDuration());
      now_ += absl::Seconds(1);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         capture_->LinesOf("store does not answer").size());
    const auto lines = capture_->LinesOf("store still does not answer");
    CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(absl::Seconds(kSeconds) /
                                             SourceCallLog::kOutagePeriod),
                         lines.size());
    CPPUNIT_ASSERT(lines.back().at("failures") == kSeconds + 1);
    CPPUNIT_ASSERT(lines.back().at("by_end") == "connect:61");
    CPPUNIT_ASSERT(lines.back().at("for_ms") == 61200);
  }

  void AnswerThatEndsAStreakNamesItsFailures() {
    Fail(SourceCallEnd::kFirstByte, absl::Milliseconds(600));
    Fail(SourceCallEnd::kConnect, absl::Milliseconds(500) - kWait);
    Fail(SourceCallEnd::kConnect, absl::Milliseconds(500) - kWait);
    Answer(absl::Milliseconds(42));
    Answer(absl::Milliseconds(42));
    const auto lines = capture_->LinesOf("store answers again");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lines.size());
    CPPUNIT_ASSERT(lines[0].at("failures") == 3);
    CPPUNIT_ASSERT(lines[0].at("by_end") == "connect:2 first_byte:1");
    CPPUNIT_ASSERT(lines[0].at("last_ms") == "600+ 500+ 500+ 42");
  }

  void AnswersWithoutFailuresAreNotLogged() {
    for (int i = 0; i < 20; ++i) Answer(absl::Milliseconds(42));
    CPPUNIT_ASSERT(capture_->LinesOf("store answers again").empty());
    CPPUNIT_ASSERT(capture_->LinesOf("store calls are fast again").empty());
  }

  void SlowCallsAreLoggedOnceAndWhenTheyAreFastAgain() {
    for (int i = 0; i < 20; ++i) Answer(absl::Milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         capture_->LinesOf("store calls are slow").size());
    for (int i = 0; i < 20; ++i) Answer(absl::Milliseconds(7));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         capture_->LinesOf("store calls are slow").size());
    const auto lines = capture_->LinesOf("store calls are fast again");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lines.size());
    CPPUNIT_ASSERT(lines[0].at("last_ms") == "700 700 700 700 7 7 7 7");
  }

  void DurationsAndFailuresAreMeasured() {
    Answer(absl::Milliseconds(42));
    Answer(absl::Milliseconds(900));
    Answer(-absl::Milliseconds(900));
    Fail(SourceCallEnd::kStall, absl::Milliseconds(800));
    const std::string text = metrics_.Render();
    for (const char* const line :
         {R"(cherrydyke_store_call_seconds_bucket{kind="watch",le="0.05"} 1)",
          R"(cherrydyke_store_call_seconds_bucket{kind="watch",le="0.8"} 1)",
          R"(cherrydyke_store_call_seconds_bucket{kind="watch",le="1.2"} 2)",
          R"(cherrydyke_store_call_seconds_bucket{kind="watch",le="+Inf"} 2)",
          R"(cherrydyke_store_call_seconds_count{kind="change"} 1)",
          R"(cherrydyke_store_call_failures_total{end="stall"} 1)"}) {
      CPPUNIT_ASSERT_MESSAGE(line, absl::StrContains(text, line));
    }
  }

 private:
  void Answer(absl::Duration beyond_wait) {
    log_.OnCall(Watch(SourceCallEnd::kAnswered, beyond_wait), kHost, now_);
  }
  void Fail(SourceCallEnd end, absl::Duration beyond_wait) {
    log_.OnCall(Watch(end, beyond_wait), kHost, now_);
  }

  std::optional<LogCapture> capture_;
  Metrics metrics_;
  SourceCallLog log_{metrics_};
  absl::Time now_ = kStart;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SourceCallLogTest);

}  // namespace cherrydyke
