#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cherrydyke {

/// Why a target is not eligible for a request.
enum class ExclusionReason : uint8_t {
  /// It is draining or has announced that it is leaving.
  kLeaving,
  /// Its entry in the configuration service no longer exists.
  kGone,
  /// Its address now belongs to another target.
  kWrongAddress,
  /// It asked for no requests for a time, and that time is not over.
  kBackoff,
  /// All its connections are allotted to other hosts.
  kNoConnection,
  /// Its failure domain is evacuated.
  kEvacuated,
  /// It is outside the allowed regions of the request.
  kOtherRegion,
  /// The request was already sent to it.
  kAlreadyTried,
  /// It is cold, and this host's quota for it is used up.
  kCold,
  /// This host's concurrency limit for it is reached.
  kNoRoom,
  /// This host's share of the request rate that it stated is used up.
  kStatedRate,
  /// It does not answer, and a half-open probe of it is not due yet or a
  /// request
  /// to it is still outstanding.
  kUnresponsive,
};
constexpr size_t kExclusionReasonCount =
    static_cast<size_t>(ExclusionReason::kUnresponsive) + 1;

/// @return the reason in lower case with underscores, as in metrics and logs.
const char* ExclusionReasonName(ExclusionReason reason);

/// Counts how often targets were excluded, by reason.
class ExclusionCounts {
 public:
  void Add(ExclusionReason reason, size_t times = 1) {
    counts_[static_cast<size_t>(reason)] += static_cast<int64_t>(times);
  }
  int64_t of(ExclusionReason reason) const {
    return counts_[static_cast<size_t>(reason)];
  }

  ExclusionCounts& operator+=(const ExclusionCounts& other);
  ExclusionCounts operator-(const ExclusionCounts& other) const;

  /// @return the counts that are not zero, as `silent=3 no_room=1`.
  std::string ToString() const;

  friend bool operator==(const ExclusionCounts& a, const ExclusionCounts& b) {
    return a.counts_ == b.counts_;
  }

 private:
  std::array<int64_t, kExclusionReasonCount> counts_{};
};

}  // namespace cherrydyke
