#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cherrydyke {

/// Why a target gets no request.
enum class ExclusionReason : uint8_t {
  /// It drains, or has said that it leaves.
  kLeaving,
  /// Its entry is gone.
  kGone,
  /// Another target has its address.
  kWrongAddress,
  /// It has asked for time.
  kBackoff,
  /// Its connections are divided among other hosts.
  kNoConnection,
  /// Its failure domain is evacuated.
  kEvacuated,
  /// It stands outside of the allowed regions.
  kOtherRegion,
  /// The request has been there.
  kAlreadyTried,
  /// It is cold, and this host's part of what it bears is used up.
  kCold,
  /// It has as much of this host's work as it answers in time.
  kNoRoom,
  /// It does not answer.
  kUnresponsive,
};
constexpr size_t kExclusionReasonCount =
    static_cast<size_t>(ExclusionReason::kUnresponsive) + 1;

/// @return the obstacle in words joined by underscores.
const char* ExclusionReasonName(ExclusionReason obstacle);

/// How often targets were passed over, by reason.
class ExclusionCounts {
 public:
  void Add(ExclusionReason obstacle, size_t times = 1) {
    counts_[static_cast<size_t>(obstacle)] += static_cast<int64_t>(times);
  }
  int64_t of(ExclusionReason obstacle) const {
    return counts_[static_cast<size_t>(obstacle)];
  }

  ExclusionCounts& operator+=(const ExclusionCounts& other);
  ExclusionCounts operator-(const ExclusionCounts& other) const;

  /// @return as `silent=3 no_room=1`; empty if nothing was passed over.
  std::string ToString() const;

  friend bool operator==(const ExclusionCounts& a, const ExclusionCounts& b) {
    return a.counts_ == b.counts_;
  }

 private:
  std::array<int64_t, kExclusionReasonCount> counts_{};
};

}  // namespace cherrydyke
