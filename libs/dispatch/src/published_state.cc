#include "dispatch/published_state.h"

namespace cherrydyke {

bool MayDenyRoute(const PublishedState& state, absl::Duration deadline) {
  if (state.age > deadline) return false;
  return state.was_proven || state.behind <= absl::ZeroDuration();
}

}  // namespace cherrydyke
