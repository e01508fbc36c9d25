#pragma once

#include "dispatch/handover_choice.h"

namespace cherrydyke {

/// How a request came to this host if another host handed it over.
struct HandoverOrigin {
  /// Address and port of that host.
  Endpoint from;
  /// The service that was chosen for the request; empty for a fan-out.
  ServiceName service;
  /// Targets that may have run it.
  TriedTargets tried;

  friend bool operator==(const HandoverOrigin& a, const HandoverOrigin& b) {
    return std::tie(a.from, a.service, a.tried) ==
           std::tie(b.from, b.service, b.tried);
  }
};

}  // namespace cherrydyke
