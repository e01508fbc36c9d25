#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"

namespace cherrydyke {

/// Owns a file descriptor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;

  int fd() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  /// Wakes threads blocked on the socket without releasing the descriptor.
  void Shutdown();

 private:
  int fd_ = -1;
};

/// @return `address:port`.
Endpoint MakeEndpoint(const std::string& address, int port);

/// @return the address part of `IP:PORT`.
std::string AddressOf(const Endpoint& endpoint);

/// @return the port part of `IP:PORT`, or 0 if there is none.
int PortOf(const Endpoint& endpoint);

/// How a byte stream ended or went on.
enum class StreamState { kOpen, kClosed, kTimedOut };

/// A two-way byte stream to one peer; the interface that tests decorate to cut
/// processes off from each other.
class Stream {
 public:
  virtual ~Stream() = default;

  /// Writes all bytes. @return `kOpen`, or why some may not have been sent.
  virtual StreamState Write(const char* data, size_t size) = 0;

  /// Reads exactly `size` bytes, waiting at most `timeout` for each part.
  virtual StreamState Read(char* data, size_t size, absl::Duration timeout) = 0;

  /// Ends the stream; blocked calls return `kClosed`.
  virtual void Close() = 0;

  /// @return the peer's IP address.
  virtual std::string PeerAddress() const = 0;
};

/// Why a connection could not be made.
enum class ConnectFailure {
  /// The peer's kernel answered that nothing listens there.
  kRefused,
  kUnreachable,
};

/// Opens streams to peers.
class Connector {
 public:
  virtual ~Connector() = default;
  virtual std::variant<std::unique_ptr<Stream>, ConnectFailure> Connect(
      const Endpoint& endpoint, absl::Duration timeout) = 0;
  /// @return `accepted` as this process may use it.
  virtual std::unique_ptr<Stream> WrapAccepted(
      std::unique_ptr<Stream> accepted) = 0;
};

/// Connects over TCP from the host's own address, so that the peer can tell
/// hosts apart by address.
class TcpConnector : public Connector {
 public:
  explicit TcpConnector(std::string source_address)
      : source_address_(std::move(source_address)) {}

  std::variant<std::unique_ptr<Stream>, ConnectFailure> Connect(
      const Endpoint& endpoint, absl::Duration timeout) override;
  std::unique_ptr<Stream> WrapAccepted(
      std::unique_ptr<Stream> accepted) override {
    return accepted;
  }

 private:
  const std::string source_address_;
};

/// Accepts TCP connections.
class Listener {
 public:
  /// @param port 0 lets the kernel choose.
  static Result<Listener> Open(const std::string& address, int port);

  /// @return the next connection, or null after the timeout or a shutdown.
  std::unique_ptr<Stream> Accept(absl::Duration timeout);
  void Shutdown() { socket_.Shutdown(); }
  int port() const { return port_; }

 private:
  Listener(Socket socket, int port) : socket_(std::move(socket)), port_(port) {}

  Socket socket_;
  int port_;
};

/// A received datagram.
struct Datagram {
  std::string sender_address;
  std::string payload;
};

/// Sends and receives datagrams; decorated in tests like `Stream`.
class DatagramTransport {
 public:
  virtual ~DatagramTransport() = default;
  virtual void Send(const Endpoint& to, const std::string& payload) = 0;
  /// @return false after the timeout or a shutdown.
  virtual bool Receive(Datagram& datagram, absl::Duration timeout) = 0;
};

class UdpTransport : public DatagramTransport {
 public:
  static Result<std::unique_ptr<UdpTransport>> Open(const std::string& address,
                                                    int port);
  explicit UdpTransport(Socket socket) : socket_(std::move(socket)) {}

  void Send(const Endpoint& to, const std::string& payload) override;
  bool Receive(Datagram& datagram, absl::Duration timeout) override;

 private:
  Socket socket_;
};

}  // namespace cherrydyke
