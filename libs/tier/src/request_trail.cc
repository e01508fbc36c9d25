#include "tier/request_trail.h"

#include <map>
#include <utility>

namespace cherrydyke {

void RequestTrail::Add(HandledRequest request) {
  const absl::Time now = request.ended_at;
  requests_.push_back(std::move(request));
  while (requests_.size() > kCapacity ||
         now - requests_.front().ended_at > window_) {
    requests_.pop_front();
  }
}

std::vector<const HandledRequest*> RequestTrail::TakeConcerned(
    absl::FunctionRef<int(const HandledRequest&)> change_of, absl::Time now) {
  std::vector<const HandledRequest*> taken;
  std::map<int, int> taken_by_change;
  for (auto it = requests_.rbegin(); it != requests_.rend(); ++it) {
    if (now - it->ended_at > window_) break;
    if (it->has_line) continue;
    const int change = change_of(*it);
    if (change == kNoChange) continue;
    const int most =
        it->state.age < late_age_ ? kLinesPerChange : kLateLinesPerChange;
    if (taken_by_change[change] >= most) continue;
    ++taken_by_change[change];
    it->has_line = true;
    taken.push_back(&*it);
  }
  return taken;
}

}  // namespace cherrydyke
