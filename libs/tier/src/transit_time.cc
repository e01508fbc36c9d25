#include "tier/transit_time.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cherrydyke {
namespace {

constexpr size_t kMaxIncarnations = 2;

}  // namespace

void TransitTimes::LeastDifference::Add(absl::Duration difference,
                                        absl::Time now) {
  if (now - window_started_at >= kWindow) {
    in_window_before = now - window_started_at < 2 * kWindow
                           ? in_window
                           : absl::InfiniteDuration();
    in_window = absl::InfiniteDuration();
    window_started_at = now;
  }
  in_window = std::min(in_window, difference);
  heard_at = now;
}

absl::Duration TransitTimes::LeastDifference::Get() const {
  return std::min(in_window, in_window_before);
}

TransitStamp TransitTimes::StampFor(const HostId& peer, absl::Time now) const {
  TransitStamp stamp;
  stamp.incarnation = incarnation_;
  stamp.sent_at = now;
  const auto known = peers_.find(peer);
  if (known == peers_.end()) return stamp;
  const LeastDifference& latest = known->second.front();
  if (now - latest.heard_at >= kWindow) return stamp;
  stamp.echoed_incarnation = latest.incarnation;
  stamp.echoed_difference = latest.Get();
  return stamp;
}

TransitTime TransitTimes::OnMessage(const HostId& peer,
                                    const TransitStamp& stamp, absl::Time now) {
  if (stamp.incarnation == 0) return {absl::ZeroDuration(), false};
  const absl::Duration difference = now - stamp.sent_at;
  LeastDifference& least = Find(peer, stamp.incarnation, now);
  least.Add(difference, now);
  if (stamp.echoed_incarnation == incarnation_) {
    const absl::Duration both_ways = difference + stamp.echoed_difference;
    // Otherwise a clock was set since the other message.
    if (both_ways >= absl::ZeroDuration()) return {both_ways, true};
  }
  if (now - least.first_heard_at < kEchoTime) return {std::nullopt, false};
  return {difference - least.Get(), false};
}

TransitTimes::LeastDifference& TransitTimes::Find(const HostId& peer,
                                                  uint32_t incarnation,
                                                  absl::Time now) {
  DropUnheardPeers(now);
  if (peers_.size() >= kMaxPeers && peers_.count(peer) == 0) MakeRoom();
  Peer& known = peers_[peer];
  const auto found = std::find_if(known.begin(), known.end(),
                                  [&](const LeastDifference& least) {
                                    return least.incarnation == incarnation;
                                  });
  if (found != known.end()) {
    std::rotate(known.begin(), found, std::next(found));
    return known.front();
  }
  if (known.size() == kMaxIncarnations) known.pop_back();
  LeastDifference least;
  least.incarnation = incarnation;
  least.first_heard_at = least.window_started_at = least.heard_at = now;
  return *known.insert(known.begin(), least);
}

void TransitTimes::DropUnheardPeers(absl::Time now) {
  if (now - dropped_at_ < kWindow) return;
  dropped_at_ = now;
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const bool is_heard = now - peer->second.front().heard_at < kWindow;
    peer = is_heard ? std::next(peer) : peers_.erase(peer);
  }
}

void TransitTimes::MakeRoom() {
  peers_.erase(std::min_element(
      peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
        return a.second.front().heard_at < b.second.front().heard_at;
      }));
}

}  // namespace cherrydyke
