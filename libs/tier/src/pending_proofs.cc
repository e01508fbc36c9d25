#include "tier/pending_proofs.h"

#include <algorithm>
#include <utility>

namespace cherrydyke {
namespace {

/// Bounds the memory: a newer proof then replaces the newest one, so that the
/// oldest still tell since when this host is behind.
constexpr size_t kMaxPending = 32;

}  // namespace

void PendingProofs::Add(PeerItems items, absl::Time received_at) {
  if (pending_.size() == kMaxPending) pending_.pop_back();
  pending_.push_back({std::move(items), received_at});
}

void PendingProofs::Apply(Revision config, Revision targets,
                          PublishedFreshness& freshness) {
  const auto is_known = [&](const Pending& pending) {
    return pending.items.config <= config && pending.items.targets <= targets;
  };
  for (const Pending& pending : pending_) {
    if (!is_known(pending)) continue;
    for (const ReadProof& proof : pending.items.proofs) {
      freshness.OnPeerProof(proof, pending.received_at);
    }
  }
  pending_.erase(std::remove_if(pending_.begin(), pending_.end(), is_known),
                 pending_.end());
}

absl::Time PendingProofs::behind_since() const {
  return pending_.empty() ? absl::InfiniteFuture()
                          : pending_.front().received_at;
}

HostId PendingProofs::peer() const {
  return pending_.empty() ? "" : pending_.front().items.peer;
}

}  // namespace cherrydyke
