#include "tier/transfer_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"

namespace cherrydyke {
namespace {

/// What hosts sent before messages named these revisions.
constexpr char kEarlierMessage[] =
    "01010000000000000009000000000000006f702f636f6e666967020000000000"
    "00007b7d07000000000000000002000000000000000900000000000000736572"
    "766572732f610100000000000000780900000000000000000900000000000000"
    "736572766572732f620000000000000000080000000000000001dc0500000000"
    "0000";

TransferMessage Message() {
  return {
      {{{"op/config", "{}", 7, false}}, 7, false},
      {{{"servers/a", "x", 9, false}, {"servers/b", "", 8, true}}, 9, false},
      absl::Milliseconds(1500)};
}

}  // namespace

/// Hosts of two versions run side by side while hosts are upgraded in turn.
class TransferMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransferMessageTest);
  CPPUNIT_TEST(RoundTrips);
  CPPUNIT_TEST(ReadsMessageOfEarlierVersion);
  CPPUNIT_TEST(EarlierVersionReadsTheItems);
  CPPUNIT_TEST(RejectsTruncatedMessage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTrips() {
    TransferMessage message = Message();
    message.config = {{{"op/config", "{}", 7, false}}, 12, true};
    message.targets.as_of = 12;
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

  // Earlier versions ignore what follows the fields that they know.
  void EarlierVersionReadsTheItems() {
    CPPUNIT_ASSERT(absl::StartsWith(EncodeTransferMessage(Message()),
                                    absl::HexStringToBytes(kEarlierMessage)));
  }

  void RejectsTruncatedMessage() {
    const std::string bytes = absl::HexStringToBytes(kEarlierMessage);
    for (size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(GetError(DecodeTransferMessage(bytes.substr(0, size))) !=
                     nullptr);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransferMessageTest);

}  // namespace cherrydyke
