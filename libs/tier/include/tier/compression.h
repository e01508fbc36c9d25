#pragma once

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"
#include "base/result.h"

namespace cherrydyke {

/// @return the bytes in the zlib format (RFC 1950), "deflate" in HTTP.
std::string Compress(absl::string_view bytes);

/// @param max_bytes largest accepted size of the result.
/// @return what `Compress` was given, or `kInvalidInput` if they are
/// malformed, incomplete or longer than that.
Result<std::string> Decompress(absl::string_view compressed, size_t max_bytes);

}  // namespace cherrydyke
