#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/result.h"
#include "catalogue/config_store.h"
#include "catalogue/host_list.h"
#include "wire/partition_injection.h"

namespace cherrydyke {

/// Configuration changes after revision `since`, up to `revision`.
struct PlatformConfig {
  Revision since = 0;
  Revision revision = 0;
  std::vector<ConfigChange> changes;
};

/// Read-only client of the platform's configuration service and host list.
class Platform {
 public:
  virtual ~Platform() = default;
  /// Both calls are long polls.
  /// @param since the newest revision that the caller has.
  /// @param wait longest time that the platform may delay its response until
  /// there is a newer revision.
  /// @return `kUnavailable` if the platform did not respond with status 200,
  /// `kInvalidInput` if its response is malformed.
  virtual Result<PlatformConfig> ReadConfig(Revision since,
                                            absl::Duration wait) = 0;
  virtual Result<HostList> ReadHosts(Revision since, absl::Duration wait) = 0;
};

/// Creates a client that uses HTTP. Each of its two calls may be used by one
/// thread at a time.
/// @param source local address for the connections.
std::unique_ptr<Platform> MakeHttpPlatform(const Endpoint& endpoint,
                                           const std::string& source);

/// Wraps a client so that calls fail while `cuts` contains the address of
/// `endpoint`. Simulates a network partition in tests.
std::unique_ptr<Platform> MakePartitionedPlatform(
    std::unique_ptr<Platform> inner, const Endpoint& endpoint,
    const PartitionedAddresses& cuts);

}  // namespace cherrydyke
