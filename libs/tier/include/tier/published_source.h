#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/route_table.h"
#include "dispatch/types.h"
#include "engine/http_server.h"
#include "tier/published_items.h"
#include "tier/source_call.h"

namespace cherrydyke {

/// Reads the items published by operators and targets from the configuration
/// service and follows their changes.
class PublishedSource {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    /// A call succeeded, and the items passed to `Start` are up to date with
    /// it.
    /// @param current_until time before which nothing was published that they
    /// lack; the infinite past if the call proves none.
    /// @param config whether the operators' items have changed.
    /// @param targets whether those of the targets have.
    virtual void OnRead(absl::Time current_until, bool config,
                        bool targets) = 0;
    /// The service did not answer a call: it failed, was given up, or a later
    /// one was answered first.
    /// @param started_at when it began.
    virtual void OnReadFailed(absl::Time started_at) = 0;
    /// A call is late and may still be answered, or has failed before it was
    /// late: reported once for each call.
    virtual void OnReadMissed() = 0;
    /// A call was answered, is late, or has failed before it was late; comes
    /// before what follows from it.
    virtual void OnCall(const SourceCall& /*call*/) {}
  };

  virtual ~PublishedSource() = default;
  /// Starts or stops reading, which is on at first.
  virtual void SetReading(bool reading) = 0;
  /// A call of another host, which began at this time or later, succeeded.
  virtual void OnPeerRead(absl::Time called_at) = 0;
  /// A peer has items of this era: what is read next must be of it, or of a
  /// later one.
  virtual void OnPeerEra(SourceEra era) = 0;
  /// @return whether it reads and the service responds.
  virtual bool IsReading() const = 0;
  /// Starts to read into the two sets of items, which must outlive the source.
  virtual void Start(PublishedItems& config, PublishedItems& targets,
                     Listener& listener) = 0;
};

/// The operators' configuration, decoded.
struct OperatorConfig {
  /// Null if no configuration is published yet.
  std::shared_ptr<const RouteTable> routes;
  engine::ServerLimits limits;
  std::set<FailureDomainName> evacuated;
};

/// Decodes published items into the tier's own types.
class PublishedDecoder {
 public:
  virtual ~PublishedDecoder() = default;
  /// @return the configuration, without routes if none is published yet, or an
  /// error if it cannot be decoded.
  virtual Result<OperatorConfig> DecodeConfig(
      const PublishedItems& items) const = 0;
  /// @return the evacuated failure domains, also if the configuration beside
  /// them is not published or cannot be decoded.
  virtual std::set<FailureDomainName> DecodeEvacuated(
      const PublishedItems& items) const = 0;
  /// @return the listed targets; entries that cannot be decoded are skipped.
  virtual std::vector<TargetInfo> DecodeTargets(
      const PublishedItems& items) const = 0;
};

}  // namespace cherrydyke
