#include "base/ids.h"

#include <random>

#include "absl/strings/str_format.h"

namespace cherrydyke {

Incarnation NewIncarnation() {
  std::random_device entropy;
  const uint64_t high = entropy();
  const uint64_t low = entropy();
  const Incarnation value = (high << 32) | low;
  return value == 0 ? 1 : value;
}

std::string ToHex(uint64_t value) { return absl::StrFormat("%016x", value); }

// FNV-1a followed by a finaliser, so that the rendezvous hashing scores of
// similar names are not correlated.
uint64_t StableHash(const std::string& text) {
  uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  hash ^= hash >> 33;
  return hash;
}

}  // namespace cherrydyke
