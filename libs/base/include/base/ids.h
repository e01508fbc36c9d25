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

/// Revision assigned by the platform's configuration service; orders its
/// changes.
using Revision = int64_t;
using IndexVersion = int64_t;
using ShardMapVersion = int64_t;

/// Identifies one run of one process: a random number chosen at start, never
/// zero.
using Incarnation = uint64_t;

/// @return a new incarnation from the system's entropy source.
Incarnation NewIncarnation();

/// @return `value` as sixteen lower-case hexadecimal digits.
std::string ToHex(uint64_t value);

/// Identifies one attempt to execute a request. Unique across restarts, because
/// it contains the incarnation of the process that made the attempt.
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

/// Stable 64-bit hash: equal texts give equal values in all processes.
uint64_t StableHash(const std::string& text);

}  // namespace cherrydyke
