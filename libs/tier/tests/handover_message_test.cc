#include "tier/handover_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include "rapidcheck.h"

namespace cherrydyke {
namespace {

HandoverRequest Example() {
  HandoverRequest handover;
  handover.request = {"POST",
                      "/one/x?q=1",
                      {{"Host", "h"}, {"Cherrydyke-Request-Id", "id1"}},
                      std::string("b\0dy", 4),
                      "10.0.0.9:4711"};
  handover.age = absl::Microseconds(1234);
  handover.caller_round_trip = absl::Milliseconds(2);
  handover.config_version = 7;
  handover.service = "a";
  handover.tried = {{"a", {"t1", "t2"}}};
  return handover;
}

bool IsAccepted(const HandoverRequest& handover) {
  return GetError(DecodeHandoverRequest(EncodeHandoverRequest(handover))) ==
         nullptr;
}

}  // namespace

class HandoverMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandoverMessageTest);
  CPPUNIT_TEST(MessagesRoundTrip);
  CPPUNIT_TEST(RejectsTruncatedAndRandomBytes);
  CPPUNIT_TEST(RejectsRequestsThatCallersCouldNotSend);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MessagesRoundTrip() {
    const auto request =
        DecodeHandoverRequest(EncodeHandoverRequest(Example()));
    CPPUNIT_ASSERT(GetValue(request) == Example());
    const HandoverReply reply = {
        true, "", {200, {{"Stamp", "s"}}, std::string("\0\1", 2)}};
    CPPUNIT_ASSERT(GetValue(DecodeHandoverReply(EncodeHandoverReply(reply))) ==
                   reply);
    const HandoverReply rejection = {false, "no_room", {}};
    CPPUNIT_ASSERT(GetValue(DecodeHandoverReply(
                       EncodeHandoverReply(rejection))) == rejection);
    const HandoverOffer offer = {true, 7, {1, 4'000'000'000}, 3};
    CPPUNIT_ASSERT(GetValue(DecodeHandoverOffer(EncodeHandoverOffer(offer))) ==
                   offer);
  }

  void RejectsTruncatedAndRandomBytes() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto bytes =
          *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
      DecodeHandoverRequest(bytes);
      DecodeHandoverReply(bytes);
      DecodeHandoverOffer(bytes);
      std::string message = EncodeHandoverRequest(Example());
      const size_t kept = *rc::gen::inRange<size_t>(0, message.size());
      RC_ASSERT(GetError(DecodeHandoverRequest(message.substr(0, kept))) !=
                nullptr);
      message[kept] = *rc::gen::arbitrary<char>();
      DecodeHandoverRequest(message);
    }));
  }

  void RejectsRequestsThatCallersCouldNotSend() {
    CPPUNIT_ASSERT(IsAccepted(Example()));
    HandoverRequest handover = Example();
    handover.request.target = "/one/x HTTP/1.1\r\nHost: other";
    CPPUNIT_ASSERT(!IsAccepted(handover));
    handover = Example();
    handover.request.target = "one";
    CPPUNIT_ASSERT(!IsAccepted(handover));
    handover = Example();
    handover.request.method = "GET /x";
    CPPUNIT_ASSERT(!IsAccepted(handover));
    handover = Example();
    handover.request.headers.push_back({"A", "b\r\nC: d"});
    CPPUNIT_ASSERT(!IsAccepted(handover));
    handover = Example();
    handover.request.headers.push_back({"host", "other"});
    CPPUNIT_ASSERT(!IsAccepted(handover));
    handover = Example();
    handover.age = -absl::Seconds(1);
    CPPUNIT_ASSERT(!IsAccepted(handover));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandoverMessageTest);

}  // namespace cherrydyke
