#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"
#include "wire/messages.h"
#include "wire/socket.h"

namespace cherrydyke {

/// Version of the protocols between the system's own processes. A peer of
/// another version is refused with `kVersionMismatch`.
constexpr uint16_t kProtocolVersion = 1;

/// Largest payload of one frame, in bytes.
constexpr uint32_t kMaxFramePayloadBytes = 16U << 20U;

/// Encodes a message as one frame: magic, version, type, length and checksum
/// in network byte order, then the cereal payload.
std::string EncodeFrame(const Message& message);

/// Decodes one whole frame.
/// @return the message, `kInvalidInput` for anything that is not a frame, or
/// `kVersionMismatch`.
Result<Message> DecodeFrame(const std::string& frame);

/// Reads the next frame of a stream.
/// @return the message; `kTimeout` if nothing came; `kUnavailable` if the
/// stream ended; otherwise as `DecodeFrame`.
Result<Message> ReadFrame(Stream& stream, absl::Duration timeout);

}  // namespace cherrydyke
