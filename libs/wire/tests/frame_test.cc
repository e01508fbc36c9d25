#include "wire/frame.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstring>

namespace cherrydyke {
namespace {

Message SampleMessage() {
  SubRequestBatch batch;
  batch.request_id = "r1";
  batch.query_json = R"({"term":"a"})";
  batch.sub_requests.push_back({{7, 9}, "t1", "s1", {"00", "80"}, 7, 41});
  return batch;
}

/// A stream that delivers the given bytes and is closed after them.
class ScriptedStream : public Stream {
 public:
  explicit ScriptedStream(std::string bytes) : bytes_(std::move(bytes)) {}

  StreamState Write(const char*, size_t) override { return StreamState::kOpen; }
  StreamState Read(char* data, size_t size, absl::Duration) override {
    max_read_bytes_ = std::max(max_read_bytes_, size);
    if (bytes_.size() - position_ < size) return StreamState::kClosed;
    std::memcpy(data, bytes_.data() + position_, size);
    position_ += size;
    return StreamState::kOpen;
  }
  void Close() override {}
  std::string PeerAddress() const override { return "127.0.0.1"; }

  size_t max_read_bytes() const { return max_read_bytes_; }

 private:
  const std::string bytes_;
  size_t position_ = 0;
  size_t max_read_bytes_ = 0;
};

}  // namespace

class FrameTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameTest);
  CPPUNIT_TEST(RoundTrip);
  CPPUNIT_TEST(RejectsCorruptedFrame);
  CPPUNIT_TEST(RejectsArbitraryBytes);
  CPPUNIT_TEST(ReportsVersionMismatch);
  CPPUNIT_TEST(RejectsOversizedLength);
  CPPUNIT_TEST(DoesNotPreallocateClaimedLength);
  CPPUNIT_TEST(ReadsLongFrameFromStream);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTrip() {
    const Result<Message> decoded = DecodeFrame(EncodeFrame(SampleMessage()));
    const auto& batch = std::get<SubRequestBatch>(GetValue(decoded));
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), batch.sub_requests[0].target);
    CPPUNIT_ASSERT((batch.sub_requests[0].attempt == AttemptId{7, 9}));
  }

  void RejectsCorruptedFrame() {
    CPPUNIT_ASSERT(rc::check("a damaged frame is refused", [] {
      std::string frame = EncodeFrame(SampleMessage());
      const auto index = *rc::gen::inRange<size_t>(0, frame.size());
      const auto flipped_bits = static_cast<char>(*rc::gen::inRange(1, 256));
      frame[index] = static_cast<char>(frame[index] ^ flipped_bits);
      RC_ASSERT(GetError(DecodeFrame(frame)) != nullptr);
    }));
  }

  void RejectsArbitraryBytes() {
    CPPUNIT_ASSERT(rc::check("garbage is refused", [] {
      RC_ASSERT(GetError(DecodeFrame(*rc::gen::arbitrary<std::string>())) !=
                nullptr);
    }));
  }

  void ReportsVersionMismatch() {
    std::string frame = EncodeFrame(SampleMessage());
    frame[5] = static_cast<char>(kProtocolVersion + 1);
    const Result<Message> decoded = DecodeFrame(frame);
    CPPUNIT_ASSERT(GetError(decoded) != nullptr);
    CPPUNIT_ASSERT(GetError(decoded)->code == ErrorCode::kVersionMismatch);
  }

  // A header that claims the maximum payload must not make the reader allocate
  // 16 MB before the bytes arrive: the allocator keeps such blocks for each
  // thread, and there may be many faulty peers.
  void DoesNotPreallocateClaimedLength() {
    std::string frame = EncodeFrame(SampleMessage());
    const uint32_t claimed_length = kMaxFramePayloadBytes;
    for (int byte = 0; byte < 4; ++byte) {
      frame[8 + byte] = static_cast<char>(claimed_length >> (24 - 8 * byte));
    }
    ScriptedStream stream(frame);
    const Result<Message> read = ReadFrame(stream, absl::Seconds(1));
    CPPUNIT_ASSERT(GetError(read) != nullptr);
    CPPUNIT_ASSERT(GetError(read)->code == ErrorCode::kUnavailable);
    constexpr size_t kReadLimitBytes = 64U << 10U;
    CPPUNIT_ASSERT(stream.max_read_bytes() <= kReadLimitBytes);
  }

  void ReadsLongFrameFromStream() {
    SubRequestBatch batch;
    batch.query_json = std::string(1'000'003, 'q');
    ScriptedStream stream(EncodeFrame(batch));
    const Result<Message> read = ReadFrame(stream, absl::Seconds(1));
    CPPUNIT_ASSERT(GetError(read) == nullptr);
    CPPUNIT_ASSERT(std::get<SubRequestBatch>(GetValue(read)).query_json ==
                   batch.query_json);
  }

  void RejectsOversizedLength() {
    std::string frame = EncodeFrame(SampleMessage());
    frame[8] = '\x7f';
    CPPUNIT_ASSERT(GetError(DecodeFrame(frame)) != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameTest);

}  // namespace cherrydyke
