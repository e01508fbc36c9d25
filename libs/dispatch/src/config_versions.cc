#include "dispatch/config_versions.h"

#include <algorithm>

namespace cherrydyke {

bool ConfigVersions::OnRunByPeer(int64_t version) {
  if (version <= seen_through_peers_) return false;
  seen_through_peers_ = version;
  return true;
}

int64_t ConfigVersions::LeastForPeers() const {
  return std::max(in_force_, seen_through_peers_);
}

}  // namespace cherrydyke
