#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dispatch/route_table.h"
#include "dispatch/types.h"
#include "engine/http_server.h"
#include "tier/published_items.h"

namespace cherrydyke {

/// Reads what operators and targets have published and follows its changes.
class PublishedSource {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    /// The items given to the source have changed.
    virtual void OnPublished(bool config, bool targets) = 0;
    /// The service answers again after it did not.
    virtual void OnSourceRecovered() = 0;
  };

  virtual ~PublishedSource() = default;
  /// Asks to read, or to leave that to others; reads at first.
  virtual void SetReading(bool reading) = 0;
  /// @return whether it reads and gets answers.
  virtual bool IsReading() const = 0;
  /// Starts to read into the two sets of items.
  virtual void Start(PublishedItems& config, PublishedItems& targets,
                     Listener& listener) = 0;
};

/// What the operators have put in force.
struct OperatorConfig {
  std::shared_ptr<const RouteTable> routes;
  engine::ServerLimits limits;
  std::set<FailureDomainName> evacuated;
};

/// Turns published items into the tier's own types.
class PublishedDecoder {
 public:
  virtual ~PublishedDecoder() = default;
  /// @return the configuration, an error if it is unreadable; without routes
  /// if none is published yet.
  virtual Result<OperatorConfig> DecodeConfig(
      const PublishedItems& items) const = 0;
  /// @return the targets that may be used; unreadable entries name none.
  virtual std::vector<TargetInfo> DecodeTargets(
      const PublishedItems& items) const = 0;
};

}  // namespace cherrydyke
