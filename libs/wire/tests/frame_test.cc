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

/// Bytes that a peer sent before it went away.
class ScriptedStream : public Stream {
 public:
  explicit ScriptedStream(std::string bytes) : bytes_(std::move(bytes)) {}

  StreamState Write(const char*, size_t) override { return StreamState::kOpen; }
  StreamState Read(char* data, size_t size, absl::Duration) override {
    largest_read_ = std::max(largest_read_, size);
    if (bytes_.size() - at_ < size) return StreamState::kClosed;
    std::memcpy(data, bytes_.data() + at_, size);
    at_ += size;
    return StreamState::kOpen;
  }
  void Close() override {}
  std::string PeerAddress() const override { return "127.0.0.1"; }

  size_t largest_read() const { return largest_read_; }

 private:
  const std::string bytes_;
  size_t at_ = 0;
  size_t largest_read_ = 0;
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
      const auto at = *rc::gen::inRange<size_t>(0, frame.size());
      const auto flip = static_cast<char>(*rc::gen::inRange(1, 256));
      frame[at] = static_cast<char>(frame[at] ^ flip);
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

  // Each of many broken peers made a daemon set 16 MB aside for bytes that
  // never came, and the allocator kept them for each thread.
  void DoesNotPreallocateClaimedLength() {
    std::string frame = EncodeFrame(SampleMessage());
    const uint32_t claimed = kMaxFramePayloadBytes;
    for (int byte = 0; byte < 4; ++byte) {
      frame[8 + byte] = static_cast<char>(claimed >> (24 - 8 * byte));
    }
    ScriptedStream stream(frame);
    const Result<Message> read = ReadFrame(stream, absl::Seconds(1));
    CPPUNIT_ASSERT(GetError(read) != nullptr);
    CPPUNIT_ASSERT(GetError(read)->code == ErrorCode::kUnavailable);
    constexpr size_t kMaxReadBytes = 64U << 10U;
    CPPUNIT_ASSERT(stream.largest_read() <= kMaxReadBytes);
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
