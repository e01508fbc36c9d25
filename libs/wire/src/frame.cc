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
/// Memory set aside for a payload before its bytes are there: a length that a
/// broken peer claims must not take what 16 MB of it would.
constexpr size_t kReadChunkBytes = 64U << 10U;
/// Time for each step of the rest of a frame after its first bytes.
constexpr absl::Duration kBodyTimeout = absl::Seconds(2);

struct FrameHeader {
  uint32_t magic = kMagic;
  uint16_t version = kProtocolVersion;
  uint16_t type = 0;
  uint32_t length = 0;
  uint32_t checksum = 0;
};

// The checksum covers version and type too, so that a damaged header cannot
// hand a payload to the wrong decoder.
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
    return Error{ErrorCode::kInvalidInput, "not a frame of this protocol"};
  }
  if (header.version != kProtocolVersion) {
    return Error{ErrorCode::kVersionMismatch,
                 absl::StrCat("peer speaks protocol version ", header.version,
                              ", expected ", kProtocolVersion)};
  }
  if (header.length > kMaxFramePayloadBytes) {
    return Error{
        ErrorCode::kInvalidInput,
        absl::StrCat("frame of ", header.length, " bytes, expected at most ",
                     kMaxFramePayloadBytes)};
  }
  if (header.type >= std::variant_size_v<Message>) {
    return Error{ErrorCode::kInvalidInput,
                 absl::StrCat("unknown message type ", header.type)};
  }
  return OkStatus();
}

template <size_t... Index>
Message EmptyMessage(size_t type, std::index_sequence<Index...> /*types*/) {
  Message message;
  ((type == Index ? static_cast<void>(message.emplace<Index>()) : void()), ...);
  return message;
}

Result<Message> DecodePayload(const FrameHeader& header,
                              const std::string& payload) {
  if (Checksum(header, payload.data(), payload.size()) != header.checksum) {
    return Error{ErrorCode::kInvalidInput, "frame checksum does not match"};
  }
  Message message = EmptyMessage(
      header.type, std::make_index_sequence<std::variant_size_v<Message>>());
  // cereal reports malformed input by exception; it ends here.
  try {
    std::istringstream input(payload);
    cereal::PortableBinaryInputArchive archive(input);
    std::visit([&](auto& body) { archive(body); }, message);
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalidInput,
                 absl::StrCat("malformed message: ", error.what())};
  }
  return message;
}

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
    return Error{ErrorCode::kInvalidInput, "shorter than a frame header"};
  }
  const FrameHeader header = DecodeHeader(frame.data());
  if (const Status status = CheckHeader(header); GetError(status) != nullptr) {
    return *GetError(status);
  }
  if (frame.size() != kHeaderBytes + header.length) {
    return Error{ErrorCode::kInvalidInput, "frame length does not match"};
  }
  return DecodePayload(header, frame.substr(kHeaderBytes));
}

Result<Message> ReadFrame(Stream& stream, absl::Duration timeout) {
  std::array<char, kHeaderBytes> head{};
  const StreamState state = stream.Read(head.data(), head.size(), timeout);
  if (state == StreamState::kTimedOut) {
    return Error{ErrorCode::kTimeout, "no frame in time"};
  }
  if (state == StreamState::kClosed) {
    return Error{ErrorCode::kUnavailable, "peer closed the stream"};
  }
  const FrameHeader header = DecodeHeader(head.data());
  if (const Status status = CheckHeader(header); GetError(status) != nullptr) {
    return *GetError(status);
  }
  std::string payload;
  while (payload.size() < header.length) {
    const size_t at = payload.size();
    const size_t step = std::min(kReadChunkBytes, header.length - at);
    payload.resize(at + step);
    if (stream.Read(payload.data() + at, step, kBodyTimeout) !=
        StreamState::kOpen) {
      return Error{ErrorCode::kUnavailable, "stream ended inside a frame"};
    }
  }
  return DecodePayload(header, payload);
}

}  // namespace cherrydyke
