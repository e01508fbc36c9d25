#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"

namespace cherrydyke {

/// Owns the file descriptor of a socket and closes it on destruction.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;

  int fd() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  /// Shuts down both directions, which wakes threads blocked on the socket. The
  /// descriptor stays open.
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

/// State of a byte stream after a read or write.
enum class StreamState { kOpen, kClosed, kTimedOut };

/// A bidirectional byte stream to one peer. Tests decorate it to simulate
/// network partitions.
class Stream {
 public:
  virtual ~Stream() = default;

  /// Writes all bytes.
  /// @return `kOpen` if all were written; otherwise only part of them may have
  /// been sent.
  virtual StreamState Write(const char* data, size_t size) = 0;

  /// Reads exactly `size` bytes.
  /// @param timeout longest wait for the first byte.
  /// @return `kOpen` if all were read; `kTimedOut` if no byte arrived within
  /// the timeout; `kClosed` if the stream ended, or stalled after some bytes.
  virtual StreamState Read(char* data, size_t size, absl::Duration timeout) = 0;

  /// Closes the stream; blocked calls return `kClosed`.
  virtual void Close() = 0;

  /// @return the peer's IP address.
  virtual std::string PeerAddress() const = 0;
};

/// Why a connection attempt failed.
enum class ConnectFailure {
  /// The peer's kernel refused the connection: no process listens on the port.
  kRefused,
  kUnreachable,
};

/// Opens streams to peers.
class Connector {
 public:
  virtual ~Connector() = default;
  virtual std::variant<std::unique_ptr<Stream>, ConnectFailure> Connect(
      const Endpoint& endpoint, absl::Duration timeout) = 0;
  /// Applies the decorations of this connector to an accepted stream.
  virtual std::unique_ptr<Stream> WrapAccepted(
      std::unique_ptr<Stream> accepted) = 0;
};

/// Connects over TCP from the address of this host, so that peers can identify
/// the host by the source address.
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

/// Sends and receives datagrams. Tests decorate it to simulate network
/// partitions.
class DatagramTransport {
 public:
  virtual ~DatagramTransport() = default;
  /// Sends without blocking; errors are ignored.
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
