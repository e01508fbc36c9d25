#include "tier/compression.h"

// Makes the input of zlib constant.
#define ZLIB_CONST
#include <zlib.h>

#include <algorithm>

namespace cherrydyke {
namespace {

/// Fast: JSON shrinks several times at any level.
constexpr int kLevel = 1;
constexpr size_t kMinOutputBytes = 4096;

const Bytef* AsBytes(const char* data) {
  return reinterpret_cast<const Bytef*>(data);
}

Bytef* AsBytes(char* data) { return reinterpret_cast<Bytef*>(data); }

/// Ends the decompression when it goes out of scope.
class InflateStream {
 public:
  explicit InflateStream(absl::string_view compressed) {
    stream_.next_in = AsBytes(compressed.data());
    stream_.avail_in = static_cast<uInt>(compressed.size());
    is_valid_ = inflateInit(&stream_) == Z_OK;
  }
  ~InflateStream() {
    if (is_valid_) inflateEnd(&stream_);
  }
  InflateStream(const InflateStream&) = delete;
  InflateStream& operator=(const InflateStream&) = delete;

  /// Appends to the bytes from `used` on.
  /// @return the status of `inflate`.
  int Write(std::string& bytes, size_t used) {
    if (!is_valid_) return Z_MEM_ERROR;
    stream_.next_out = AsBytes(bytes.data() + used);
    stream_.avail_out = static_cast<uInt>(bytes.size() - used);
    return inflate(&stream_, Z_NO_FLUSH);
  }
  size_t total_bytes() const { return stream_.total_out; }
  bool has_output_left() const { return stream_.avail_out > 0; }

 private:
  z_stream stream_ = {};
  bool is_valid_ = false;
};

}  // namespace

std::string Compress(absl::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed(size, '\0');
  compress2(AsBytes(compressed.data()), &size, AsBytes(bytes.data()),
            bytes.size(), kLevel);
  compressed.resize(size);
  return compressed;
}

Result<std::string> Decompress(absl::string_view compressed, size_t max_bytes) {
  InflateStream stream(compressed);
  std::string bytes;
  while (true) {
    const size_t used = stream.total_bytes();
    // One byte beyond the limit tells that there is more.
    bytes.resize(std::min(std::max(kMinOutputBytes, 2 * used), max_bytes + 1));
    const int status = stream.Write(bytes, used);
    if (stream.total_bytes() > max_bytes) {
      return Error{ErrorCode::kInvalidInput, "compressed data too large"};
    }
    if (status == Z_STREAM_END) break;
    if (status != Z_OK || stream.has_output_left()) {
      return Error{ErrorCode::kInvalidInput,
                   "expected complete compressed data"};
    }
  }
  bytes.resize(stream.total_bytes());
  return bytes;
}

}  // namespace cherrydyke
