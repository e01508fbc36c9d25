#include "tier/gossip_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>
#include <string>

#include "absl/strings/escaping.h"
#include "rapidcheck.h"

namespace cherrydyke {
namespace {

/// What hosts sent before messages named an era.
constexpr char kMessageWithoutEra[] =
    "01080000000000000031302e312e302e3104000000000000006e656172030005"
    "0500000000000000070000000000000001000000000000000300000000000000"
    "66617201000000000000000200010a0001000100000000000000887766554433"
    "221109000000280000000100000000000000080000000301020c000000000000"
    "000100000000000000fa00000000000000014d0000001500000040420f000000"
    "000016000000d4feffffffffffff";
/// The end of it that still earlier hosts did not send.
constexpr size_t kStampBytes = 24;
/// The end of the rest that the first hosts did not send: the revision and a
/// proof.
constexpr size_t kProofBytes = 29;
constexpr size_t kEraBytes = 16;

/// The message above.
GossipMessage Message() {
  GossipMessage message;
  message.membership_update = {{"10.1.0.1", "near"},
                               3,
                               DisseminationRole::kReader,
                               {{"10.1.0.2", "far", 100}}};
  message.config_revision = 5;
  message.targets_revision = 7;
  message.crashes = {{0x1122334455667788, 9, 40}};
  message.reports = {{8, 3, 1, 2}};
  message.known_until = {{}, 12};
  message.proofs = {{absl::Milliseconds(250), 1, 77}};
  message.stamp = {21, absl::FromUnixSeconds(1), 22, absl::Microseconds(-300)};
  return message;
}

std::string WithoutEnd(std::string datagram, size_t bytes) {
  datagram.resize(datagram.size() - bytes);
  return datagram;
}

void CheckDecodes(const std::string& datagram, const GossipMessage& message) {
  const Result<GossipMessage> decoded = DecodeGossipMessage(datagram);
  CPPUNIT_ASSERT(GetError(decoded) == nullptr);
  CPPUNIT_ASSERT(GetValue(decoded) == message);
}

SourceEra AnyEra() {
  return {*rc::gen::inRange<int64_t>(0, (int64_t{1} << 53U) + 1),
          *rc::gen::inRange(0, std::numeric_limits<int32_t>::max())};
}

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
  message.known_until = {AnyEra(), *rc::gen::inRange(0, 1000)};
  message.stamp = AnyStamp();
  return message;
}

}  // namespace

/// Hosts of different versions run side by side while hosts are upgraded in
/// turn.
class GossipMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipMessageTest);
  CPPUNIT_TEST(MessageWithAnotherStampEqualsOneEncodedWithIt);
  CPPUNIT_TEST(ReadsMessageWithoutEra);
  CPPUNIT_TEST(ReadsMessageWithoutStamp);
  CPPUNIT_TEST(ReadsMessageWithoutProofs);
  CPPUNIT_TEST(EarlierVersionsReadTheirPart);
  CPPUNIT_TEST(RejectsImpossibleEra);
  CPPUNIT_TEST(RejectsTruncatedMessage);
  CPPUNIT_TEST(AnyBytesAreDecodedOrRejected);
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

  void ReadsMessageWithoutEra() {
    CheckDecodes(absl::HexStringToBytes(kMessageWithoutEra), Message());
  }

  void ReadsMessageWithoutStamp() {
    GossipMessage message = Message();
    message.stamp = {};
    CheckDecodes(
        WithoutEnd(absl::HexStringToBytes(kMessageWithoutEra), kStampBytes),
        message);
  }

  void ReadsMessageWithoutProofs() {
    GossipMessage message = Message();
    message.stamp = {};
    message.proofs.clear();
    message.known_until = {{}, message.targets_revision};
    CheckDecodes(WithoutEnd(absl::HexStringToBytes(kMessageWithoutEra),
                            kStampBytes + kProofBytes),
                 message);
  }

  // They ignore what follows the fields that they know.
  void EarlierVersionsReadTheirPart() {
    GossipMessage message = Message();
    message.known_until.era = {4, 2};
    const std::string datagram = EncodeGossipMessage(message);
    CPPUNIT_ASSERT(WithoutEnd(datagram, kEraBytes) ==
                   absl::HexStringToBytes(kMessageWithoutEra));
  }

  void RejectsImpossibleEra() {
    constexpr int64_t kMax = std::numeric_limits<int64_t>::max();
    for (const SourceEra& era :
         {SourceEra{-1, 0}, SourceEra{0, -1}, SourceEra{0, kMax},
          SourceEra{kMax, 0}, SourceEra{-kMax, -kMax}}) {
      GossipMessage message = Message();
      message.known_until.era = era;
      const Result<GossipMessage> decoded =
          DecodeGossipMessage(EncodeGossipMessage(message));
      CPPUNIT_ASSERT(GetError(decoded) != nullptr);
    }
  }

  // One that ends where an earlier version's does reads as such a message.
  void RejectsTruncatedMessage() {
    const std::string datagram = EncodeGossipMessage(Message());
    for (size_t missing = 1; missing <= datagram.size(); ++missing) {
      const bool is_earlier_version =
          missing == kEraBytes || missing == kEraBytes + kStampBytes ||
          missing == kEraBytes + kStampBytes + kProofBytes;
      const Result<GossipMessage> decoded =
          DecodeGossipMessage(WithoutEnd(datagram, missing));
      CPPUNIT_ASSERT_EQUAL(is_earlier_version, GetError(decoded) == nullptr);
    }
  }

  void AnyBytesAreDecodedOrRejected() {
    CPPUNIT_ASSERT(rc::check([] {
      std::string datagram = *rc::gen::arbitrary<std::string>();
      (void)DecodeGossipMessage(datagram);
      datagram = EncodeGossipMessage(AnyMessage());
      for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
        datagram[*rc::gen::inRange<size_t>(0, datagram.size())] =
            *rc::gen::arbitrary<char>();
      }
      (void)DecodeGossipMessage(datagram);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipMessageTest);

}  // namespace cherrydyke
