#include "ctl/log_explanation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace cherrydyke {
namespace {

// Log lines of two hosts in the format of the tier, each with the prefix that a
// log collector adds.
constexpr char kLog[] =
    R"(  -9.9995 front-a-1 {"ready":true,"http":"10.1.0.20:8108"}
   8.0036 front-b-1 {"time":"2026-08-03T15:13:34.003610Z","level":"info","program":"cherrydyke-tier","host":"front-b-1","msg":"target unreachable","target":"i-04e3","service":"nyba","refused":false}
   7.5000 front-a-1 {"time":"2026-08-03T15:13:33.500000Z","level":"info","program":"cherrydyke-tier","host":"front-a-1","msg":"configuration in force","version":8,"revision":42,"routes":3,"services":12,"evacuated":0}
   7.6000 front-b-1 {"time":"2026-08-03T15:13:33.600000Z","level":"info","program":"cherrydyke-tier","host":"front-b-1","msg":"configuration in force","version":8}
   8.1000 front-a-1 {"time":"2026-08-03T15:13:34.100000Z","level":"info","program":"cherrydyke-tier","host":"front-a-1","msg":"request refused","request":"f1","target":"/x","reason":"targets_failed","ran":true,"config_version":8}
   8.1001 front-a-1 {"time":"2026-08-03T15:13:34.100100Z","level":"info","program":"cherrydyke-tier","host":"front-a-1","msg":"request done","request":"f1","route":"r","config_version":8,"outcome":"targets_failed","ms":60.4,"sends":9,"missing":0,"unanswered":"nyba/i-04e3+0ms:0 zino/i-9c8d+12ms:503"}
   8.3000 front-b-1 {"time":"2026-08-03T15:13:34.300000Z","level":"info","program":"cherrydyke-tier","host":"front-b-1","msg":"request done","request":"f2","outcome":"answered_in_part","unanswered":"nyba/i-04e3+5ms:0"}
a line of something else
   9.0000 front-a-1 {"time":"2026-08-03T15:13:35.000000Z","level":"info","program":"cherrydyke-tier","host":"front-a-1","msg":"request refused","request":"f3","target":"/y","reason":"no_route","ran":false,"config_version":8}
)";

LogExplanation Explain(const std::string& id) {
  std::istringstream input(kLog);
  LogLines log;
  log.Read(input);
  return ExplainRequest(log, id);
}

bool Contains(const LogExplanation& explanation, const std::string& text) {
  return explanation.text.find(text) != std::string::npos;
}

}  // namespace

class LogExplanationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogExplanationTest);
  CPPUNIT_TEST(ExplainsFailedRequest);
  CPPUNIT_TEST(CountsOtherRequestsUnansweredBySameTarget);
  CPPUNIT_TEST(ShowsTargetChangesOfAnyHostAndOwnHostChanges);
  CPPUNIT_TEST(ExplainsRefusedRequest);
  CPPUNIT_TEST(ExplainsRequestThatWasHandedOver);
  CPPUNIT_TEST(CountsLinesReadIfRequestIsNotFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ExplainsFailedRequest() {
    const LogExplanation explanation = Explain("f1");
    CPPUNIT_ASSERT(explanation.found);
    CPPUNIT_ASSERT(
        Contains(explanation, "enough answers could no longer be received"));
    CPPUNIT_ASSERT(
        Contains(explanation,
                 "i-9c8d of zino, sent after 12 ms: 503, rejected, not run"));
  }

  void CountsOtherRequestsUnansweredBySameTarget() {
    const LogExplanation explanation = Explain("f1");
    CPPUNIT_ASSERT(Contains(
        explanation,
        "i-04e3 of nyba, sent after 0 ms: no response; also unanswered for 1 "
        "other requests"));
    CPPUNIT_ASSERT(
        Contains(explanation, "not run; also unanswered for 0 other requests"));
  }

  void ShowsTargetChangesOfAnyHostAndOwnHostChanges() {
    const LogExplanation explanation = Explain("f1");
    CPPUNIT_ASSERT(
        Contains(explanation, "front-b-1                target unreachable"));
    CPPUNIT_ASSERT(Contains(explanation,
                            "front-a-1                configuration in force"));
    CPPUNIT_ASSERT(!Contains(
        explanation, "front-b-1                configuration in force"));
    CPPUNIT_ASSERT(Contains(explanation, "-0.600 s"));
  }

  void ExplainsRefusedRequest() {
    const LogExplanation explanation = Explain("f3");
    CPPUNIT_ASSERT(
        Contains(explanation, "no configured route matches its path"));
  }

  void ExplainsRequestThatWasHandedOver() {
    std::istringstream input(
        R"({"time":"2026-08-03T15:13:33.500000Z","host":"a1","msg":"partitioned from all targets","probes_failed":6}
{"time":"2026-08-03T15:13:34.000000Z","host":"a1","msg":"request handed over","request":"f4","peer":"10.1.0.12"}
{"time":"2026-08-03T15:13:34.001000Z","host":"a2","msg":"request taken over","request":"f4","from":"10.1.0.11:4000"}
{"time":"2026-08-03T15:13:34.050000Z","host":"a2","msg":"request done","request":"f4","outcome":"answered_in_part","unanswered":"nyba/i-04e3+0ms:0"}
{"time":"2026-08-03T15:13:34.051000Z","host":"a1","msg":"handover done","request":"f4","handover":"answered"}
)");
    LogLines log;
    log.Read(input);
    const LogExplanation explanation = ExplainRequest(log, "f4");
    CPPUNIT_ASSERT_MESSAGE(
        explanation.text,
        Contains(explanation, "request f4: answered without some parts"));
    CPPUNIT_ASSERT(Contains(explanation, "i-04e3 of nyba, sent after 0 ms"));
    CPPUNIT_ASSERT(Contains(explanation, "partitioned from all targets"));
  }

  void CountsLinesReadIfRequestIsNotFound() {
    const LogExplanation explanation = Explain("f9");
    CPPUNIT_ASSERT(!explanation.found);
    CPPUNIT_ASSERT(
        Contains(explanation,
                 "no log line names request f9 (8 lines read, 1 unreadable)"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogExplanationTest);

}  // namespace cherrydyke
