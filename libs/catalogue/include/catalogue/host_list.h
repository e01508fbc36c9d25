#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/result.h"

namespace cherrydyke {

enum class HostKind { kEntry, kTarget };
enum class HostState { kLive, kLeaving };

/// One host as the platform publishes it. An `entry` host runs one entry
/// process and one gate process.
struct Host {
  HostId id;
  HostKind kind = HostKind::kEntry;
  FailureDomainName failure_domain;
  /// IP address; for a target with its port.
  std::string address;
  HostState state = HostState::kLive;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, kind, failure_domain, address, state);
  }

  friend bool operator==(const Host& a, const Host& b) {
    return std::tie(a.id, a.kind, a.failure_domain, a.address, a.state) ==
           std::tie(b.id, b.kind, b.failure_domain, b.address, b.state);
  }
};

/// The published list of hosts at one revision.
struct HostList {
  Revision revision = 0;
  std::vector<Host> hosts;

  /// @return the host with the id, or null if it is not in the list.
  const Host* Find(const HostId& id) const {
    for (const Host& host : hosts) {
      if (host.id == id) return &host;
    }
    return nullptr;
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, hosts);
  }

  friend bool operator==(const HostList& a, const HostList& b) {
    return std::tie(a.revision, a.hosts) == std::tie(b.revision, b.hosts);
  }
};

}  // namespace cherrydyke
