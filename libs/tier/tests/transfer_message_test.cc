#include "tier/transfer_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "rapidcheck.h"

namespace cherrydyke {
namespace {

/// What hosts sent before messages named these revisions.
constexpr char kEarlierMessage[] =
    "01010000000000000009000000000000006f702f636f6e666967020000000000"
    "00007b7d07000000000000000002000000000000000900000000000000736572"
    "766572732f610100000000000000780900000000000000000900000000000000"
    "736572766572732f620000000000000000080000000000000001dc0500000000"
    "0000";

/// What hosts sent before messages named an era.
constexpr char kMessageWithoutEra[] =
    "01010000000000000009000000000000006f702f636f6e666967020000000000"
    "00007b7d07000000000000000002000000000000000900000000000000736572"
    "766572732f610100000000000000780900000000000000000900000000000000"
    "736572766572732f620000000000000000080000000000000001dc0500000000"
    "00000c000000000000000c000000000000000100";
constexpr size_t kErasBytes = 32;

TransferMessage Message() {
  return {{{{"op/config", "{}", 7, false}}, {{}, 7}, false},
          {{{"servers/a", "x", 9, false}, {"servers/b", "", 8, true}},
           {{}, 9},
           false},
          absl::Milliseconds(1500)};
}

/// The message without an era above.
TransferMessage MessageAsOf12() {
  TransferMessage message = Message();
  message.config.as_of.revision = 12;
  message.config.is_snapshot = true;
  message.targets.as_of.revision = 12;
  return message;
}

TransferMessage InEra(TransferMessage message, SourceEra era) {
  message.config.as_of.era = era;
  message.targets.as_of.era = era;
  return message;
}

}  // namespace

/// Hosts of two versions run side by side while hosts are upgraded in turn.
class TransferMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransferMessageTest);
  CPPUNIT_TEST(RoundTrips);
  CPPUNIT_TEST(ReadsMessageOfEarlierVersion);
  CPPUNIT_TEST(ReadsMessageWithoutEra);
  CPPUNIT_TEST(EarlierVersionReadsTheItems);
  CPPUNIT_TEST(EarlierVersionReadsAllButTheEra);
  CPPUNIT_TEST(RejectsPartsOfDifferentEras);
  CPPUNIT_TEST(RejectsImpossibleEra);
  CPPUNIT_TEST(RejectsTruncatedMessage);
  CPPUNIT_TEST(RejectsMessageTruncatedInItsLaterParts);
  CPPUNIT_TEST(AnyBytesAreDecodedOrRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTrips() {
    const TransferMessage message = InEra(MessageAsOf12(), {3, 1});
    const auto decoded = DecodeTransferMessage(EncodeTransferMessage(message));
    CPPUNIT_ASSERT(GetError(decoded) == nullptr);
    CPPUNIT_ASSERT(GetValue(decoded) == message);
  }

  void ReadsMessageOfEarlierVersion() {
    const auto decoded =
        DecodeTransferMessage(absl::HexStringToBytes(kEarlierMessage));
    CPPUNIT_ASSERT(GetError(decoded) == nullptr);
    CPPUNIT_ASSERT(GetValue(decoded) == Message());
  }

  void ReadsMessageWithoutEra() {
    const auto decoded =
        DecodeTransferMessage(absl::HexStringToBytes(kMessageWithoutEra));
    CPPUNIT_ASSERT(GetError(decoded) == nullptr);
    CPPUNIT_ASSERT(GetValue(decoded) == MessageAsOf12());
  }

  // Earlier versions ignore what follows the fields that they know.
  void EarlierVersionReadsTheItems() {
    CPPUNIT_ASSERT(absl::StartsWith(EncodeTransferMessage(Message()),
                                    absl::HexStringToBytes(kEarlierMessage)));
  }

  void EarlierVersionReadsAllButTheEra() {
    std::string bytes = EncodeTransferMessage(InEra(MessageAsOf12(), {3, 1}));
    bytes.resize(bytes.size() - kErasBytes);
    CPPUNIT_ASSERT(bytes == absl::HexStringToBytes(kMessageWithoutEra));
  }

  void RejectsPartsOfDifferentEras() {
    TransferMessage message = InEra(Message(), {3, 1});
    message.targets.as_of.era = {3, 2};
    CPPUNIT_ASSERT(GetError(DecodeTransferMessage(
                       EncodeTransferMessage(message))) != nullptr);
  }

  void RejectsImpossibleEra() {
    for (const SourceEra& era :
         {SourceEra{-1, 0}, SourceEra{0, -1},
          SourceEra{0, std::numeric_limits<int64_t>::max()},
          SourceEra{std::numeric_limits<int64_t>::max(), 0}}) {
      CPPUNIT_ASSERT(GetError(DecodeTransferMessage(EncodeTransferMessage(
                         InEra(Message(), era)))) != nullptr);
    }
  }

  void RejectsTruncatedMessage() {
    const std::string bytes = absl::HexStringToBytes(kEarlierMessage);
    for (size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(GetError(DecodeTransferMessage(bytes.substr(0, size))) !=
                     nullptr);
    }
  }

  // One that ends where an earlier version's does reads as such a message.
  void RejectsMessageTruncatedInItsLaterParts() {
    const std::string bytes = EncodeTransferMessage(Message());
    const size_t without_era =
        absl::HexStringToBytes(kMessageWithoutEra).size();
    const size_t items = absl::HexStringToBytes(kEarlierMessage).size();
    for (size_t size = items + 1; size < bytes.size(); ++size) {
      const auto decoded = DecodeTransferMessage(bytes.substr(0, size));
      CPPUNIT_ASSERT_EQUAL(size == without_era, GetError(decoded) == nullptr);
    }
  }

  void AnyBytesAreDecodedOrRejected() {
    CPPUNIT_ASSERT(rc::check([] {
      (void)DecodeTransferMessage(*rc::gen::arbitrary<std::string>());
      std::string bytes = EncodeTransferMessage(Message());
      for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
        bytes[*rc::gen::inRange<size_t>(0, bytes.size())] =
            *rc::gen::arbitrary<char>();
      }
      (void)DecodeTransferMessage(bytes);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransferMessageTest);

}  // namespace cherrydyke
