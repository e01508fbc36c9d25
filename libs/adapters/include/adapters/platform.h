#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/result.h"
#include "catalogue/config_store.h"
#include "catalogue/host_list.h"
#include "wire/cut.h"

namespace cherrydyke {

/// Changes of the configuration as the platform tells them.
struct PlatformConfig {
  Revision since = 0;
  Revision revision = 0;
  std::vector<ConfigChange> changes;
};

/// The platform's configuration service and host list; read only.
class Platform {
 public:
  virtual ~Platform() = default;
  /// @param wait how long the platform may hold the call for news.
  virtual Result<PlatformConfig> ReadConfig(Revision since,
                                            absl::Duration wait) = 0;
  virtual Result<HostList> ReadHosts(Revision since, absl::Duration wait) = 0;
};

/// Reads the platform over HTTP from `source`. Each of the two calls may be
/// used by one thread at a time.
std::unique_ptr<Platform> MakeHttpPlatform(const Endpoint& endpoint,
                                           const std::string& source);

/// Makes the platform unreachable while its address is cut off; for tests.
std::unique_ptr<Platform> MakePartitionedPlatform(
    std::unique_ptr<Platform> inner, const Endpoint& endpoint,
    const CutSet& cuts);

}  // namespace cherrydyke
