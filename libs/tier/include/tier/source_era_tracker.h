#pragma once

#include <cstdint>
#include <optional>

#include "tier/published_version.h"

namespace cherrydyke {

/// Which era an answer of the configuration service belongs to.
enum class AnswerEra {
  kCurrent,
  /// It was on its way while the era rose: it is not to be used.
  kEarlier,
  /// It is the first one of an era.
  kLater,
};

/// Follows the era of the configuration service by what its answers state and
/// by what peers know. An era never falls.
///
/// Pure: no input or output.
class SourceEraTracker {
 public:
  /// @param stated the number that an answer states; nothing if it states none.
  /// One that is lower than before, though the call began in the current era,
  /// counts as none.
  /// @param asked_in the era that was known when the call began.
  /// @param depends_on_era whether the call refers to what was known in that
  /// era.
  /// @return which era the answer belongs to; a later one is current from now
  /// on.
  AnswerEra OnAnswer(std::optional<int64_t> stated, SourceEra asked_in,
                     bool depends_on_era);

  /// A peer, or a revision that went back, has shown an era.
  /// @return whether it is later than the current one; it is current then.
  bool Raise(SourceEra era);

  /// @return whether an answer may state this number; others are taken as none.
  bool IsPlausible(int64_t stated) const;

  const SourceEra& era() const { return era_; }

 private:
  SourceEra era_;
};

}  // namespace cherrydyke
