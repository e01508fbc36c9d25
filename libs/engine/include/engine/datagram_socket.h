#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "engine/event_loop.h"

namespace cherrydyke::engine {

/// UDP socket bound to one IPv4 address. Sending never blocks; a datagram that
/// cannot be sent at once is dropped without an error.
class DatagramSocket {
 public:
  using Handler = std::function<void(const std::string& datagram)>;

  DatagramSocket(EventLoop& loop, Handler handler);
  ~DatagramSocket();

  /// Binds the socket and starts to receive.
  /// @return `kUnavailable` if the endpoint is malformed or cannot be bound.
  Status Bind(const Endpoint& endpoint);
  void Send(const Endpoint& to, const std::string& datagram);

 private:
  struct Socket;
  void Receive();

  std::shared_ptr<Socket> socket_;
};

}  // namespace cherrydyke::engine
