#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "engine/event_loop.h"

namespace cherrydyke::engine {

/// Sends and receives datagrams at one address. Sending never blocks; a
/// datagram that cannot be sent at once is lost, as any may be.
class DatagramSocket {
 public:
  using Handler = std::function<void(const std::string& datagram)>;

  DatagramSocket(EventLoop& loop, Handler handler);
  ~DatagramSocket();

  Status Bind(const Endpoint& endpoint);
  void Send(const Endpoint& to, const std::string& datagram);

 private:
  struct Socket;
  void Receive();

  std::shared_ptr<Socket> socket_;
};

}  // namespace cherrydyke::engine
