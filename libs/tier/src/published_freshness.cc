#include "tier/published_freshness.h"

#include <algorithm>

namespace cherrydyke {

PublishedFreshness::PublishedFreshness(Options options, absl::Time started)
    : options_(options), started_(started) {
  current_until_.fill(absl::InfinitePast());
}

void PublishedFreshness::OnRead(absl::Time started_at) {
  current_until_.front() = std::max(current_until_.front(), started_at);
}

void PublishedFreshness::OnReadFailed(absl::Time now) {
  if (now - current_until_.front() > options_.retry_pause)
    read_failed_at_ = now;
}

void PublishedFreshness::OnPeerProof(const ReadProof& proof,
                                     absl::Time received_at) {
  if (proof.hops < 0 || proof.hops >= kMaxHops) return;
  if (proof.age < absl::ZeroDuration()) return;
  absl::Time& known = current_until_.at(static_cast<size_t>(proof.hops) + 1);
  known = std::max(known, received_at - proof.age);
}

absl::Time PublishedFreshness::current_until() const {
  return *std::max_element(current_until_.begin(), current_until_.end());
}

absl::Time PublishedFreshness::peers_current_until() const {
  return std::max(started_, *std::max_element(current_until_.begin() + 1,
                                              current_until_.end()));
}

std::vector<ReadProof> PublishedFreshness::ProofsForPeers(
    absl::Time now) const {
  std::vector<ReadProof> proofs;
  absl::Time freshest = absl::InfinitePast();
  for (int hops = 0; hops < kMaxHops; ++hops) {
    const absl::Time until = current_until_.at(static_cast<size_t>(hops));
    if (until <= freshest) continue;
    freshest = until;
    proofs.push_back({now - until, hops});
  }
  return proofs;
}

bool PublishedFreshness::ShouldReadItself(absl::Time now) const {
  return now - peers_current_until() > options_.max_peer_age &&
         now - read_failed_at_ >= options_.retry_pause;
}

}  // namespace cherrydyke
