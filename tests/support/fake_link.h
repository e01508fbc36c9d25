#pragma once

#include <memory>

#include "base/ids.h"
#include "engine/event_loop.h"

namespace cherrydyke {

/// A network path to one server: a TCP forwarder on a free port of 127.0.0.1
/// that can be cut.
class FakeLink {
 public:
  enum class State {
    kOpen,
    /// Nothing gets through in either direction; connection attempts get no
    /// reply. Bytes in transit are delivered when the link opens again.
    kSilent,
    /// Connections are reset and new ones refused.
    kReset,
    /// New connections are refused, open ones live on.
    kRefuseNew,
  };

  FakeLink(engine::EventLoop& loop, const Endpoint& server);
  ~FakeLink();

  void SetState(State state);
  /// @return the address to connect to instead of the server's.
  const Endpoint& endpoint() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace cherrydyke
