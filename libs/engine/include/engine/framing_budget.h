#pragma once

#include <cstddef>
#include <tuple>

namespace cherrydyke::engine {

/// Bounds the bytes of one message between and after the parts of its body:
/// sizes and extensions of chunks, and trailers.
///
/// Pure: has no network.
class FramingBudget {
 public:
  FramingBudget() = default;
  /// @param max_bytes framing, in bytes, that a message may have beside what
  /// its chunks need, and that may wait to be parsed: the size and extensions
  /// of one chunk, or all trailers.
  explicit FramingBudget(size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Counts input behind the header that was parsed.
  /// @param bytes of the input.
  /// @param body_bytes those of them that belong to the body.
  void OnParsed(size_t bytes, size_t body_bytes) {
    framing_bytes_ += bytes - body_bytes;
    body_bytes_ += body_bytes;
  }

  /// @param unparsed_bytes received behind the header and not parsed yet.
  bool IsExceeded(size_t unparsed_bytes) const {
    return unparsed_bytes > max_bytes_ ||
           framing_bytes_ + unparsed_bytes >
               max_bytes_ + kBytesPerChunk * body_bytes_;
  }

  friend bool operator==(const FramingBudget& a, const FramingBudget& b) {
    return std::tie(a.max_bytes_, a.framing_bytes_, a.body_bytes_) ==
           std::tie(b.max_bytes_, b.framing_bytes_, b.body_bytes_);
  }

 private:
  /// A chunk has at least one byte of the body: a size that is padded to 32 bit
  /// and two line ends fit.
  static constexpr size_t kBytesPerChunk = 16;

  size_t max_bytes_ = 0;
  size_t framing_bytes_ = 0;
  size_t body_bytes_ = 0;
};

}  // namespace cherrydyke::engine
