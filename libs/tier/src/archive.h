#pragma once

#include <cstdint>
#include <cstring>
#include <exception>
#include <sstream>
#include <string>
#include <type_traits>

#include "absl/strings/string_view.h"
#include "base/result.h"
#include "cereal/archives/portable_binary.hpp"
#include "cereal/types/string.hpp"
#include "cereal/types/vector.hpp"

namespace cherrydyke {

/// Reads what `cereal::PortableBinaryOutputArchive` has written. Unlike
/// Cereal's own archive it rejects a length beyond the bytes that are left
/// before memory is allocated for it. Throws `cereal::Exception`.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(absl::string_view bytes)
      : InputArchive(this), left_(bytes) {
    uint8_t byte_order = 0;
    Read(&byte_order, sizeof(byte_order));
    if (byte_order != kLittleEndian) throw cereal::Exception("byte order");
  }

  void Read(void* data, size_t size) {
    if (size > left_.size()) throw cereal::Exception("message too short");
    if (size == 0) return;
    std::memcpy(data, left_.data(), size);
    left_.remove_prefix(size);
  }

  /// @param elements of a container; each takes a byte at least.
  void CheckLength(uint64_t elements) const {
    if (elements > left_.size()) throw cereal::Exception("length too large");
  }

  bool IsAtEnd() const { return left_.empty(); }

 private:
  static constexpr uint8_t kLittleEndian = 1;

  absl::string_view left_;
};

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
    BoundedInputArchive& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    uint8_t byte = 0;
    archive.Read(&byte, sizeof(byte));
    value = byte != 0;
  } else {
    archive.Read(&value, sizeof(value));
  }
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::SizeTag<T>& tag) {
  archive(tag.size);
  archive.CheckLength(tag.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.Read(data.data, static_cast<size_t>(data.size));
}

/// @return the value in the portable binary encoding used between hosts.
template <typename T>
std::string EncodeArchive(const T& value) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
  }
  return out.str();
}

/// What may follow the bytes of a value.
enum class TrailingBytes {
  /// Anything: the last fields of a later version.
  kIgnore,
  kReject,
};

/// @return the value, or `kInvalidInput` if the bytes do not encode one.
template <typename T>
Result<T> DecodeArchive(const std::string& bytes,
                        TrailingBytes trailing = TrailingBytes::kIgnore) {
  T value;
  // Cereal reports malformed input only by exceptions.
  try {
    BoundedInputArchive archive(bytes);
    archive(value);
    if (trailing == TrailingBytes::kReject && !archive.IsAtEnd()) {
      return Error{ErrorCode::kInvalidInput, "unexpected trailing bytes"};
    }
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalidInput, error.what()};
  }
  return value;
}

}  // namespace cherrydyke

CEREAL_REGISTER_ARCHIVE(cherrydyke::BoundedInputArchive)
