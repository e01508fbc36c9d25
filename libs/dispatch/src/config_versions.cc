#include "dispatch/config_versions.h"

#include <algorithm>

namespace cherrydyke {

bool ConfigVersions::OnRunByPeer(int64_t version) {
  if (version <= seen_through_peers_) return false;
  seen_through_peers_ = version;
  return true;
}

int64_t ConfigVersions::LeastForPeers(int64_t accepted) const {
  return std::max(accepted, seen_through_peers_);
}

}  // namespace cherrydyke
