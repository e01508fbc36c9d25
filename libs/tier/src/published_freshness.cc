#include "tier/published_freshness.h"

#include <algorithm>

namespace cherrydyke {

PublishedFreshness::PublishedFreshness(Options options, absl::Time started)
    : options_(options), started_(started) {
  proven_.front().reader = options_.self;
}

void PublishedFreshness::OnRead(absl::Time started_at) {
  proven_.front().until = std::max(proven_.front().until, started_at);
  failures_ = failures_.AfterSuccess();
}

void PublishedFreshness::OnPeerProof(const ReadProof& proof,
                                     absl::Time proven_until) {
  if (proof.reader == options_.self) return;
  if (proof.hops < 0 || proof.hops >= kMaxHops) return;
  if (proof.age < absl::ZeroDuration()) return;
  Proven& proven = proven_.at(static_cast<size_t>(proof.hops) + 1);
  if (proven_until > proven.until) proven = {proven_until, proof.reader};
  failures_ = failures_.AfterSuccessOfAnother(peers_read_since());
}

absl::Time PublishedFreshness::current_until() const {
  return std::max(started_, proven_until().value_or(started_));
}

std::optional<absl::Time> PublishedFreshness::proven_until() const {
  absl::Time until = absl::InfinitePast();
  for (const Proven& proven : proven_) until = std::max(until, proven.until);
  if (until == absl::InfinitePast()) return std::nullopt;
  return until;
}

absl::Time PublishedFreshness::peers_current_until() const {
  absl::Time until = started_;
  for (size_t hops = 1; hops < proven_.size(); ++hops) {
    until = std::max(until, proven_.at(hops).until);
  }
  return until;
}

std::vector<ReadProof> PublishedFreshness::ProofsForPeers(
    absl::Time now) const {
  std::vector<ReadProof> proofs;
  absl::Time freshest = absl::InfinitePast();
  for (int hops = 0; hops < kMaxHops; ++hops) {
    const Proven& proven = proven_.at(static_cast<size_t>(hops));
    if (proven.until <= freshest) continue;
    freshest = proven.until;
    proofs.push_back({now - proven.until, hops, proven.reader});
  }
  return proofs;
}

bool PublishedFreshness::ShouldReadItself(absl::Time now) const {
  const bool pauses = failures_.count() >= kFailuresBeforePause &&
                      now - failures_.last_failure_at() < options_.retry_pause;
  return PeersProveNothing(now) && !pauses;
}

}  // namespace cherrydyke
