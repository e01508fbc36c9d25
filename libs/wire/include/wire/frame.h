#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/result.h"
#include "wire/messages.h"
#include "wire/socket.h"

namespace cherrydyke {

/// Version of the protocol between the daemons. Frames of any other version are
/// rejected with `kVersionMismatch`.
constexpr uint16_t kProtocolVersion = 1;

/// Maximum payload of a frame.
constexpr uint32_t kMaxFramePayloadBytes = 16U << 20U;

/// Encodes a message as one frame: magic number, version, type, length and
/// checksum in network byte order, then the payload in cereal's portable binary
/// format.
std::string EncodeFrame(const Message& message);

/// Decodes one complete frame.
/// @return the message; `kVersionMismatch` for a frame of another protocol
/// version; `kInvalidInput` if the bytes are not a valid frame.
Result<Message> DecodeFrame(const std::string& frame);

/// Memory that the payloads of frames from several streams may hold together
/// while they are received and decoded. Thread-safe.
class FrameBudget {
 public:
  explicit FrameBudget(size_t bytes) : bytes_left_(bytes) {}

  /// @return whether the bytes were available; they are reserved then.
  bool Reserve(size_t bytes);
  void Release(size_t bytes) { bytes_left_ += bytes; }

 private:
  std::atomic<size_t> bytes_left_;
};

/// Reads the next frame of a stream.
/// @param timeout longest wait for the first byte of the frame.
/// @param budget null for no limit besides `kMaxFramePayloadBytes`. Payloads of
/// up to 16 KB don't count.
/// @return the message; `kTimeout` if no byte arrived within the timeout;
/// `kUnavailable` if the stream ended or stalled; `kInternal` if the budget is
/// exhausted; otherwise the errors of `DecodeFrame`.
Result<Message> ReadFrame(Stream& stream, absl::Duration timeout,
                          FrameBudget* budget = nullptr);

}  // namespace cherrydyke
