#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/ids.h"

namespace cherrydyke {

/// Tells whether a host can open no connections at all, though those that are
/// open may still work: attempts to connect to several targets in different
/// failure domains fail, and none succeeds. Targets of one failure domain that
/// are down are no such evidence.
///
/// Pure: time is an argument.
class ConnectFailures {
 public:
  /// An attempt to connect to a target of the failure domain failed.
  void OnFailed(uint32_t target, const FailureDomainName& domain,
                absl::Time now);
  /// A connection to a target was established.
  void OnConnected(absl::Time now);

  /// @return whether new connections are expected to fail, whatever the target.
  bool AreGeneral(absl::Time now) const;

 private:
  struct Failure {
    uint32_t target = 0;
    absl::Time failed_at;
  };

  /// The latest failures since a connection was established, of as many targets
  /// of each failure domain as are needed.
  absl::flat_hash_map<FailureDomainName, std::vector<Failure>> failures_;
  absl::Time connected_at_ = absl::InfinitePast();
};

}  // namespace cherrydyke
