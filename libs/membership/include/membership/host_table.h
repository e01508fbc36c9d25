#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// How long ago a host was heard, by the one who tells it.
struct HostAge {
  HostId host;
  int64_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, age_ms);
  }

  friend bool operator==(const HostAge& a, const HostAge& b) {
    return a.host == b.host && a.age_ms == b.age_ms;
  }
};

/// The hosts of the fleet as one host knows them: from its seeds at first, then
/// from what hosts tell each other. Nobody keeps a list.
///
/// Limits that the whole fleet shares are divided by every host ever known in
/// this lifetime, not by the live ones: a host that is cut off still acts.
/// Pure: time and randomness are arguments.
class HostTable {
 public:
  struct Options {
    /// Hosts assumed to share limits until the fleet had time to find itself.
    int initial_hosts = 16;
    /// From the first peer heard until the known hosts are taken for all.
    absl::Duration settle_time = absl::Seconds(3);
    /// A host not heard by anybody for this long is not gossiped with.
    absl::Duration silence_limit = absl::Seconds(10);
    /// Hosts that each round of gossip reaches.
    size_t fanout = 3;
    /// Hosts named in one message, so that it fits a datagram.
    size_t named_hosts = 40;
  };

  /// @param self this host's address.
  /// @param seeds addresses of some hosts, possibly stale.
  HostTable(HostId self, std::vector<HostId> seeds, Options options);

  /// Replaces the seeds after a change of the settings.
  void SetSeeds(std::vector<HostId> seeds);

  /// A message came from `from`, which told of others.
  /// @param known_hosts how many hosts the sender has known.
  void OnGossip(const HostId& from, const std::vector<HostAge>& hosts,
                int known_hosts, absl::Time now);

  /// @return hosts that the next round of gossip goes to.
  std::vector<HostId> GossipTargets(absl::Time now, std::mt19937_64& random);

  /// @return what to tell others of hosts.
  std::vector<HostAge> Ages(absl::Time now, std::mt19937_64& random) const;

  /// @return the most hosts that may share a limit.
  int SharingHosts(absl::Time now) const;

  /// @return every host ever known, this one included, sorted.
  std::vector<HostId> KnownHosts() const;

  /// @return hosts heard by somebody within the silence limit.
  std::vector<HostId> LivePeers(absl::Time now) const;

 private:
  const HostId self_;
  std::vector<HostId> seeds_;
  const Options options_;
  std::map<HostId, absl::Time> heard_;
  int told_hosts_ = 0;
  absl::Time first_heard_ = absl::InfiniteFuture();
};

}  // namespace cherrydyke
