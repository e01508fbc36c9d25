#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace cherrydyke {

using HostId = std::string;
using TargetId = std::string;
using ShardId = std::string;
using EntryName = std::string;
using ServiceName = std::string;
using OwnerName = std::string;
using FailureDomainName = std::string;
using RegionName = std::string;
/// `IP:PORT` as text.
using Endpoint = std::string;

/// Order given by the platform's configuration service.
using Revision = int64_t;
using IndexVersion = int64_t;
using ShardMapVersion = int64_t;

/// Identifies one run of one process; drawn at random at start, never zero.
using Incarnation = uint64_t;

/// @return a fresh incarnation from the system's entropy source.
Incarnation NewIncarnation();

/// @return `value` as sixteen lower-case hexadecimal digits.
std::string ToHex(uint64_t value);

/// Identifies one attempt to run a request, unique over restarts because it
/// carries the incarnation that made it.
struct AttemptId {
  Incarnation incarnation = 0;
  uint64_t sequence = 0;

  std::string ToString() const {
    return ToHex(incarnation) + "-" + ToHex(sequence);
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sequence);
  }

  friend bool operator==(const AttemptId& a, const AttemptId& b) {
    return std::tie(a.incarnation, a.sequence) ==
           std::tie(b.incarnation, b.sequence);
  }
  friend bool operator!=(const AttemptId& a, const AttemptId& b) {
    return !(a == b);
  }
  friend bool operator<(const AttemptId& a, const AttemptId& b) {
    return std::tie(a.incarnation, a.sequence) <
           std::tie(b.incarnation, b.sequence);
  }
  template <typename H>
  friend H AbslHashValue(H state, const AttemptId& id) {
    return H::combine(std::move(state), id.incarnation, id.sequence);
  }
};

/// Stable 64-bit hash: the same text gives the same value in every process.
uint64_t StableHash(const std::string& text);

}  // namespace cherrydyke
