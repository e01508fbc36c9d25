#include "tier/gossip_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

#include "rapidcheck.h"

namespace cherrydyke {
namespace {

TransitStamp AnyStamp() {
  return {*rc::gen::arbitrary<uint32_t>(),
          absl::FromUnixMicros(*rc::gen::arbitrary<int32_t>()),
          *rc::gen::arbitrary<uint32_t>(),
          absl::Microseconds(*rc::gen::arbitrary<int32_t>())};
}

GossipMessage AnyMessage() {
  GossipMessage message;
  message.membership_update.from = {"10.1.0.1", "near"};
  message.config_revision = *rc::gen::inRange(0, 1000);
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    message.membership_update.hosts.push_back(
        {"10.1.0.2", "far", int64_t{100} * i});
    message.proofs.push_back({absl::Milliseconds(i), i % 3, 7});
  }
  message.stamp = AnyStamp();
  return message;
}

}  // namespace

class GossipMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipMessageTest);
  CPPUNIT_TEST(MessageWithAnotherStampEqualsOneEncodedWithIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against stamps of one recipient in the messages to another.
  void MessageWithAnotherStampEqualsOneEncodedWithIt() {
    CPPUNIT_ASSERT(rc::check([] {
      GossipMessage message = AnyMessage();
      std::string datagram = EncodeGossipMessage(message);
      message.stamp = AnyStamp();
      ReplaceStamp(message.stamp, datagram);
      RC_ASSERT(datagram == EncodeGossipMessage(message));
      const Result<GossipMessage> decoded = DecodeGossipMessage(datagram);
      RC_ASSERT(GetError(decoded) == nullptr);
      RC_ASSERT(GetValue(decoded) == message);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipMessageTest);

}  // namespace cherrydyke
