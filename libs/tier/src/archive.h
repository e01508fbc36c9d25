#pragma once

#include <exception>
#include <sstream>
#include <string>

#include "base/result.h"
#include "cereal/archives/portable_binary.hpp"
#include "cereal/types/string.hpp"
#include "cereal/types/vector.hpp"

namespace cherrydyke {

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

/// @return the value, or `kInvalidInput` if the bytes do not encode one.
template <typename T>
Result<T> DecodeArchive(const std::string& bytes) {
  T value;
  std::istringstream in(bytes);
  // Cereal reports malformed input only by exceptions.
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(value);
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalidInput, error.what()};
  }
  return value;
}

}  // namespace cherrydyke
