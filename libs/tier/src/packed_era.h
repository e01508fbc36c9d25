#pragma once

#include <cstdint>
#include <limits>

#include "base/result.h"
#include "tier/published_version.h"

namespace cherrydyke {

/// Wire format of a `SourceEra`.
struct PackedEra {
  int64_t stated = 0;
  int64_t inferred = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(stated, inferred);
  }
};

/// Size of an encoded `PackedEra` within an archive.
constexpr size_t kPackedEraBytes = 2 * sizeof(int64_t);

inline PackedEra Pack(const SourceEra& era) {
  return {era.stated, era.inferred};
}

/// @return the era, or `kInvalidInput` if no host can be in it.
inline Result<SourceEra> Unpack(const PackedEra& packed) {
  // No less than what readers of the service accept.
  constexpr int64_t kMaxStated = int64_t{1} << 53U;
  constexpr int64_t kMaxInferred = std::numeric_limits<int32_t>::max();
  if (packed.stated < 0 || packed.stated > kMaxStated || packed.inferred < 0 ||
      packed.inferred > kMaxInferred) {
    return Error{ErrorCode::kInvalidInput, "impossible era"};
  }
  return SourceEra{packed.stated, packed.inferred};
}

}  // namespace cherrydyke
