#include "engine/status_code.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

namespace cherrydyke::engine {

class StatusCodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatusCodeTest);
  CPPUNIT_TEST(HasThreeDigits);
  CPPUNIT_TEST(TellsInterimFromFinal);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HasThreeDigits() {
    CPPUNIT_ASSERT(rc::check("status codes have three digits", [] {
      const int code = *rc::gen::inRange(-700, 1300);
      const auto status = StatusCode::FromInt(code);
      RC_ASSERT(status.has_value() == (code >= 100 && code <= 599));
      if (!status) return;
      RC_ASSERT(status->value() == code);
      RC_ASSERT(status->ToString().find(' ') == 3U);
      RC_ASSERT(StatusCode::FinalFromInt(code).has_value() == (code >= 200));
    }));
  }

  void TellsInterimFromFinal() {
    CPPUNIT_ASSERT(StatusCode::FromInt(100)->IsInterim());
    CPPUNIT_ASSERT(StatusCode::FromInt(199)->IsInterim());
    CPPUNIT_ASSERT(!StatusCode::FromInt(200)->IsInterim());
    // No other response follows it.
    CPPUNIT_ASSERT(!StatusCode::FromInt(101)->IsInterim());
    CPPUNIT_ASSERT(StatusCode::FromInt(101)->SwitchesProtocols());
    CPPUNIT_ASSERT_EQUAL(std::string("502 Bad Gateway"),
                         StatusCode::FinalFromInt(502)->ToString());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatusCodeTest);

}  // namespace cherrydyke::engine
