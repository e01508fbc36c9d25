#include "tier/pending_proofs.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cherrydyke {
namespace {

/// Bounds the memory: a newer proof then replaces the newest one, so that the
/// oldest still tell since when this host is behind.
constexpr size_t kMaxPending = 32;

}  // namespace

void PendingProofs::Add(PeerItems items, absl::Time sent_at) {
  if (pending_.size() == kMaxPending) pending_.pop_back();
  const auto next = std::upper_bound(
      pending_.begin(), pending_.end(), sent_at,
      [](absl::Time at, const Pending& other) { return at < other.sent_at; });
  pending_.insert(next, {std::move(items), sent_at});
}

void PendingProofs::Apply(PublishedVersion version,
                          PublishedFreshness& freshness) {
  const auto first_known = std::stable_partition(
      pending_.begin(), pending_.end(),
      [&](const Pending& pending) { return pending.items.version > version; });
  const std::vector<Pending> known(std::make_move_iterator(first_known),
                                   std::make_move_iterator(pending_.end()));
  pending_.erase(first_known, pending_.end());
  for (const auto& [items, sent_at] : known) {
    if (items.version.era != version.era) continue;
    for (const ReadProof& proof : items.proofs) {
      freshness.OnPeerProof(proof,
                            std::min(sent_at - proof.age, behind_since()));
    }
  }
}

absl::Time PendingProofs::behind_since() const {
  return pending_.empty() ? absl::InfiniteFuture() : pending_.front().sent_at;
}

HostId PendingProofs::peer() const {
  return pending_.empty() ? "" : pending_.front().items.peer;
}

}  // namespace cherrydyke
