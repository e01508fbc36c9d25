#include "wire/frame.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <exception>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/crc.hpp"
#include "cereal/archives/portable_binary.hpp"
#include "cereal/types/string.hpp"
#include "cereal/types/vector.hpp"

namespace cherrydyke {
namespace {

constexpr uint32_t kMagic = 0x43444b31;  // "CDK1"
constexpr size_t kHeaderBytes = 16;
/// Memory for a payload grows by this much as its bytes arrive, so that a
/// header with a false length does not make the reader allocate 16 MB.
constexpr size_t kReadChunkBytes = 16U << 10U;
/// Timeout for each chunk of the payload, after the header has arrived.
constexpr absl::Duration kPayloadTimeout = absl::Seconds(2);

struct FrameHeader {
  uint32_t magic = kMagic;
  uint16_t version = kProtocolVersion;
  uint16_t type = 0;
  uint32_t length = 0;
  uint32_t checksum = 0;
};

// The checksum also covers version and type, so that a payload is never decoded
// as another type because of a corrupted header.
uint32_t Checksum(const FrameHeader& header, const char* payload, size_t size) {
  boost::crc_32_type crc;
  crc.process_bytes(&header.version, sizeof(header.version));
  crc.process_bytes(&header.type, sizeof(header.type));
  crc.process_bytes(payload, size);
  return crc.checksum();
}

void EncodeHeader(const FrameHeader& header, char* out) {
  const uint32_t magic = htonl(header.magic);
  const uint16_t version = htons(header.version);
  const uint16_t type = htons(header.type);
  const uint32_t length = htonl(header.length);
  const uint32_t checksum = htonl(header.checksum);
  std::memcpy(out, &magic, 4);
  std::memcpy(out + 4, &version, 2);
  std::memcpy(out + 6, &type, 2);
  std::memcpy(out + 8, &length, 4);
  std::memcpy(out + 12, &checksum, 4);
}

FrameHeader DecodeHeader(const char* in) {
  FrameHeader header;
  std::memcpy(&header.magic, in, 4);
  std::memcpy(&header.version, in + 4, 2);
  std::memcpy(&header.type, in + 6, 2);
  std::memcpy(&header.length, in + 8, 4);
  std::memcpy(&header.checksum, in + 12, 4);
  header.magic = ntohl(header.magic);
  header.version = ntohs(header.version);
  header.type = ntohs(header.type);
  header.length = ntohl(header.length);
  header.checksum = ntohl(header.checksum);
  return header;
}

Status CheckHeader(const FrameHeader& header) {
  if (header.magic != kMagic) {
    return Error{ErrorCode::kInvalidInput,
                 "frame does not start with the magic number of the protocol"};
  }
  if (header.version != kProtocolVersion) {
    return Error{ErrorCode::kVersionMismatch,
                 absl::StrCat("peer uses protocol version ", header.version,
                              ", expected ", kProtocolVersion)};
  }
  if (header.length > kMaxFramePayloadBytes) {
    return Error{
        ErrorCode::kInvalidInput,
        absl::StrCat("frame payload of ", header.length,
                     " bytes, expected at most ", kMaxFramePayloadBytes)};
  }
  if (header.type >= std::variant_size_v<Message>) {
    return Error{ErrorCode::kInvalidInput,
                 absl::StrCat("unknown message type ", header.type)};
  }
  return OkStatus();
}

template <size_t... Index>
Message DefaultMessageOfType(size_t type,
                             std::index_sequence<Index...> /*types*/) {
  Message message;
  ((type == Index ? static_cast<void>(message.emplace<Index>()) : void()), ...);
  return message;
}

Result<Message> DecodePayload(const FrameHeader& header,
                              const std::string& payload) {
  if (Checksum(header, payload.data(), payload.size()) != header.checksum) {
    return Error{ErrorCode::kInvalidInput,
                 "frame checksum does not match version, type and payload"};
  }
  Message message = DefaultMessageOfType(
      header.type, std::make_index_sequence<std::variant_size_v<Message>>());
  // cereal reports malformed input by exceptions, which must not leave this
  // function.
  try {
    std::istringstream input(payload);
    cereal::PortableBinaryInputArchive archive(input);
    std::visit([&](auto& body) { archive(body); }, message);
  } catch (const std::exception& error) {
    return Error{
        ErrorCode::kInvalidInput,
        absl::StrCat("cannot decode the message payload: ", error.what())};
  }
  return message;
}

/// What one payload holds of a budget.
class Reservation {
 public:
  explicit Reservation(FrameBudget* budget) : budget_(budget) {}
  ~Reservation() {
    if (budget_ != nullptr) budget_->Release(bytes_);
  }
  Reservation(const Reservation&) = delete;
  Reservation& operator=(const Reservation&) = delete;

  bool Grow(size_t bytes) {
    if (budget_ == nullptr) return true;
    if (!budget_->Reserve(bytes)) return false;
    bytes_ += bytes;
    return true;
  }

 private:
  FrameBudget* const budget_;
  size_t bytes_ = 0;
};

}  // namespace

std::string EncodeFrame(const Message& message) {
  std::ostringstream output;
  output.write(std::string(kHeaderBytes, '\0').data(), kHeaderBytes);
  {
    cereal::PortableBinaryOutputArchive archive(output);
    std::visit([&](const auto& body) { archive(body); }, message);
  }
  std::string frame = output.str();
  FrameHeader header;
  header.type = static_cast<uint16_t>(message.index());
  header.length = static_cast<uint32_t>(frame.size() - kHeaderBytes);
  header.checksum =
      Checksum(header, frame.data() + kHeaderBytes, header.length);
  EncodeHeader(header, frame.data());
  return frame;
}

Result<Message> DecodeFrame(const std::string& frame) {
  if (frame.size() < kHeaderBytes) {
    return Error{ErrorCode::kInvalidInput,
                 "frame is shorter than the frame header"};
  }
  const FrameHeader header = DecodeHeader(frame.data());
  if (const Status status = CheckHeader(header); GetError(status) != nullptr) {
    return *GetError(status);
  }
  if (frame.size() != kHeaderBytes + header.length) {
    return Error{ErrorCode::kInvalidInput,
                 "frame size does not match the payload length in its header"};
  }
  return DecodePayload(header, frame.substr(kHeaderBytes));
}

bool FrameBudget::Reserve(size_t bytes) {
  size_t left = bytes_left_;
  while (left >= bytes) {
    if (bytes_left_.compare_exchange_weak(left, left - bytes)) return true;
  }
  return false;
}

Result<Message> ReadFrame(Stream& stream, absl::Duration timeout,
                          FrameBudget* budget) {
  std::array<char, kHeaderBytes> header_bytes{};
  const StreamState state =
      stream.Read(header_bytes.data(), header_bytes.size(), timeout);
  if (state == StreamState::kTimedOut) {
    return Error{ErrorCode::kTimeout, "no frame received within the timeout"};
  }
  if (state == StreamState::kClosed) {
    return Error{ErrorCode::kUnavailable, "peer closed the stream"};
  }
  const FrameHeader header = DecodeHeader(header_bytes.data());
  if (const Status status = CheckHeader(header); GetError(status) != nullptr) {
    return *GetError(status);
  }
  std::string payload;
  Reservation reservation(budget);
  while (payload.size() < header.length) {
    const size_t offset = payload.size();
    const size_t chunk = std::min(kReadChunkBytes, header.length - offset);
    if (offset > 0 && !reservation.Grow(chunk)) {
      return Error{ErrorCode::kInternal,
                   "frames from other streams hold all memory for frames"};
    }
    payload.resize(offset + chunk);
    if (stream.Read(payload.data() + offset, chunk, kPayloadTimeout) !=
        StreamState::kOpen) {
      return Error{ErrorCode::kUnavailable,
                   "stream ended or stalled inside a frame"};
    }
  }
  return DecodePayload(header, payload);
}

}  // namespace cherrydyke
