#include "tier/handover_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
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

/// The reply of a host that does not tell the version of its configuration.
constexpr char kEarlierReply[] =
    "01010000000000000000c8000000010000000000000005000000000000005374616d700100"
    "0000000000007302000000000000006f6b";

bool IsAccepted(const HandoverRequest& handover) {
  return GetError(DecodeHandoverRequest(EncodeHandoverRequest(handover))) ==
         nullptr;
}

}  // namespace

class HandoverMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandoverMessageTest);
  CPPUNIT_TEST(MessagesRoundTrip);
  CPPUNIT_TEST(ReplyIsUnderstoodAcrossVersions);
  CPPUNIT_TEST(RejectsTruncatedAndRandomBytes);
  CPPUNIT_TEST(RejectsRequestsThatCallersCouldNotSend);
  CPPUNIT_TEST(RejectsRepliesWithStatusesThatCallersCannotRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MessagesRoundTrip() {
    const auto request =
        DecodeHandoverRequest(EncodeHandoverRequest(Example()));
    CPPUNIT_ASSERT(GetValue(request) == Example());
    const HandoverReply reply = {
        true, "", {200, {{"Stamp", "s"}}, std::string("\0\1", 2)}, 9};
    CPPUNIT_ASSERT(GetValue(DecodeHandoverReply(EncodeHandoverReply(reply))) ==
                   reply);
    const HandoverReply rejection = {false, "no_room", {}, 0};
    CPPUNIT_ASSERT(GetValue(DecodeHandoverReply(
                       EncodeHandoverReply(rejection))) == rejection);
    const HandoverOffer offer = {true, 7, {1, 4'000'000'000}, 3};
    CPPUNIT_ASSERT(GetValue(DecodeHandoverOffer(EncodeHandoverOffer(offer))) ==
                   offer);
  }

  // Hosts of two versions run side by side while hosts are upgraded in turn.
  void ReplyIsUnderstoodAcrossVersions() {
    const std::string earlier = absl::HexStringToBytes(kEarlierReply);
    HandoverReply reply = {true, "", {200, {{"Stamp", "s"}}, "ok"}, 0};
    const auto decoded = DecodeHandoverReply(earlier);
    CPPUNIT_ASSERT(GetError(decoded) == nullptr);
    CPPUNIT_ASSERT(GetValue(decoded) == reply);
    // Earlier versions ignore what follows the fields that they know.
    reply.config_version = 12;
    CPPUNIT_ASSERT(absl::StartsWith(EncodeHandoverReply(reply), earlier));
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

  void RejectsRepliesWithStatusesThatCallersCannotRead() {
    for (const int status : {-200, 0, 42, 100, 199, 600, 999}) {
      const HandoverReply reply = {true, "", {status, {}, "ok"}, 0};
      const auto decoded = DecodeHandoverReply(EncodeHandoverReply(reply));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(status),
                             GetError(decoded) != nullptr);
    }
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
